//! A live job as the owner of its partition holds it.

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

/// Mutations of a job's end besides those that delete its pages: its live record goes, and
/// its ended record comes.
const END_MUTATIONS: usize = 2;

/// A job in its owner's hands.
#[derive(Debug)]
pub struct Job {
    /// What its user submitted, narrowed by the operators' policy.
    pub desc: Rc<JobDesc>,
    /// The index of its team in the settings.
    pub team: usize,
    /// Wall-clock time at which it was accepted.
    pub accepted_at: Micros,
    /// The term of its team's partition then.
    pub accepted_term: Term,
    /// Of its record, which never changes while the job lives.
    pub revision: Revision,
    /// Wall-clock time at which a task of it last started, as far as is known here.
    pub last_start_at: Micros,
    /// Within what time its tasks should start, where an objective says so.
    pub start_latency_objective: Option<Micros>,
    /// What the operators' policy decides about it.
    pub(super) policy_choice: PolicyChoice,
    /// Whether its user allows spot machines, whatever the policy says now.
    user_allows_spot: bool,
    pub(super) dependency_state: DependencyState,
    pub(super) tasks: TaskStates,
    progress: ProgressPages,
    write_state: WriteState,
    failure_backoff: FailureBackoff,
    /// Its end is stored; it stays here until the watch reports that too.
    is_ended: bool,
}

impl Job {
    /// A job of which nothing has been done, as far as is known.
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

    /// Its end is stored, or it was cancelled: nothing more of it starts.
    pub fn mark_ended(&mut self) {
        self.is_ended = true;
    }

    /// Whether its end is stored.
    pub fn is_ended(&self) -> bool {
        self.is_ended
    }
}

/// Policy.
impl Job {
    /// Applies the operators' choice. It can only narrow what the job allows.
    pub fn apply_policy(&mut self, choice: PolicyChoice) {
        self.policy_choice = choice;
        if self.desc.spot && !choice.spot {
            Rc::make_mut(&mut self.desc).spot = false;
        }
    }

    /// What the operators' policy decides about it.
    pub fn policy_choice(&self) -> PolicyChoice {
        self.policy_choice
    }
}

/// Dependencies.
impl Job {
    /// Records whether the jobs before it are done, and returns whether that changed.
    pub fn set_readiness(&mut self, readiness: &Readiness) -> bool {
        let changed = self.dependency_state.set_readiness(readiness);
        if matches!(readiness, Readiness::Ready(_)) {
            self.last_start_at = self.last_start_at.max(self.eligible_since());
        }
        changed
    }

    /// Records what it has from the jobs that depend on it, and returns whether that changed.
    pub fn set_inherited(&mut self, inherited: Option<Inherited>) -> bool {
        self.dependency_state.set_inherited(inherited)
    }

    /// Whether jobs that depend on it have a deadline.
    pub fn has_inherited_deadline(&self) -> bool {
        let inherited = self.dependency_state.inherited();
        inherited.is_some_and(|inherited| inherited.deadline.is_some())
    }

    /// Whether all jobs before it are known to be done.
    pub fn is_ready(&self) -> bool {
        self.dependency_state.is_ready()
    }

    /// Wall-clock time from which its waiting counts: when it was accepted, or when the last
    /// job before it was done.
    pub fn eligible_since(&self) -> Micros {
        self.dependency_state.eligible_since()
    }

    /// Whether an owner whose successor was granted the partition at `term` and
    /// `grant_revision` can have started it: not if it was accepted after that, nor if the
    /// jobs before it were done only then, since that owner's lease had expired.
    pub fn may_have_begun_before(&self, term: Term, grant_revision: Revision) -> bool {
        self.accepted_term < term && self.dependency_state.done_revision() <= grant_revision
    }

    /// Whether an earlier owner can have started it on such a machine. It may have had
    /// another policy.
    pub fn may_have_been_on(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.user_allows_spot || !spot)
            && self.desc.allows(machine_type, zone, spot && self.desc.spot)
    }
}

/// Tasks.
impl Job {
    /// Finished tasks.
    pub fn done(&self) -> &RangeSet {
        self.tasks.done()
    }

    /// Tasks that are neither done nor on a machine.
    pub fn waiting(&self) -> &RangeSet {
        self.tasks.waiting()
    }

    /// The machine of each task that is on one.
    pub fn active(&self) -> &BTreeMap<u32, MachineId> {
        self.tasks.active()
    }

    /// Whether every task is done.
    pub fn all_done(&self) -> bool {
        self.tasks.is_all_done()
    }

    /// Whether it wants machines for tasks of it. Guards against a job that starts before
    /// its dependencies are done, and that takes capacity, scale-outs or its place in the
    /// order before then.
    pub fn wants_machines(&self) -> bool {
        !self.is_ended && self.is_ready() && !self.waiting().is_empty()
    }

    /// A task is being started on a machine.
    pub fn start(&mut self, index: u32, machine: MachineId) {
        self.tasks.start(index, machine);
    }

    /// A heartbeat has shown a task running.
    pub fn mark_running(&mut self, index: u32) {
        self.tasks.mark_running(index);
    }

