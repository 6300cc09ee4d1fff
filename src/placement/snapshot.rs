//! The input of placement decisions: one read-only view of a partition's state, so that all
//! decisions of a pass are based on the same moment.

use super::{ConstrainedDemand, FailoverRecovery};
use crate::clock::Micros;
use crate::fairness::{Resources, UsageByTeam, static_heaviness};
use crate::ids::{JobId, MachineId};
use crate::jobs::Job;
use crate::settings::Settings;
use crate::workers::Machine;
use crate::zones::ZoneEvacuation;
use std::collections::BTreeMap;

/// State of a partition at one moment, on which placement decisions are based.
pub struct SchedulingSnapshot<'a> {
    /// Settings of the platform and of this controller.
    pub settings: &'a Settings,
    /// Total capacity of all machines of all partitions.
    pub fleet: Resources,
    /// Time of the monotonic clock.
    pub now: Micros,
    /// Wall-clock time.
    pub wall_clock: Micros,
    /// Live jobs of the partition.
    pub jobs: &'a BTreeMap<JobId, Job>,
    /// Machines of the partition.
    pub machines: &'a BTreeMap<MachineId, Machine>,
    /// Teams of the partition, as indexes into the teams of the settings.
    pub teams: &'a [usize],
    /// Resources that each team uses on the partition's machines.
    pub usage: &'a UsageByTeam,
    /// The failover that is still incomplete; `None`: there is none.
    pub recovery: Option<&'a FailoverRecovery>,
    /// Time since its last heartbeat after which a machine gets no new tasks.
    pub heartbeat_timeout: Micros,
    /// Waiting jobs that fit only some of the machine types.
    pub constrained: &'a ConstrainedDemand,
    /// Resources that the failed tasks of failing jobs request, each with the index of its team.
    /// A team has one entry for each failing job.
    pub failing: Vec<(usize, Resources)>,
    /// State of the evacuation of lost zones; `None`: zone failover is off.
    pub zone_evacuation: Option<&'a ZoneEvacuation>,
}

impl SchedulingSnapshot<'_> {
    /// Whether no new tasks of a job may be placed in a zone, since the zone is lost or on
    /// probation.
    pub(super) fn is_zone_closed_to(&self, job: &Job, zone: &str) -> bool {
        self.zone_evacuation
            .is_some_and(|evacuation| evacuation.closed_to(job, zone, self.wall_clock))
    }

    /// Reorders the jobs displaced from lost zones by their evacuation priority. `jobs` must be
    /// sorted with the most urgent job first, and so is the result. Without zone failover the
    /// order does not change.
    pub(super) fn in_evacuation_order<'a, T>(
        &self,
        jobs: Vec<T>,
        job_of: impl Fn(&T) -> &'a Job,
    ) -> Vec<T> {
        match self.zone_evacuation {
            Some(evacuation) => evacuation.order(jobs, job_of, self.wall_clock),
            None => jobs,
        }
    }

    /// Returns a team's heaviness, in which its failing tasks count as if they were running.
    pub(super) fn heaviness(&self, usage: &UsageByTeam, team: usize) -> f64 {
        let guarantee = self.settings.platform.teams[team].guarantee();
        // Tasks that fail at once use no resources, so a team whose tasks all fail would keep
        // the lowest heaviness and always be served first. The resources that its failing tasks
        // request are therefore added to its heaviness.
        let failing = self.failing.iter().filter(|(other, _)| *other == team);
        let failing_heaviness: f64 = failing
            .map(|(_, request)| static_heaviness(*request, self.fleet))
            .sum();
        usage.heaviness(team, guarantee, self.settings.guarantees(), self.fleet) + failing_heaviness
    }
}
