//! Jobs: what users ask for, what is recorded, and where each task stands.

pub mod dependencies;
mod description;
mod order;
mod progress;
pub mod ranges;
mod records;

pub use description::{ImageKey, JobDesc, JobKind, MOST_TASKS, Priority, Refusal, allows_build};
pub use order::Urgency;
pub use progress::page_tasks;
pub use records::{EndedRecord, Footprint, JobRecord, JobState, ProgressRecord};

use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::{MachineId, Revision, Term};
use crate::policy::JobChoice;
use crate::store::{self, Compare, Mutation, compare, keys};
use dependencies::{Inherited, Readiness};
use ranges::RangeSet;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// On so many machines a job must fail for it to be the job.
const FAILS_ON: usize = 3;
/// Tasks of a failing job that are tried after each back-off.
const PROBE_TASKS: u32 = 3;
/// The back-off of a failing job doubles with each failure, from twice this up to
/// `2^MOST_DOUBLINGS` times this.
const BACK_OFF: Micros = Micros::from_millis(1_000);
const MOST_DOUBLINGS: u32 = 5;

/// A job in its owner's hands.
#[derive(Debug)]
pub struct Job {
    /// What its user asked for.
    pub desc: Rc<JobDesc>,
    /// Its team's place in the settings.
    pub team: usize,
    /// Time of day at which it was accepted.
    pub accepted_at: Micros,
    /// Time of day from which its waiting counts: when it was accepted, or when the last
    /// job before it was done.
    pub eligible_since: Micros,
    /// All jobs before it are known to be done.
    ready: bool,
    /// The store's revision at which the last one of them was done.
    ready_revision: Revision,
    /// One before it was cancelled.
    behind_cancelled: bool,
    /// What it has from the jobs that need it.
    inherited: Option<Inherited>,
    /// The term of its team's partition then.
    pub accepted_term: Term,
    /// Of its record, which never changes while the job lives.
    pub revision: Revision,
    /// Finished tasks.
    pub done: RangeSet,
    /// Neither done nor on a machine.
    pub waiting: RangeSet,
    /// Where each attempt is.
    pub active: BTreeMap<u32, MachineId>,
    /// Those that a report has shown running.
    running: BTreeSet<u32>,
    /// A write of it is out.
    pub writing: bool,
    /// Nothing of it is written before then.
    pub write_after: Micros,
    /// Tasks in a page.
    page: u32,
    /// What a value may hold.
    value_bytes: usize,
    pages: BTreeMap<u32, Revision>,
    dirty: BTreeSet<u32>,
    /// The page after the last one that was written. Guards against pages that are never
    /// written while lower ones go on changing.
    next_page: u32,
    /// Whether it was last recorded as running.
    shown_running: bool,
    /// The job's end is stored; it stays here until the watch has told so too.
    pub ended: bool,
    /// Failures in a row, and how long to wait because of them.
    pub failures: u32,
    /// Nothing of it starts before then.
    pub not_before: Micros,
    /// Where it failed since anything of it succeeded.
    pub failed_on: BTreeSet<MachineId>,
    /// Time of day at which a task of it last started, as far as is known here.
    pub last_start: Micros,
    /// Within what time its tasks should start, where an objective says so.
    pub start_latency_objective: Option<Micros>,
    /// What the operators' policy says of it.
    pub choice: JobChoice,
    /// Whether its user allows spot machines, whatever the policy says now.
    spot_once: bool,
}

impl Job {
    /// A job of which nothing has been done, as far as is known.
    pub fn new(rec: &JobRecord, revision: Revision, team: usize, page: u32) -> Job {
        Job {
            desc: Rc::new(rec.desc.clone()),
            team,
            accepted_at: rec.accepted_at,
            eligible_since: rec.accepted_at,
            ready: rec.desc.dependencies.is_empty(),
            ready_revision: Revision(0),
            behind_cancelled: false,
            inherited: None,
            accepted_term: rec.accepted_term,
            revision,
            done: RangeSet::default(),
            waiting: RangeSet::full(rec.desc.tasks),
            active: BTreeMap::new(),
            running: BTreeSet::new(),
            writing: false,
            write_after: Micros::ZERO,
            page,
            value_bytes: usize::MAX,
            pages: BTreeMap::new(),
            dirty: BTreeSet::new(),
            next_page: 0,
            shown_running: false,
            ended: false,
            failures: 0,
            not_before: Micros::ZERO,
            failed_on: BTreeSet::new(),
            last_start: rec.accepted_at,
            start_latency_objective: None,
            choice: JobChoice::default(),
            spot_once: rec.desc.spot,
        }
    }

    /// Nothing of it is recorded in larger values than this.
    pub fn limit_values(&mut self, bytes: usize) {
        self.value_bytes = bytes;
    }

    /// Takes in how the jobs before it stand, and whether that changed.
    pub fn set_readiness(&mut self, readiness: &Readiness) -> bool {
        let before = (self.ready, self.behind_cancelled);
        match readiness {
            Readiness::Ready(done) => {
                self.ready = true;
                self.ready_revision = done.revision;
                self.eligible_since = self
                    .accepted_at
                    .max(done.wall_clock.unwrap_or(self.accepted_at));
                self.last_start = self.last_start.max(self.eligible_since);
            }
            Readiness::Waiting(_) => self.ready = false,
            Readiness::Cancelled => (self.ready, self.behind_cancelled) = (false, true),
        }
        before != (self.ready, self.behind_cancelled)
    }

