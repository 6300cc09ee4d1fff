//! The owner of a partition: it schedules the jobs of the partition's teams on the partition's
//! machines. Decisions that depend on each other (a team's limit, zone constraints, at most one
//! machine per task) are all made here.
//!
//! [`OwnedPartition`] owns the state, grouped by concern. Each submodule adds the methods of one
//! concern.
//!
//! The owner receives messages and the current time, and returns [`Effect`]s. It must never do
//! input or output itself, and never act for a partition whose grant it does not hold. Every
//! write is conditional on that grant.

mod attempt_events;
mod capacity;
mod command_log;
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
pub use reconcile::ShardRead;
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

/// Grace period, in seconds, of an attempt that must stop at once: it gets no time to save a
/// checkpoint.
const NO_GRACE_PERIOD_S: f64 = 0.0;

/// A partition that is owned by this controller.
pub struct OwnedPartition {
    ownership: Ownership,
    settings: Rc<Settings>,
    policy: Rc<Policy>,
    /// Machine types that the cloud offers, needed for their prices.
    machine_types: Rc<[MachineType]>,
    machines: BTreeMap<MachineId, Machine>,
    /// The jobs of the partition's teams.
    jobs: BTreeMap<JobId, Job>,
    /// Usage of each team. It always equals the sum of the machines' loads.
    usage: UsageByTeam,
    unknown_jobs: UnknownJobs,
    failover: FailoverState,
    liveness: LivenessView,
    scheduling: SchedulingState,
    direct_commands: DirectCommandQueue,
    job_writes: PendingJobWrites,
    machine_writes: MachineWrites,
    hand_back: HandBack,
    /// `None` if zone failover is disabled.
    zone_evacuation: Option<ZoneEvacuation>,
    checks: PeriodicChecks,
    /// Number of attempts that this owner counted as gone and that a worker showed again.
    reappeared_attempts: u32,
}

impl OwnedPartition {
    /// Creates the state of a partition that has just been granted, without machines or jobs.
    /// [`OwnedPartition::fail_over`] loads them from the cache.
    pub fn new(
        partition: PartitionId,
        record: &PartitionOwnerRecord,
        revision: Revision,
        settings: &Rc<Settings>,
        policy: &Rc<Policy>,
        now: Micros,
    ) -> Self {
        let ownership = Ownership::new(partition, record, revision, settings, now);
        // Each partition gets an equal share of the store's mutations per second. Progress
        // writes use only a part of it: most mutations are left to writes that can't wait.
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
            reappeared_attempts: 0,
            ownership,
        }
    }

    /// Returns the partition's ID.
    pub fn id(&self) -> PartitionId {
        self.ownership.partition()
    }

    /// Returns the term of the grant under which this controller owns the partition.
    pub fn term(&self) -> Term {
        self.ownership.term()
    }

    /// Returns when this controller received the grant of the partition.
    pub fn granted_at(&self) -> Micros {
        self.ownership.granted_at()
    }

    /// Returns how many comparisons of a machine with a class of tasks the scheduler has made
    /// under this grant: a measure of the cost of scheduling.
    pub fn machines_compared(&self) -> usize {
        self.scheduling.machines_compared()
    }

    /// Marks a job as ended after its record was deleted from the store, and stops its attempts.
    /// No further task of the job starts.
    pub fn cancel_job(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id).filter(|job| !job.is_ended()) {
            job.mark_ended();
            self.stop_job(id);
            self.scheduling.request_pass();
        }
    }

    /// Stops all attempts of a cancelled job, including those whose launch may still arrive at
    /// a machine.
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

    /// Requeues a task after its attempt on `machine_id` ended without a result, unless the task
    /// is active on another machine.
    fn requeue(&mut self, key: &AttemptKey, machine_id: &MachineId) {
        if let Some(job) = self.jobs.get_mut(&key.task.job)
            && job.active().get(&key.task.index) == Some(machine_id)
        {
            job.requeue(key.task.index);
            self.job_writes.mark_dirty(&key.task.job);
        }
        self.scheduling.request_pass();
    }

    /// Updates the teams' usage after the attempts on a machine have changed.
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

    /// Returns the current state that placement decisions depend on.
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
