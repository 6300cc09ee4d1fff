//! State of an incomplete failover: the kinds of unconfirmed machines, which are machines that
//! have sent no heartbeat to the new owner of the partition and may still run attempts of an
//! earlier owner.

use crate::fairness::Resources;
use crate::ids::{Revision, Term};
use crate::jobs::Job;

/// A kind of machine (type, zone, spot or not, and capacity) of which at least one machine is
/// unconfirmed, because it has sent no heartbeat since a failover.
#[derive(Debug, Clone, PartialEq)]
pub struct UnconfirmedMachineKind {
    /// Machine type.
    pub machine_type: String,
    /// Zone of the machines.
    pub zone: String,
    /// Whether they are spot instances, which the cloud may reclaim.
    pub spot: bool,
    /// Capacity of each machine; `None`: unknown.
    pub capacity: Option<Resources>,
}

/// A failover that is not complete yet.
#[derive(Debug, Clone, PartialEq)]
pub struct FailoverRecovery {
    /// Term under which the partition was granted to its new owner.
    pub term: Term,
    /// Store revision at which the partition was granted to its new owner.
    pub granted_at: Revision,
    /// Kinds of the unconfirmed machines, which have sent no heartbeat since the grant and may run
    /// attempts of any earlier job. Each kind is listed once.
    pub unconfirmed: Vec<UnconfirmedMachineKind>,
}

impl FailoverRecovery {
    /// Whether an attempt of a job may be on a machine that has sent no heartbeat yet. A job that
    /// no earlier owner can have started has no such attempt. Any other job can have one only on
    /// a kind of machine that the job allows and that has enough capacity.
    pub(super) fn may_have_attempt_of(&self, job: &Job) -> bool {
        job.may_have_begun_before(self.term, self.granted_at)
            && self.unconfirmed.iter().any(|kind| {
                job.may_have_been_on(&kind.machine_type, &kind.zone, kind.spot)
                    && kind
                        .capacity
                        .is_none_or(|capacity| job.desc.request().fits_in(&capacity))
            })
    }
}