    /// Takes in what it has from the jobs that need it, and whether that changed.
    pub fn inherit(&mut self, inherited: Option<Inherited>) -> bool {
        let before = std::mem::replace(&mut self.inherited, inherited);
        before != inherited
    }

    /// Whether others wait for it that have a deadline.
    pub fn is_awaited(&self) -> bool {
        self.inherited.is_some_and(|i| i.due.is_some())
    }

    /// Whether all jobs before it are known to be done.
    pub fn is_ready(&self) -> bool {
        self.ready && !self.behind_cancelled
    }

    /// Whether an owner whose successor was granted the partition at `term` and `granted` can
    /// have started it: not if it was accepted after that, nor if the jobs before it were
    /// done only then, since that owner's lease was over.
    pub fn may_have_begun_before(&self, term: Term, granted: Revision) -> bool {
        self.accepted_term < term && self.ready_revision <= granted
    }

    /// Whether it wants machines for tasks of it. Guards against a job that starts before
    /// those that it names are done, and that takes room, rentals or its turn before then.
    pub fn wants_machines(&self) -> bool {
        !self.ended && self.is_ready() && !self.waiting.is_empty()
    }

    /// Takes the operators' choice over. It can only narrow what the job allows.
    pub fn choose(&mut self, choice: JobChoice) {
        self.choice = choice;
        if self.desc.spot && !choice.spot {
            Rc::make_mut(&mut self.desc).spot = false;
        }
    }

    /// Whether an earlier owner can have started it on such a machine. It may have had
    /// another policy.
    pub fn may_have_been_on(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.spot_once || !spot) && self.desc.allows(machine_type, zone, spot && self.desc.spot)
    }

    /// Whether its end is to be stored.
    pub fn is_over(&self) -> bool {
        self.behind_cancelled || self.all_done()
    }

    /// Whether every task is done.
    pub fn all_done(&self) -> bool {
        self.done.len() == self.desc.tasks
    }

    /// Records a finished task; false if it was known.
    pub fn finish(&mut self, index: u32) -> bool {
        self.active.remove(&index);
        self.running.remove(&index);
        self.waiting.remove(index);
        if index >= self.desc.tasks || !self.done.insert(index) {
            return false;
        }
        self.dirty.insert(index / self.page);
        true
    }

    /// Its failures say something about it, not about machines: it failed on several,
    /// and nothing of it has succeeded since.
    pub fn fails(&self) -> bool {
        !self.ended && self.failed_on.len() >= FAILS_ON
    }

    /// How many of its waiting tasks may be started at once. Guards against a job that
    /// was submitted with a mistake and starts all of its tasks again after every
    /// back-off: they touched so many idle machines that none was ever returned.
    pub fn startable(&self) -> u32 {
        if self.fails() { PROBE_TASKS } else { u32::MAX }
    }

    /// A failing job waits before it is tried again, the longer the more it has failed.
    pub fn back_off(&mut self, now: Micros) {
        let doublings = self.failures.min(MOST_DOUBLINGS);
        self.not_before = now + Micros(BACK_OFF.0 << doublings);
    }

    /// A task of it succeeded: whatever failed before, it is not the job.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.failed_on.clear();
        self.not_before = Micros::ZERO;
    }

    /// What its tasks that failed would hold.
    pub fn failing(&self) -> Resources {
        let tasks = self.failures.min(self.waiting.len());
        self.desc.request().scale(f64::from(tasks))
    }

    /// The attempt is over without a result: the task waits again.
    pub fn requeue(&mut self, index: u32) {
        self.active.remove(&index);
        self.running.remove(&index);
        if index < self.desc.tasks && !self.done.contains(index) {
            self.waiting.insert(index);
        }
    }

    /// A task is being started on a machine.
    pub fn start(&mut self, index: u32, on: MachineId) {
        self.waiting.remove(index);
        self.active.insert(index, on);
    }

    /// A report has shown a task running.
    pub fn runs(&mut self, index: u32) {
        if self.active.contains_key(&index) {
            self.running.insert(index);
        }
    }

    /// Whether there is something to tell the store.
    pub fn wants_write(&self, now: Micros) -> bool {
        let flipped = self.shown_running == self.running.is_empty();
        !self.ended
            && !self.writing
            && now >= self.write_after
            && (self.is_over() || !self.dirty.is_empty() || flipped)
    }

    /// What it has for the store is only whether any of its tasks runs, which users are
    /// shown and nothing depends on.
    pub fn only_display(&self) -> bool {
        !self.is_over() && self.dirty.is_empty()
    }

    /// How it ends.
    pub fn end_standing(&self) -> JobState {
        if self.behind_cancelled {
            JobState::Cancelled
        } else {
            JobState::Done
        }
    }

    /// The job's end, in one transaction of at most `most` changes. Pages that are left
    /// over are garbage, which the leader clears.
    pub fn end_ops(&self, wall_clock: Micros, most: usize) -> (Vec<Compare>, Vec<Mutation>) {
        let id = &self.desc.id;
        let ended = EndedRecord {
            state: self.end_standing(),
            tasks: self.desc.tasks,
            footprint: Some(self.desc.footprint()),
            ended_at: Some(wall_clock),
        };
        let compares = vec![
            compare(keys::job(id), self.revision),
            compare(keys::ended(id), Revision(0)),
        ];
        let mut mutations = vec![
            store::delete(keys::job(id)),
            store::put(keys::ended(id), &ended),
        ];
        let pages = self.pages.keys().take(most.saturating_sub(2));
        mutations.extend(pages.map(|p| store::delete(keys::progress_page(id, *p))));
        (compares, mutations)
    }
}

#[cfg(test)]
pub(crate) mod tests;
