//! Jobs: what users ask for, what is recorded, and where each task stands.

pub mod dependencies;
mod description;
pub mod ranges;
mod records;

pub use description::{Form, ImageKey, JobDesc, MOST_TASKS, Rank, Refusal, allows_build};
pub use records::{EndedRecord, Footprint, JobRecord, ProgressRecord, Standing};

use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::{Label, MachineId, Revision, Term};
use crate::policy::JobChoice;
use crate::store::{self, Cond, Op, cond, keys};
use dependencies::{Inherited, Readiness};
use ranges::RangeSet;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Finished tasks are kept in pages of at most this many.
const PAGE: u32 = 1024;
/// What a range may take as JSON, with room for the rest of its record.
const RANGE_BYTES: f64 = 40.0;
/// What a page of progress takes besides its ranges.
const PAGE_BYTES: usize = 128;
/// What a range takes besides its digits.
const RANGE_SIGNS: usize = 4;
/// Further records that each page may be split into where it does not fit into one value.
const PARTS_PER_PAGE: u32 = 64;
/// On so many machines a job must fail for it to be the job.
const FAILS_ON: usize = 3;
/// Tasks of a failing job that are tried after each back-off.
const PROBE_TASKS: u32 = 3;
/// The back-off of a failing job doubles with each failure, from twice this up to
/// `2^MOST_DOUBLINGS` times this.
const BACK_OFF: Micros = Micros::from_millis(1_000);
const MOST_DOUBLINGS: u32 = 5;

/// How many tasks a page of progress covers: even the worst pattern, every other
/// task finished, stays below what a value may hold.
pub fn page_tasks(value_kb: f64) -> u32 {
    let ranges = value_kb * 1024.0 / RANGE_BYTES;
    ((2.0 * ranges) as u32).clamp(8, PAGE)
}

/// The order among jobs of one rank, the most urgent first. Jobs count and not tasks, so
/// of two that can't both be served in time the one with less work left is the cheaper.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// It can still keep its deadline: the least slack times the least work left.
    Due(u64),
    /// Its class has an objective for starting: the oldest.
    ToStart(Micros),
    /// Neither: the least work left for the time that it has waited.
    Background(u64),
    /// Its deadline is lost.
    Late(u64),
}

/// Added to a job's slack, so that work counts where there is none left.
const LEAST_PRESSING_S: f64 = 10.0;
/// Added to the time that a job has waited, so that work counts from the start.
const LEAST_WAITED_S: f64 = 1.0;
/// A deadline missed by so much, by the owner's estimate, is lost.
const MOST_LATE_US: i64 = 2_000_000;

