//! The state that a partition's owner keeps of a live job.

use super::dependencies::{Inherited, Readiness};
use super::dependency_state::DependencyState;
use super::failure_backoff::FailureBackoff;
use super::progress_pages::{ProgressPages, ProgressTransaction};
use super::ranges::RangeSet;
use super::task_states::TaskStates;
use super::write_state::WriteState;
use super::{EndedRecord, JobDesc, JobRecord, JobState, PolicyChoice, ProgressRecord};
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::{Label, MachineId, Revision, Term};
use crate::store::{Compare, Mutation, keys};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Number of mutations that a job's end needs besides those that delete its progress records: one
/// deletes the live record and one creates the ended record.
const END_MUTATIONS: usize = 2;

/// The state that a partition's owner keeps of a live job.
#[derive(Debug)]
pub struct Job {
    /// The description that the user submitted, restricted by the operators' policy.
    pub desc: Rc<JobDesc>,
    /// Index of the job's team in the settings.
    pub team: usize,
    /// Wall-clock time at which the job was accepted.
    pub accepted_at: Micros,
    /// The term of the team's partition when the job was accepted.
    pub accepted_term: Term,
    /// Revision of the job's record, which never changes while the job lives.
    pub revision: Revision,
    /// Wall-clock time at which a task of the job last started, as far as this owner knows. Until
    /// then it is the time at which the job was accepted or became ready.
    pub last_start_at: Micros,
    /// Time within which the job's tasks should start; `None` if the job's class has no such
    /// objective.
    pub start_latency_objective: Option<Micros>,
    /// The decisions of the operators' policy about the job.
    pub(super) policy_choice: PolicyChoice,
    /// Whether the user allows spot machines, regardless of the policy.
    user_allows_spot: bool,
    pub(super) dependency_state: DependencyState,
    pub(super) tasks: TaskStates,
    progress: ProgressPages,
    write_state: WriteState,
    failure_backoff: FailureBackoff,
    /// Whether the job's end is stored, or the job was cancelled. The job is kept until the watch
    /// reports that.
    is_ended: bool,
}

impl Job {
    /// Creates the state of a job of which no progress is known. `team` is the index of its team in
    /// the settings.
    pub fn new(record: &JobRecord, revision: Revision, team: usize, tasks_per_page: u32) -> Job {
        let desc = &record.desc;
        let has_dependencies = !desc.dependencies.is_empty();
        Job {
            desc: Rc::new(desc.clone()),
            team,
            accepted_at: record.accepted_at,
            accepted_term: record.accepted_term,
            revision,
            last_start_at: record.accepted_at,
            start_latency_objective: None,
            policy_choice: PolicyChoice::default(),
            user_allows_spot: desc.spot,
            dependency_state: DependencyState::new(record.accepted_at, has_dependencies),
            tasks: TaskStates::new(desc.tasks),
            progress: ProgressPages::new(desc.tasks, tasks_per_page),
            write_state: WriteState::default(),
            failure_backoff: FailureBackoff::default(),
            is_ended: false,
        }
    }

    /// Records that the job's end is stored or that the job was cancelled. None of its tasks is
    /// started any more.
    pub fn mark_ended(&mut self) {
        self.is_ended = true;
    }

    /// Whether the job's end is stored or the job was cancelled.
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }
}

/// Methods that apply the operators' policy.
impl Job {
    /// Applies the decisions of the operators' policy. They can only restrict what the user allows.
    pub fn apply_policy(&mut self, choice: PolicyChoice) {
        self.policy_choice = choice;
        if self.desc.spot && !choice.spot {
            Rc::make_mut(&mut self.desc).spot = false;
        }
    }

    /// Returns the decisions of the operators' policy about the job.
    pub fn policy_choice(&self) -> PolicyChoice {
        self.policy_choice
    }
}

/// Methods that track the job's dependencies.
impl Job {
    /// Records whether the job's dependencies are done. Returns whether the job became ready,
    /// ceased to be ready, or became cancelled.
    pub fn set_readiness(&mut self, readiness: &Readiness) -> bool {
        let changed = self.dependency_state.set_readiness(readiness);
        if matches!(readiness, Readiness::Ready(_)) {
            self.last_start_at = self.last_start_at.max(self.eligible_since());
        }
        changed
    }

    /// Records what the job inherits from the jobs that depend on it. Returns whether that changed.
    pub fn set_inherited(&mut self, inherited: Option<Inherited>) -> bool {
        self.dependency_state.set_inherited(inherited)
    }

    /// Whether a job that depends on this one, directly or not, has a deadline.
    pub fn has_inherited_deadline(&self) -> bool {
        let inherited = self.dependency_state.inherited();
        inherited.is_some_and(|inherited| inherited.deadline.is_some())
    }

    /// Whether all dependencies of the job are known to be done and none was cancelled.
    pub fn is_ready(&self) -> bool {
        self.dependency_state.is_ready()
    }

