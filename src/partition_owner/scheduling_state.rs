//! When the partition is scheduled again, and what the last pass left for the time between.

use crate::clock::Micros;
use crate::cloud::MachineType;
use crate::fairness::Resources;
use crate::ids::{AttemptId, JobId, MachineId, Term};
use crate::jobs::Job;
use crate::placement::{ConstrainedDemand, Queues};
use std::collections::{BTreeMap, BTreeSet};

/// Passes over the partition come no faster than this, and later the more they cost.
const MIN_PASS_INTERVAL: Micros = Micros::from_millis(40);
/// How much later the next pass comes for each machine that a pass compared, in microseconds.
const PASS_DELAY_PER_COMPARISON_US: u64 = 2;
/// Between two attempts at preemption.
const PREEMPTION_INTERVAL: Micros = Micros::from_millis(500);

/// The state of scheduling between passes over the partition.
pub(super) struct SchedulingState {
    /// The order of waiting jobs, as the last pass over the partition left it.
    queues: Queues,
    /// Classes that wait and have little choice of machines.
    constrained: ConstrainedDemand,
    /// Jobs that failed again and again; some may run well again since.
    failing_jobs: BTreeSet<JobId>,
    /// Machines that freed room is held on.
    held_machines: Vec<MachineId>,
    /// Something changed that the next pass over the partition should take in.
    pass_pending: bool,
    next_pass_at: Micros,
    last_preemption_at: Micros,
    /// Machines that were compared with a class, for counting what passes cost.
    machines_compared: usize,
    /// Attempts that were started under this term.
    attempts_started: u64,
}

impl SchedulingState {
    pub(super) fn new(now: Micros) -> Self {
        SchedulingState {
            queues: Queues::new(),
            constrained: ConstrainedDemand::default(),
            failing_jobs: BTreeSet::new(),
            held_machines: Vec::new(),
            pass_pending: true,
            next_pass_at: now,
            last_preemption_at: now,
            machines_compared: 0,
            attempts_started: 0,
        }
    }

    pub(super) fn queues(&self) -> &Queues {
        &self.queues
    }

    pub(super) fn constrained(&self) -> &ConstrainedDemand {
        &self.constrained
    }

    /// Takes in the machine types, which say which work has a choice of machines.
    pub(super) fn set_machine_types(&mut self, types: &[MachineType]) {
        self.constrained = ConstrainedDemand::new(types);
    }

    /// Takes in which classes wait, by team.
    pub(super) fn set_waiting(&mut self, waiting: Vec<Vec<bool>>) {
        self.constrained.set_waiting(waiting);
    }

    /// A job fails again and again.
    pub(super) fn add_failing_job(&mut self, job: &JobId) {
        self.failing_jobs.insert(job.clone());
    }

    /// Forgets jobs that don't fail any more.
    pub(super) fn retain_failing_jobs(&mut self, jobs: &BTreeMap<JobId, Job>) {
        self.failing_jobs
            .retain(|id| jobs.get(id).is_some_and(Job::is_failing));
    }

    /// What the tasks of failing jobs take, by team.
    pub(super) fn failing_demand(&self, jobs: &BTreeMap<JobId, Job>) -> Vec<(usize, Resources)> {
        let known = self.failing_jobs.iter().filter_map(|id| jobs.get(id));
        let failing = known.filter(|job| job.is_failing());
        failing
            .map(|job| (job.team, job.failing_resources()))
            .collect()
    }

    /// Something changed that the next pass should take in.
    pub(super) fn request_pass(&mut self) {
        self.pass_pending = true;
    }

    /// The same, if it did.
    pub(super) fn request_pass_if(&mut self, is_changed: bool) {
        self.pass_pending |= is_changed;
    }

    /// Whether a pass is due; if so, it takes in all that has changed.
    pub(super) fn begin_pass(&mut self, now: Micros) -> bool {
        if !self.pass_pending || now < self.next_pass_at {
            return false;
        }
        self.pass_pending = false;
        true
    }

    /// A pass is complete that has compared so many machines.
    pub(super) fn finish_pass(&mut self, now: Micros, compared: usize, queues: Queues) {
        self.queues = queues;
        let delay = Micros(compared as u64 * PASS_DELAY_PER_COMPARISON_US);
        self.next_pass_at = now + MIN_PASS_INTERVAL + delay;
    }

    /// Whether room is to be made for waiting work now, by preemption.
    pub(super) fn begin_preemption(&mut self, now: Micros) -> bool {
        let is_due = now.since(self.last_preemption_at) >= PREEMPTION_INTERVAL;
        if !is_due || self.queues.is_empty() {
            return false;
        }
        self.last_preemption_at = now;
        true
    }

    /// Replaces the machines that freed room is held on; the earlier ones.
    pub(super) fn replace_held(&mut self, machines: Vec<MachineId>) -> Vec<MachineId> {
        std::mem::replace(&mut self.held_machines, machines)
    }

    pub(super) fn add_machines_compared(&mut self, compared: usize) {
        self.machines_compared += compared;
    }

    pub(super) fn machines_compared(&self) -> usize {
        self.machines_compared
    }

    /// A new attempt under this term.
    pub(super) fn next_attempt(&mut self, term: Term) -> AttemptId {
        self.attempts_started += 1;
        AttemptId::of(term, self.attempts_started)
    }
}
