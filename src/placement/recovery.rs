//! A failover that is not complete: machines that have sent no heartbeat since.

use crate::fairness::Resources;
use crate::ids::{Revision, Term};
use crate::jobs::Job;

/// Machines that are alike and have sent no heartbeat since a failover.
#[derive(Debug, Clone, PartialEq)]
pub struct SilentMachines {
    /// Their type.
    pub machine_type: String,
    /// Their zone.
    pub zone: String,
    /// Whether the cloud may take them back.
    pub spot: bool,
    /// Of each of them; none: it is not known.
    pub capacity: Option<Resources>,
}

/// A failover that is not complete yet.
#[derive(Debug, Clone, PartialEq)]
pub struct FailoverRecovery {
    /// The term of the grant.
    pub term: Term,
    /// The store's revision at which it was granted.
    pub granted: Revision,
    /// The machines that have sent no heartbeat since and may run anything, each kind once.
    pub silent: Vec<SilentMachines>,
}

impl FailoverRecovery {
    /// Whether an attempt of a job may be on a machine that is still silent. One that no
    /// earlier owner can have begun has no old attempts; another only where it fits.
    pub(super) fn may_hold(&self, job: &Job) -> bool {
        job.may_have_begun_before(self.term, self.granted)
            && self.silent.iter().any(|machines| {
                job.may_have_been_on(&machines.machine_type, &machines.zone, machines.spot)
                    && machines
                        .capacity
                        .is_none_or(|capacity| job.desc.request().fits_in(&capacity))
            })
    }
}