    /// Returns the wall-clock time from which the job's waiting time is measured: when the job was
    /// accepted or when its last dependency was done, whichever is later.
    pub fn eligible_since(&self) -> Micros {
        self.dependency_state.eligible_since()
    }

    /// Whether an earlier owner can have started the job, if the partition was granted to its
    /// successor at `term` and `grant_revision`. This is impossible if the job was accepted in
    /// `term` or later, or if its dependencies were done only after the grant, because the earlier
    /// owner's lease had expired by then.
    pub fn may_have_begun_before(&self, term: Term, grant_revision: Revision) -> bool {
        self.accepted_term < term && self.dependency_state.done_revision() <= grant_revision
    }

    /// Whether an earlier owner can have started the job on a machine of this type and zone. The
    /// earlier owner may have had a policy that allowed spot machines, so only the user's
    /// restriction of spot machines is applied.
    pub fn may_have_been_on(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.user_allows_spot || !spot)
            && self.desc.allows(machine_type, zone, spot && self.desc.spot)
    }
}

/// Methods that track the job's tasks.
impl Job {
    /// Returns the finished tasks.
    pub fn done(&self) -> &RangeSet {
        self.tasks.done()
    }

    /// Returns the tasks that are neither done nor on a machine.
    pub fn waiting(&self) -> &RangeSet {
        self.tasks.waiting()
    }

    /// Returns the machine of each task that is on one.
    pub fn active(&self) -> &BTreeMap<u32, MachineId> {
        self.tasks.active()
    }

    /// Whether every task is done.
    pub fn all_done(&self) -> bool {
        self.tasks.is_all_done()
    }

    /// Whether the job has tasks that may be placed on machines now. Guards against a job that
    /// starts, takes capacity, causes scale-outs or takes a place in the queue before its
    /// dependencies are done.
    pub fn wants_machines(&self) -> bool {
        !self.is_ended && self.is_ready() && !self.waiting().is_empty()
    }

    /// Records that a task is being started on a machine.
    pub fn start(&mut self, index: u32, machine: MachineId) {
        self.tasks.start(index, machine);
    }

    /// Records that a heartbeat has shown a task running.
    pub fn mark_running(&mut self, index: u32) {
        self.tasks.mark_running(index);
    }

    /// Records that a task finished. Returns `false` if the task was done already or if the job has
    /// no such task.
    pub fn finish(&mut self, index: u32) -> bool {
        let is_new = self.tasks.finish(index);
        if is_new {
            self.progress.mark_task_dirty(index);
        }
        is_new
    }

    /// Records that the attempt of a task ended without a result. The task waits again, unless it
    /// is done.
    pub fn requeue(&mut self, index: u32) {
        self.tasks.requeue(index);
    }
}

/// Methods that track the job's failures.
impl Job {
    /// Records that an attempt of the job failed on a machine.
    pub fn record_failure(&mut self, machine: MachineId) {
        self.failure_backoff.record_failure(machine);
    }

    /// Removes all failures, because a task of the job succeeded, so that the job is not the cause
    /// of the failures.
    pub fn clear_failures(&mut self) {
        self.failure_backoff.clear();
    }

    /// Whether the job's failures are attributed to the job instead of the machines: it failed on
    /// several machines, and none of its tasks has succeeded since.
    pub fn is_failing(&self) -> bool {
        !self.is_ended && self.failure_backoff.is_failing()
    }

    /// Starts a back-off, during which no task of the job is started. Its duration grows with the
    /// number of failures.
    pub fn back_off(&mut self, now: Micros) {
        self.failure_backoff.back_off(now);
    }

    /// Returns the machines on which the job failed since one of its tasks last succeeded.
    pub fn failed_on(&self) -> &BTreeSet<MachineId> {
        self.failure_backoff.failed_on()
    }

    /// Returns the instant before which no task of the job is started.
    pub fn not_before(&self) -> Micros {
        self.failure_backoff.not_before()
    }

    /// Returns the number of waiting tasks that may be started at once. A failing job has a low
    /// limit. Guards against a job that was submitted with a mistake and starts all of its tasks
    /// again after every back-off: they used so many idle machines that none was ever released.
    pub fn startable(&self) -> u32 {
        if self.is_failing() {
            FailureBackoff::probe_tasks()
        } else {
            u32::MAX
        }
    }

    /// Returns the total request of the tasks that failed and wait again: one task for each
    /// failure, but no more than are waiting.
    pub fn failing_resources(&self) -> Resources {
        let tasks = self.failure_backoff.failures().min(self.waiting().len());
        self.desc.request().scale(f64::from(tasks))
    }
}

/// Methods that store the job's progress and end in the key-value store.
impl Job {
    /// Limits the size of the job's progress records, in bytes of JSON.
    pub fn limit_value_bytes(&mut self, max: usize) {
        self.progress.limit_value_bytes(max);
    }