/// A job in its owner's hands.
#[derive(Debug)]
pub struct Job {
    /// What its user asked for.
    pub desc: Rc<JobDesc>,
    /// Its team's place in the settings.
    pub team: usize,
    /// Time of day at which it was accepted.
    pub at: Micros,
    /// Time of day from which its waiting counts: when it was accepted, or when the last
    /// job before it was done.
    pub since: Micros,
    /// All jobs before it are known to be done.
    ready: bool,
    /// One before it was cancelled.
    behind_cancelled: bool,
    /// What it has from the jobs that need it.
    inherited: Option<Inherited>,
    /// The term of its team's block then.
    pub born: Term,
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
    pub starts_within: Option<Micros>,
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
            at: rec.at,
            since: rec.at,
            ready: rec.desc.dependencies.is_empty(),
            behind_cancelled: false,
            inherited: None,
            born: rec.born,
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
            last_start: rec.at,
            starts_within: None,
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
            Readiness::Ready(at) => {
                self.ready = true;
                self.since = self.at.max(at.unwrap_or(self.at));
                self.last_start = self.last_start.max(self.since);
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

    /// Whether it wants machines for tasks of it. Guards against a job that starts before
    /// those that it names are done, and that takes room, rentals or its turn before then.
    pub fn wants_machines(&self) -> bool {
        !self.ended && self.is_ready() && !self.waiting.is_empty()
    }

    /// Its priority: the highest of its own and of all that need it.
    pub fn rank(&self) -> Rank {
        let inherited = self.inherited.map_or(self.desc.rank, |i| i.rank);
        inherited.max(self.desc.rank)
    }

    /// The time of day by which it must be done, for its own deadline and for those of the
    /// jobs that need it.
    pub fn due(&self) -> Option<Micros> {
        let own = self.desc.due_s.map(|due| self.at + Micros::from_secs(due));
        let inherited = self.inherited.and_then(|i| i.due);
        own.into_iter().chain(inherited).min()
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
    pub fn may_have_been_on(&self, build: &str, zone: &str, spot: bool) -> bool {
        (self.spot_once || !spot) && self.desc.allows(build, zone, spot && self.desc.spot)
    }

    /// What an earlier owner recorded. Pages need not be cut as ours are.
    pub fn recall(&mut self, page: u32, revision: Revision, rec: &ProgressRecord) {
        for (a, b) in &rec.done {
            let b = (*b).min(self.desc.tasks);
            self.done.add(*a, b);
            for i in *a..b {
                self.waiting.remove(i);
            }
        }
        self.shown_running |= rec.running > 0;
        self.page_changed(page, revision);
    }

    /// A page of it has this revision now, as our write's answer or the watch says.
    pub fn page_changed(&mut self, page: u32, revision: Revision) {
        let kept = self.pages.entry(page).or_default();
        *kept = revision.max(*kept);
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
    pub fn end_standing(&self) -> Standing {
        if self.behind_cancelled {
            Standing::Cancelled
        } else {
            Standing::Done
        }
    }

    /// The job's end, in one transaction of at most `most` changes. Pages that are left
    /// over are garbage, which the leader clears.
    pub fn end_ops(&self, day: Micros, most: usize) -> (Vec<Cond>, Vec<Op>) {
        let id = &self.desc.id;
        let ended = EndedRecord {
            standing: self.end_standing(),
            tasks: self.desc.tasks,
            footprint: Some(self.desc.footprint()),
            at: Some(day),
        };
        let conds = vec![
            cond(keys::job(id), self.revision),
            cond(keys::ended(id), Revision(0)),
        ];
        let mut ops = vec![
            store::delete(keys::job(id)),
            store::set(keys::ended(id), &ended),
        ];
        let pages = self.pages.keys().take(most.saturating_sub(2));
        ops.extend(pages.map(|p| store::delete(keys::page(id, *p))));
        (conds, ops)
    }

    /// Progress since the last write, in at most `most` pages, and which those are.
    pub fn progress_ops(&mut self, owner: &Label, most: usize) -> (Vec<Cond>, Vec<Op>, Vec<u32>) {
        let id = self.desc.id.clone();
        if self.shown_running == self.running.is_empty() {
            self.dirty.insert(0);
        }
        // A late write of ours must not undo a later one: each page has its revision.
        let mut conds = vec![cond(keys::job(&id), self.revision)];
        let (mut ops, mut pages) = (Vec::new(), Vec::new());
        while ops.len() < most {
            let Some(page) = self.take_dirty_page() else {
                break;
            };
            let records = self.page_records(page, owner);
            if !ops.is_empty() && ops.len() + records.len() > most {
                self.dirty.insert(page);
                self.next_page = page;
                break;
            }
            if page == 0 {
                self.shown_running = !self.running.is_empty();
            }
            if records.len() > most {
                // What does not fit now comes with the next write, and is not reaped before.
                self.dirty.insert(page);
            }
            for (number, rec) in records.into_iter().take(most) {
                let key = keys::page(&id, number);
                let revision = self.pages.get(&number).copied().unwrap_or_default();
                conds.push(cond(key.clone(), revision));
                ops.push(store::set(key, &rec));
                pages.push(number);
            }
            if self.dirty.contains(&page) {
                break;
            }
        }
        (conds, ops, pages)
    }

    /// What is recorded of a page: one record, or more where it does not fit into a value.
    /// Guards against a page that an earlier version wrote under a higher limit, and that
    /// could never be written again. The further ones have numbers beyond those of all
    /// pages: readers of every version join what all records say.
    fn page_records(&self, page: u32, owner: &Label) -> Vec<(u32, ProgressRecord)> {
        let room = self.value_bytes.saturating_sub(PAGE_BYTES);
        let mut records = Vec::new();
        let (mut done, mut bytes) = (Vec::new(), 0);
        for range in self.done.slice(page * self.page, (page + 1) * self.page) {
            let length = digits(range.0) + digits(range.1) + RANGE_SIGNS;
            if bytes + length > room && !done.is_empty() {
                records.push(std::mem::take(&mut done));
                bytes = 0;
            }
            bytes += length;
            done.push(range);
        }
        records.push(done);
        let running = if page == 0 {
            self.running.len() as u32
        } else {
            0
        };
        let record = |(part, done)| {
            let rec = ProgressRecord {
                owner: Some(owner.clone()),
                done,
                running: if part == 0 { running } else { 0 },
            };
            (self.record_number(page, part), rec)
        };
        (0..).zip(records).map(record).collect()
    }

    fn page_count(&self) -> u32 {
        self.desc.tasks.div_ceil(self.page)
    }

    /// The number under which a part of a page is recorded.
    fn record_number(&self, page: u32, part: u32) -> u32 {
        match part {
            0 => page,
            _ => self.page_count() + page * PARTS_PER_PAGE + part - 1,
        }
    }

    /// The page that a record is a part of.
    fn page_of(&self, number: u32) -> u32 {
        match number.checked_sub(self.page_count()) {
            Some(part) => part / PARTS_PER_PAGE,
            None => number,
        }
    }

    /// The next page to be written, in turn.
    fn take_dirty_page(&mut self) -> Option<u32> {
        let next = self.dirty.range(self.next_page..).next();
        let page = *next.or(self.dirty.first())?;
        self.dirty.remove(&page);
        self.next_page = page + 1;
        Some(page)
    }

    /// Whether the page of this task is still to be recorded, and not on its way to be.
    pub fn is_dirty(&self, index: u32) -> bool {
        self.dirty.contains(&(index / self.page))
    }

    /// These pages were not written, or may not have been.
    pub fn unwritten(&mut self, pages: &[u32]) {
        let pages: Vec<u32> = pages.iter().map(|n| self.page_of(*n)).collect();
        self.dirty.extend(pages);
    }

    /// Its place among the jobs of one rank.
    pub fn urgency(&self, day: Micros) -> Urgency {
        if self.due().is_none() {
            return match self.starts_within {
                Some(_) => Urgency::ToStart(self.since),
                None => Urgency::Background(self.work_per_wait(day)),
            };
        }
        let slack = self.slack(day);
        let pressing = slack.max(0) as f64 / 1e6 + LEAST_PRESSING_S;
        let order = (pressing * self.work_left() / self.choice.weight) as u64;
        if slack < -MOST_LATE_US {
            Urgency::Late(order)
        } else {
            Urgency::Due(order)
        }
    }

    /// Core-seconds that its tasks still take, as its owner estimates.
    fn work_left(&self) -> f64 {
        let tasks = f64::from(self.desc.tasks - self.done.len());
        tasks * self.desc.cores.max(0.1) * self.desc.estimate_s.max(0.1)
    }

    /// Core-seconds left for each second that it has waited. Guards against an array of
    /// tens of thousands of tasks before which hundreds of small jobs wait.
    fn work_per_wait(&self, day: Micros) -> u64 {
        let waited = day.since(self.since).as_secs() + LEAST_WAITED_S;
        (1e3 * self.work_left() / waited / self.choice.weight) as u64
    }

    /// Microseconds until it is due, less what its tasks still take; jobs
    /// without a deadline come after those with one.
    pub fn slack(&self, day: Micros) -> i64 {
        match self.due() {
            Some(due) => {
                due.0 as i64 - day.0 as i64 - Micros::from_secs(self.desc.estimate_s).0 as i64
            }
            None => i64::MAX / 2,
        }
    }
}

/// How many digits a number has.
fn digits(n: u32) -> usize {
    n.checked_ilog10().unwrap_or(0) as usize + 1
}

#[cfg(test)]
pub(crate) mod tests;
