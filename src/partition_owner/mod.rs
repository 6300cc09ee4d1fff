//! A partition in the hands of its owner: its teams' jobs, its machines, and what is decided
//! about them. Everything that must be decided together (a team's limit, zones, one machine per
//! task) is decided here, in one place.
//!
//! [`OwnedPartition`] owns the state, grouped by concern; each module adds the methods of one
//! concern. It takes in messages and time, and returns [`Effect`]s: it must never do input or
//! output itself, nor act for a partition whose grant it does not hold. Every write is
//! conditional on that grant.

mod attempt_events;
mod capacity;
mod direct_commands;
mod effects;
mod failback;
mod failover;
mod hand_back;
mod heartbeats;
mod idle_release;
mod job_writes;
mod lateness;
mod liveness;
mod machine_health;
mod machine_writes;
mod ownership;
mod pending_job_writes;
mod periodic_checks;
mod reconcile;
mod scheduling;
mod scheduling_state;
mod transaction;
mod unknown_jobs;
mod zone_counts;
mod zone_evacuation;

pub use effects::{Effect, ProgressPages, UnreapedAttempt, Write};
pub use zone_counts::MachineCounts;

use crate::clock::Micros;
use crate::cloud::MachineType;
use crate::fairness::{Resources, UsageByTeam};
use crate::ids::{JobId, MachineId, PartitionId, Revision, Term};
use crate::jobs::Job;
use crate::partitions::PartitionOwnerRecord;
use crate::placement::SchedulingSnapshot;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::workers::{AttemptKey, Machine};
use crate::zones::ZoneEvacuation;
use direct_commands::DirectCommandQueue;
use failover::FailoverState;
use hand_back::HandBack;
use liveness::LivenessView;
use machine_writes::MachineWrites;
use ownership::Ownership;
use pending_job_writes::PendingJobWrites;
use periodic_checks::PeriodicChecks;
use scheduling_state::SchedulingState;
use std::collections::BTreeMap;
use std::rc::Rc;
use unknown_jobs::UnknownJobs;

/// What must stop at once gets no time to save a checkpoint.
const NO_GRACE_PERIOD_S: f64 = 0.0;

/// A partition in the hands of this controller.
pub struct OwnedPartition {
    ownership: Ownership,
    settings: Rc<Settings>,
    policy: Rc<Policy>,
    /// The machine types, for their prices.
    machine_types: Rc<[MachineType]>,
    /// The partition's machines.
    machines: BTreeMap<MachineId, Machine>,
    /// The jobs of the partition's teams.
    jobs: BTreeMap<JobId, Job>,
    /// What each team uses: always the sum of the machines' loads.
    usage: UsageByTeam,
    unknown_jobs: UnknownJobs,
    failover: FailoverState,
    liveness: LivenessView,
    scheduling: SchedulingState,
    direct_commands: DirectCommandQueue,
    job_writes: PendingJobWrites,
    machine_writes: MachineWrites,
    hand_back: HandBack,
    /// None: zone failover is off.
    zone_evacuation: Option<ZoneEvacuation>,
    checks: PeriodicChecks,
}

impl OwnedPartition {
    /// A partition that has just been granted, still empty.
    pub fn new(
        partition: PartitionId,
        record: &PartitionOwnerRecord,
        revision: Revision,
        settings: &Rc<Settings>,
        policy: &Rc<Policy>,
        now: Micros,
    ) -> Self {
        let ownership = Ownership::new(partition, record, revision, settings, now);
        // All partitions together leave most changes to what can't wait.
        let write_rate =
            settings.platform.state.lowest_write_rps() / policy.partition_count(settings) as f64;
        OwnedPartition {
            settings: settings.clone(),
            policy: policy.clone(),
            machine_types: Rc::new([]),
            machines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            usage: UsageByTeam::new(ownership.teams()),
            unknown_jobs: UnknownJobs::default(),
            failover: FailoverState::new(now),
            liveness: LivenessView::new(now),
            scheduling: SchedulingState::new(now),
            direct_commands: DirectCommandQueue::default(),
            job_writes: PendingJobWrites::new(write_rate, now),
            machine_writes: MachineWrites::new(),
            hand_back: HandBack::NotRequested,
            zone_evacuation: None,
            checks: PeriodicChecks::new(now),
            ownership,
        }
    }

    /// Which partition.
    pub fn id(&self) -> PartitionId {
        self.ownership.partition()
    }

    /// The term of its grant.
    pub fn term(&self) -> Term {
        self.ownership.term()
    }

    /// Since when it is owned.
    pub fn granted_at(&self) -> Micros {
        self.ownership.granted_at()
    }

    /// Machines that were compared with a class, for counting what scheduling costs.
    pub fn machines_compared(&self) -> usize {
        self.scheduling.machines_compared()
    }

    /// The store has cancelled a job: nothing more of it starts.
    pub fn cancel_job(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id).filter(|job| !job.is_ended()) {
            job.mark_ended();
            self.stop_job(id);
            self.scheduling.request_pass();
        }
    }

    /// Stops all that a cancelled job has, or may have, on machines.
    fn stop_job(&mut self, id: &JobId) {
        for (machine_id, machine) in &mut self.machines {
            if !machine.attempts.keys().any(|key| key.task.job == *id) {
                continue;
            }
            machine.stop(NO_GRACE_PERIOD_S, |key| key.task.job == *id);
            for (key, attempt) in &mut machine.attempts {
                attempt.may_be_reaped |= key.task.job == *id;
            }
            self.direct_commands.request(machine_id);
        }
    }

    /// An attempt ended without a result.
    fn requeue(&mut self, key: &AttemptKey, on: &MachineId) {
        if let Some(job) = self.jobs.get_mut(&key.task.job)
            && job.active().get(&key.task.index) == Some(on)
        {
            job.requeue(key.task.index);
            self.job_writes.mark_dirty(&key.task.job);
        }
        self.scheduling.request_pass();
    }

    /// The attempts on a machine changed: so does what their teams use.
    fn update_usage(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.get_mut(id) {
            let load = machine.compute_load();
            if load != machine.load {
                self.usage.remove(&machine.load, machine.spec.capacity);
                self.usage.add(&load, machine.spec.capacity);
                machine.load = load;
            }
        }
    }

    /// What decisions on placement depend on, as it stands now.
    fn snapshot<'a>(
        &'a self,
        now: Micros,
        wall_clock: Micros,
        fleet: Resources,
    ) -> SchedulingSnapshot<'a> {
        SchedulingSnapshot {
            settings: &self.settings,
            fleet,
            now,
            wall_clock,
            jobs: &self.jobs,
            machines: &self.machines,
            teams: self.ownership.teams(),
            usage: &self.usage,
            recovery: self.failover.recovery(),
            constrained: self.scheduling.constrained(),
            failing: self.scheduling.failing_demand(&self.jobs),
            heartbeat_timeout: self.heartbeat_timeout(),
            zone_evacuation: self.zone_evacuation.as_ref(),
        }
    }
}

#[cfg(test)]
mod tests;