    /// Restores a progress record of an earlier owner, which may have divided the tasks into pages
    /// of another size.
    pub fn restore_progress(&mut self, number: u32, revision: Revision, record: &ProgressRecord) {
        for (start, end) in &record.done {
            self.tasks.restore_done(*start..*end);
        }
        self.progress.restore_running(record.running > 0);
        self.progress.set_revision(number, revision);
    }

    /// Records the revision of a progress record, as the answer to a write or the watch reports it.
    pub fn set_page_revision(&mut self, number: u32, revision: Revision) {
        self.progress.set_revision(number, revision);
    }

    /// Records that these progress records were not written or may not have been written, so that
    /// they are written again.
    pub fn mark_unwritten(&mut self, numbers: &[u32]) {
        self.progress.mark_unwritten(numbers);
    }

    /// Whether the page of a task has changed and is not being written.
    pub fn is_dirty(&self, index: u32) -> bool {
        self.progress.is_task_dirty(index)
    }

    /// Records that a write of the job's records is sent.
    pub fn begin_write(&mut self) {
        self.write_state.begin();
    }

    /// Records that the write was answered, or that no answer to it is expected any more.
    pub fn finish_write(&mut self) {
        self.write_state.finish();
    }

    /// Forbids writes of the job's records before this instant.
    pub fn delay_writes_until(&mut self, at: Micros) {
        self.write_state.delay_until(at);
    }

    /// Returns the instant before which none of the job's records is written.
    pub fn next_write_at(&self) -> Micros {
        self.write_state.not_before()
    }

    /// Whether a write of the job's records may be sent now: none is in flight, and the interval
    /// since the last one has passed.
    pub fn may_write(&self, now: Micros) -> bool {
        self.write_state.may_write(now)
    }

    /// Whether there is progress or an end to write, and a write may be sent now.
    pub fn wants_write(&self, now: Micros) -> bool {
        !self.is_ended && self.may_write(now) && (self.is_terminal() || self.has_new_progress())
    }

    fn has_new_progress(&self) -> bool {
        self.progress.has_dirty() || self.progress.running_changed(self.tasks.running_count())
    }

    /// Whether the only change to write, if there is any, is whether a task of the job is running.
    /// This state is only shown to users, and nothing else depends on it.
    pub fn has_only_display_changes(&self) -> bool {
        !self.is_terminal() && !self.progress.has_dirty()
    }

    /// Creates the transaction that stores the progress since the last write, in at most
    /// `max_records` records.
    pub fn progress_transaction(
        &mut self,
        owner: &Label,
        max_records: usize,
    ) -> ProgressTransaction {
        let id = &self.desc.id;
        let mut transaction = ProgressTransaction {
            compares: vec![Compare::new(keys::job(id), self.revision)],
            mutations: Vec::new(),
            record_numbers: Vec::new(),
        };
        for write in self.progress.take_writes(&self.tasks, owner, max_records) {
            let key = keys::progress_page(id, write.number);
            // A delayed write of this owner must not overwrite a later one.
            let unchanged = Compare::new(key.clone(), write.replaced_revision);
            transaction.compares.push(unchanged);
            transaction
                .mutations
                .push(Mutation::put(key, &write.record));
            transaction.record_numbers.push(write.number);
        }
        transaction
    }

    /// Whether the job's end is to be stored: every task is done, or a dependency was cancelled.
    pub fn is_terminal(&self) -> bool {
        self.dependency_state.has_cancelled() || self.all_done()
    }

    /// Returns the state in which the job ends. The result is meaningful only if the job is
    /// terminal.
    pub fn terminal_state(&self) -> JobState {
        if self.dependency_state.has_cancelled() {
            JobState::Cancelled
        } else {
            JobState::Done
        }
    }

    /// Creates the compare-and-swap transaction that stores the job's end, with at most
    /// `max_mutations` mutations, and returns its compares and mutations. Progress records for
    /// whose deletion there is no room are collected as garbage by the leader.
    pub fn end_transaction(
        &self,
        wall_clock: Micros,
        max_mutations: usize,
    ) -> (Vec<Compare>, Vec<Mutation>) {
        let id = &self.desc.id;
        let ended = EndedRecord {
            state: self.terminal_state(),
            tasks: self.desc.tasks,
            footprint: Some(self.desc.footprint()),
            ended_at: Some(wall_clock),
        };
        let compares = vec![
            Compare::new(keys::job(id), self.revision),
            Compare::new(keys::ended(id), Revision(0)),
        ];
        let mut mutations = vec![
            Mutation::delete(keys::job(id)),
            Mutation::put(keys::ended(id), &ended),
        ];
        let max_pages = max_mutations.saturating_sub(END_MUTATIONS);
        let pages = self.progress.record_numbers().take(max_pages);
        mutations.extend(pages.map(|number| Mutation::delete(keys::progress_page(id, number))));
        (compares, mutations)
    }
}