    /// Records a finished task; false if it was known.
    pub fn finish(&mut self, index: u32) -> bool {
        let is_new = self.tasks.finish(index);
        if is_new {
            self.progress.mark_task_dirty(index);
        }
        is_new
    }

    /// The attempt ended without a result: the task waits again.
    pub fn requeue(&mut self, index: u32) {
        self.tasks.requeue(index);
    }
}

/// Failures.
impl Job {
    /// An attempt of it failed on this machine.
    pub fn record_failure(&mut self, machine: MachineId) {
        self.failure_backoff.record_failure(machine);
    }

    /// A task of it succeeded: whatever failed before, it is not the job.
    pub fn clear_failures(&mut self) {
        self.failure_backoff.clear();
    }

    /// Its failures are due to the job and not to machines: it failed on several, and nothing
    /// of it has succeeded since.
    pub fn is_failing(&self) -> bool {
        !self.is_ended && self.failure_backoff.is_failing()
    }

    /// A failing job waits before it is tried again, the longer the more it has failed.
    pub fn back_off(&mut self, now: Micros) {
        self.failure_backoff.back_off(now);
    }

    /// Where it failed since a task of it last succeeded.
    pub fn failed_on(&self) -> &BTreeSet<MachineId> {
        self.failure_backoff.failed_on()
    }

    /// Nothing of it starts before then.
    pub fn not_before(&self) -> Micros {
        self.failure_backoff.not_before()
    }

    /// How many of its waiting tasks may be started at once. Guards against a job that
    /// was submitted with a mistake and starts all of its tasks again after every
    /// back-off: they used so many idle machines that none was ever released.
    pub fn startable(&self) -> u32 {
        if self.is_failing() {
            FailureBackoff::probe_tasks()
        } else {
            u32::MAX
        }
    }

    /// What its tasks that failed would hold.
    pub fn failing_resources(&self) -> Resources {
        let tasks = self.failure_backoff.failures().min(self.waiting().len());
        self.desc.request().scale(f64::from(tasks))
    }
}

/// Records in the key-value store.
impl Job {
    /// Nothing of it is recorded in larger values than this.
    pub fn limit_value_bytes(&mut self, max: usize) {
        self.progress.limit_value_bytes(max);
    }

    /// Restores what an earlier owner recorded. Its pages need not be cut as ours are.
    pub fn restore_progress(&mut self, number: u32, revision: Revision, record: &ProgressRecord) {
        for (start, end) in &record.done {
            self.tasks.restore_done(*start..*end);
        }
        self.progress.restore_running(record.running > 0);
        self.progress.set_revision(number, revision);
    }

    /// A progress record has this revision now, as our write's answer or the watch says.
    pub fn set_page_revision(&mut self, number: u32, revision: Revision) {
        self.progress.set_revision(number, revision);
    }

    /// These progress records were not written, or may not have been.
    pub fn mark_unwritten(&mut self, numbers: &[u32]) {
        self.progress.mark_unwritten(numbers);
    }

    /// Whether the page of this task is still to be recorded, and not being written.
    pub fn is_dirty(&self, index: u32) -> bool {
        self.progress.is_task_dirty(index)
    }

    /// A write about it is sent.
    pub fn begin_write(&mut self) {
        self.write_state.begin();
    }

    /// The write about it was answered, or its answer is given up.
    pub fn finish_write(&mut self) {
        self.write_state.finish();
    }

    /// Nothing about it is written before then.
    pub fn delay_writes_until(&mut self, at: Micros) {
        self.write_state.delay_until(at);
    }

    /// Nothing about it is written before then.
    pub fn next_write_at(&self) -> Micros {
        self.write_state.not_before()
    }

    /// Whether a write about it may be sent now: none is in flight, and the gap since the last
    /// one has passed.
    pub fn may_write(&self, now: Micros) -> bool {
        self.write_state.may_write(now)
    }

    /// Whether there is something to write, and it may be written now.
    pub fn wants_write(&self, now: Micros) -> bool {
        !self.is_ended && self.may_write(now) && (self.is_terminal() || self.has_new_progress())
    }

    fn has_new_progress(&self) -> bool {
        self.progress.has_dirty() || self.progress.running_changed(self.tasks.running_count())
    }

    /// All that may be written is whether a task of it runs, which users are shown and
    /// nothing depends on.
    pub fn has_only_display_changes(&self) -> bool {
        !self.is_terminal() && !self.progress.has_dirty()
    }

    /// Progress since the last write, in at most `max_records` records.
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
            // A late write of ours must not undo a later one: each page has its revision.
            let unchanged = Compare::new(key.clone(), write.replaces);
            transaction.compares.push(unchanged);
            transaction
                .mutations
                .push(Mutation::put(key, &write.record));
            transaction.record_numbers.push(write.number);
        }
        transaction
    }

    /// Whether its end is to be stored: every task is done, or a job before it was cancelled.
    pub fn is_terminal(&self) -> bool {
        self.dependency_state.has_cancelled() || self.all_done()
    }

    /// The state that it ends in.
    pub fn terminal_state(&self) -> JobState {
        if self.dependency_state.has_cancelled() {
            JobState::Cancelled
        } else {
            JobState::Done
        }
    }

    /// The job's end, in one compare-and-swap of at most `max_mutations`. Pages that are left
    /// over are garbage, which the leader collects.
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
