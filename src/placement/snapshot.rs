//! What decisions about placement may depend on.

use super::{ConstrainedDemand, FailoverRecovery};
use crate::clock::Micros;
use crate::fairness::{Resources, UsageByTeam, static_heaviness};
use crate::ids::{JobId, MachineId};
use crate::jobs::Job;
use crate::settings::Settings;
use crate::workers::Machine;
use crate::zones::ZoneEvacuation;
use std::collections::BTreeMap;

/// All that decisions about placement may depend on, at one moment.
pub struct SchedulingSnapshot<'a> {
    /// The platform's settings.
    pub settings: &'a Settings,
    /// All machines of all partitions.
    pub fleet: Resources,
    /// The steady clock.
    pub now: Micros,
    /// The time of day.
    pub wall_clock: Micros,
    /// The partition's jobs.
    pub jobs: &'a BTreeMap<JobId, Job>,
    /// The partition's machines.
    pub machines: &'a BTreeMap<MachineId, Machine>,
    /// The partition's teams.
    pub teams: &'a [usize],
    /// The teams' usage.
    pub usage: &'a UsageByTeam,
    /// A failover that is not complete yet.
    pub recovery: Option<&'a FailoverRecovery>,
    /// A machine without a heartbeat for longer gets no new work.
    pub heartbeat_timeout: Micros,
    /// Waiting classes with little choice of machines.
    pub constrained: &'a ConstrainedDemand,
    /// By team, what its jobs that fail again and again would hold.
    pub failing: Vec<(usize, Resources)>,
    /// The evacuation of lost zones; none: zone failover is off.
    pub zone_evacuation: Option<&'a ZoneEvacuation>,
}

impl SchedulingSnapshot<'_> {
    /// Whether new work of a job stays out of a zone.
    pub(super) fn is_closed(&self, job: &Job, zone: &str) -> bool {
        self.zone_evacuation
            .is_some_and(|evacuation| evacuation.closed_to(job, zone, self.wall_clock))
    }

    /// Puts work that lost its zone into its stated order, among jobs that come with the
    /// most urgent first.
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

    /// A team's heaviness, with what its failing tasks would hold.
    pub(super) fn heaviness(&self, usage: &UsageByTeam, team: usize) -> f64 {
        let guarantee = self.settings.platform.teams[team].guarantee();
        // Guards against a broken team that stays lightest (the design's watch item): its
        // failing tasks are endowed with nothing, and so count the room as held.
        let failing = self.failing.iter().filter(|(other, _)| *other == team);
        let held: f64 = failing
            .map(|(_, held)| static_heaviness(*held, self.fleet))
            .sum();
        usage.heaviness(team, guarantee, self.settings.guarantees(), self.fleet) + held
    }
}
