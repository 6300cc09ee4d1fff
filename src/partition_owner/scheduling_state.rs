//! State of the scheduler between two passes over the partition: when the next pass and the next
//! preemption are due, and the results of the last pass that are used until then.

use crate::clock::Micros;
use crate::cloud::MachineType;
use crate::fairness::Resources;
use crate::ids::{AttemptId, JobId, MachineId, Term};
use crate::jobs::Job;
use crate::placement::{ConstrainedDemand, Queues};
use std::collections::{BTreeMap, BTreeSet};

/// Shortest interval between two passes over the partition. Expensive passes extend it, by
/// [`PASS_DELAY_PER_COMPARISON_US`].
const MIN_PASS_INTERVAL: Micros = Micros::from_millis(40);
/// Additional delay of the next pass for each machine that a pass compared, in microseconds.
const PASS_DELAY_PER_COMPARISON_US: u64 = 2;
/// Shortest interval between two preemptions.
const PREEMPTION_INTERVAL: Micros = Micros::from_millis(500);

/// The state of scheduling between passes over the partition.
pub(super) struct SchedulingState {
    /// Queues of waiting jobs, in the order that the last pass determined.
    queues: Queues,
    /// Waiting classes of tasks that fit only some types of machines.
    constrained: ConstrainedDemand,
    /// Jobs that were found failing. Some of them may have succeeded since.
    failing_jobs: BTreeSet<JobId>,
    /// Machines on which free capacity is held for a job.
    held_machines: Vec<MachineId>,
    /// Jobs that the next pass skips, so that it comes to the jobs behind them. Earlier passes
    /// searched machines for them in vain.
    passed_over: BTreeSet<JobId>,
    /// The same for the next preemption.
    passed_over_by_preemption: BTreeSet<JobId>,
    /// Whether anything has changed since the last pass that may affect its decisions.
    pass_pending: bool,
    next_pass_at: Micros,
    last_preemption_at: Micros,
    /// Number of comparisons of a machine with a class of tasks: the cost of scheduling.
    machines_compared: usize,
    /// Number of attempts that were started under this term.
    attempts_started: u64,
}

impl SchedulingState {
    pub(super) fn new(now: Micros) -> Self {
        SchedulingState {
            queues: Queues::default(),
            constrained: ConstrainedDemand::default(),
            failing_jobs: BTreeSet::new(),
            held_machines: Vec::new(),
            passed_over: BTreeSet::new(),
            passed_over_by_preemption: BTreeSet::new(),
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

    /// Sets the machine types, which determine the types that each class of tasks fits.
    pub(super) fn set_machine_types(&mut self, types: &[MachineType]) {
        self.constrained = ConstrainedDemand::new(types);
    }

    /// Sets the waiting classes of tasks that fit only some types of machines. Each class has one
    /// entry per machine type: whether it fits that type.
    pub(super) fn set_waiting(&mut self, waiting: Vec<Vec<bool>>) {
        self.constrained.set_waiting(waiting);
    }

    /// Adds a job that was found failing.
    pub(super) fn add_failing_job(&mut self, job: &JobId) {
        self.failing_jobs.insert(job.clone());
    }

    /// Removes jobs that are not failing any more, or no longer exist.
    pub(super) fn retain_failing_jobs(&mut self, jobs: &BTreeMap<JobId, Job>) {
        self.failing_jobs
            .retain(|id| jobs.get(id).is_some_and(Job::is_failing));
    }

    /// Returns the team of each failing job, with the resources that its failed tasks would hold.
    pub(super) fn failing_demand(&self, jobs: &BTreeMap<JobId, Job>) -> Vec<(usize, Resources)> {
        let known = self.failing_jobs.iter().filter_map(|id| jobs.get(id));
        let failing = known.filter(|job| job.is_failing());
        failing
            .map(|job| (job.team, job.failing_resources()))
            .collect()
    }

    /// Requests a pass, because something has changed that may affect its decisions.
    pub(super) fn request_pass(&mut self) {
        self.pass_pending = true;
    }

    /// Requests a pass if `is_changed`.
    pub(super) fn request_pass_if(&mut self, is_changed: bool) {
        self.pass_pending |= is_changed;
    }

    /// Returns whether a pass is due. If so, clears the request: the pass takes all changes so
    /// far into account.
    pub(super) fn begin_pass(&mut self, now: Micros) -> bool {
        if !self.pass_pending || now < self.next_pass_at {
            return false;
        }
        self.pass_pending = false;
        true
    }

    /// Records that a pass is complete, with the number of machines that it compared and the
    /// queues that it determined.
    pub(super) fn finish_pass(&mut self, now: Micros, compared: usize, queues: Queues) {
        self.queues = queues;
        let delay = Micros(compared as u64 * PASS_DELAY_PER_COMPARISON_US);
        self.next_pass_at = now + MIN_PASS_INTERVAL + delay;
    }

    /// Returns whether a preemption for waiting jobs is due. If so, records that it is made now.
    pub(super) fn begin_preemption(&mut self, now: Micros) -> bool {
        let is_due = now.since(self.last_preemption_at) >= PREEMPTION_INTERVAL;
        if !is_due || self.queues.is_empty() {
            return false;
        }
        self.last_preemption_at = now;
        true
    }

    /// Returns the jobs that the next pass skips.
    pub(super) fn passed_over(&self) -> &BTreeSet<JobId> {
        &self.passed_over
    }

    /// Adds the jobs that a pass which could not look at all jobs searched machines for in vain, and
    /// requests the next pass. If there are none, the next pass looks at all jobs again.
    pub(super) fn set_passed_over(&mut self, jobs: Vec<JobId>) {
        self.pass_pending |= !jobs.is_empty();
        add_or_clear(&mut self.passed_over, jobs);
    }

    /// Returns the jobs that the next preemption skips.
    pub(super) fn passed_over_by_preemption(&self) -> &BTreeSet<JobId> {
        &self.passed_over_by_preemption
    }

    /// Adds the jobs that a preemption which could not look at all jobs found nothing to stop for. If
    /// there are none, the next one looks at all jobs again.
    pub(super) fn set_passed_over_by_preemption(&mut self, jobs: Vec<JobId>) {
        add_or_clear(&mut self.passed_over_by_preemption, jobs);
    }

    /// Replaces the machines on which free capacity is held, and returns the earlier ones.
    pub(super) fn replace_held(&mut self, machines: Vec<MachineId>) -> Vec<MachineId> {
        std::mem::replace(&mut self.held_machines, machines)
    }

    pub(super) fn add_machines_compared(&mut self, compared: usize) {
        self.machines_compared += compared;
    }

    pub(super) fn machines_compared(&self) -> usize {
        self.machines_compared
    }

    /// Returns the ID of a new attempt under `term`.
    pub(super) fn next_attempt(&mut self, term: Term) -> AttemptId {
        self.attempts_started += 1;
        AttemptId::of(term, self.attempts_started)
    }
}

/// Adds jobs to a set. If there are none, clears the set.
fn add_or_clear(set: &mut BTreeSet<JobId>, jobs: Vec<JobId>) {
    if jobs.is_empty() {
        set.clear();
    } else {
        set.extend(jobs);
    }
}
