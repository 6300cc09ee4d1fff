//! Which jobs have to be done before which, and how that stands.
//!
//! Every controller keeps the graph of the jobs that are not over, from its cache of the
//! store. How a job ended is known from its stored record only: that its live record is
//! gone says nothing, since it goes for done and for cancelled jobs alike. An end that is
//! not known counts as not done.
//!
//! A job is accepted after all that it names, so the graph has no cycles. Walks are
//! iterative all the same and visit each job once.

use super::{EndedRecord, JobDesc, JobRecord, JobState, Priority};
use crate::clock::Micros;
use crate::ids::{JobId, Revision};
use crate::store::Reply;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Jobs that are not over, as the cache of the store has them.
pub type LiveJobs = BTreeMap<JobId, (Revision, Rc<JobRecord>)>;

/// How a job ended that others name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    /// Every task is done.
    Done(DoneAt),
    /// It will never be done.
    Cancelled,
}

/// When a job was done, or the last one of several.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DoneAt {
    /// The time of day; none: an earlier version did not record it.
    pub wall_clock: Option<Micros>,
    /// The store's revision.
    pub revision: Revision,
}

impl DoneAt {
    fn last(self, other: DoneAt) -> DoneAt {
        DoneAt {
            wall_clock: self.wall_clock.max(other.wall_clock),
            revision: self.revision.max(other.revision),
        }
    }
}

impl JobEnd {
    /// The end that a record of this revision tells of.
    pub fn of(record: &EndedRecord, revision: Revision) -> JobEnd {
        JobEnd::new(record.state, record.ended_at, revision)
    }

    /// An end that was stored at this revision.
    pub fn new(standing: JobState, wall_clock: Option<Micros>, revision: Revision) -> JobEnd {
        match standing {
            JobState::Done => JobEnd::Done(DoneAt {
                wall_clock,
                revision,
            }),
            _ => JobEnd::Cancelled,
        }
    }
}

/// Whether a job may start, as far as the jobs before it decide it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Readiness {
    /// All jobs before it are done, the last one then.
    Ready(DoneAt),
    /// This one, at least, is not known to be done.
    Waiting(JobId),
    /// One before it was cancelled, and so is it.
    Cancelled,
}

/// What a job has from those that need it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Inherited {
    /// The highest priority of all that need it.
    pub rank: Priority,
    /// The time of day by which it must be done so that all that need it can keep their
    /// deadlines; none: none of them has one.
    pub due: Option<Micros>,
}

/// An end that has to be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndRead {
    /// Not before then.
    Due(Micros),
    /// The read is out.
    Out,
}

/// Reads of ends that are out at once: after a failover there may be many.
const MOST_READS: usize = 8;
/// After a read that told nothing.
const READ_AGAIN: Micros = Micros::from_millis(500);
/// What a job takes between the end of those before it and its own first start, besides
/// what its owner estimates: two writes, a report, and the fetch of its image.
const STAGE_S: f64 = 2.0;

/// The jobs that are not over and name others, and what is known of those.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// What each job that is not over names.
    dependencies: BTreeMap<JobId, Vec<JobId>>,
    /// The jobs that are not over, by those that they name.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// How jobs ended that are named.
    ends: BTreeMap<JobId, JobEnd>,
    /// Jobs behind a cancelled one.
    cancelled: BTreeSet<JobId>,
    /// Named jobs that are over, it is not known how.
    unread: BTreeMap<JobId, EndRead>,
    /// What jobs have from those that need them.
    inherited: BTreeMap<JobId, Inherited>,
    changed: bool,
}

impl DependencyGraph {
    /// All jobs were read from the start.
    pub fn reload(&mut self, now: Micros, live: &LiveJobs) {
        let known = self.dependencies.keys().chain(self.dependents.keys());
        let naming = live
            .iter()
            .filter(|(_, (_, rec))| !rec.desc.dependencies.is_empty())
            .map(|(id, _)| id);
        let ids: BTreeSet<JobId> = known.chain(naming).cloned().collect();
        for id in ids {
            self.sync_job(now, &id, live);
        }
    }

    /// A job was accepted, or is over.
    pub fn sync_job(&mut self, now: Micros, id: &JobId, live: &LiveJobs) {
        match live.get(id) {
            Some((_, rec)) => self.accepted(now, id, &rec.desc, live),
            None => self.gone(now, id),
        }
    }

    fn accepted(&mut self, now: Micros, id: &JobId, desc: &JobDesc, live: &LiveJobs) {
        if desc.dependencies.is_empty() || self.dependencies.contains_key(id) {
            return;
        }
        self.changed = true;
        self.dependencies
            .insert(id.clone(), desc.dependencies.clone());
        for dependency in &desc.dependencies {
            self.dependents
                .entry(dependency.clone())
                .or_default()
                .insert(id.clone());
            if !live.contains_key(dependency) {
                self.wants_end(now, dependency);
            }
            let ended = self.ends.get(dependency) == Some(&JobEnd::Cancelled);
            if ended || self.cancelled.contains(dependency) {
                self.cancel(id.clone());
            }
        }
    }

    fn gone(&mut self, now: Micros, id: &JobId) {
        for dependency in self.dependencies.remove(id).unwrap_or_default() {
            self.changed = true;
            let Some(others) = self.dependents.get_mut(&dependency) else {
                continue;
            };
            others.remove(id);
            if others.is_empty() {
                self.dependents.remove(&dependency);
                self.ends.remove(&dependency);
                self.unread.remove(&dependency);
            }
        }
        self.cancelled.remove(id);
        if self.dependents.contains_key(id) {
            self.changed = true;
            self.wants_end(now, id);
        }
    }

    fn wants_end(&mut self, now: Micros, id: &JobId) {
        if !self.ends.contains_key(id) {
            self.unread.entry(id.clone()).or_insert(EndRead::Due(now));
        }
    }

    /// It, and all that need it, will never be done.
    fn cancel(&mut self, id: JobId) {
        let mut next = vec![id];
        while let Some(id) = next.pop() {
            if !self.cancelled.insert(id.clone()) {
                continue;
            }
            next.extend(self.dependents.get(&id).into_iter().flatten().cloned());
        }
    }

    /// The store has this end of a job. Only its answers count here, to a read or to the
    /// write itself; guards against a start on the word of a report or of a peer.
    pub fn end_stored(&mut self, id: &JobId, end: JobEnd) {
        let Some(dependents) = self.dependents.get(id) else {
            return;
        };
        let dependents: Vec<JobId> = dependents.iter().cloned().collect();
        self.unread.remove(id);
        self.ends.insert(id.clone(), end);
        self.changed = true;
        if end == JobEnd::Cancelled {
            dependents.into_iter().for_each(|d| self.cancel(d));
        }
    }

    /// Ends to be read now, a bounded number at a time.
    pub fn reads(&mut self, now: Micros) -> Vec<JobId> {
        let out = self.unread.values().filter(|r| **r == EndRead::Out).count();
        let due = self
            .unread
            .iter_mut()
            .filter(|(_, read)| matches!(read, EndRead::Due(at) if now >= *at));
        due.take(MOST_READS.saturating_sub(out))
            .map(|(id, read)| {
                *read = EndRead::Out;
                id.clone()
            })
            .collect()
    }

    /// The record of an ended job was read, or not.
    pub fn end_read(&mut self, now: Micros, id: &JobId, reply: &Reply) {
        let Reply::Value(row) = reply else {
            self.read_again(now, id);
            return;
        };
        match EndedRecord::read(row) {
            Ok(record) => self.end_stored(id, JobEnd::of(&record, row.revision)),
            Err(error) => {
                // Whatever it says, it does not say done: nothing that needs it starts.
                tracing::error!(job = %id, %error, "the record of an ended job can't be read");
                self.read_again(now, id);
            }
        }
    }

    fn read_again(&mut self, now: Micros, id: &JobId) {
        if let Some(read) = self.unread.get_mut(id) {
            *read = EndRead::Due(now + READ_AGAIN);
        }
    }

    /// Whether a job that is not over may start.
    pub fn readiness(&self, id: &JobId) -> Readiness {
        if self.cancelled.contains(id) {
            return Readiness::Cancelled;
        }
        let mut last = DoneAt::default();
        for dependency in self.dependencies.get(id).into_iter().flatten() {
            match self.ends.get(dependency) {
                Some(JobEnd::Done(at)) => last = last.last(*at),
                _ => return Readiness::Waiting(dependency.clone()),
            }
        }
        Readiness::Ready(last)
    }

    /// Whether one before the job was cancelled; none: the end of one is still to be read.
    pub fn is_cancelled(&self, id: &JobId) -> Option<bool> {
        if self.cancelled.contains(id) {
            return Some(true);
        }
        if self.unread.is_empty() {
            return Some(false);
        }
        let mut seen: BTreeSet<&JobId> = BTreeSet::new();
        let mut next = vec![id];
        while let Some(id) = next.pop() {
            for dependency in self.dependencies.get(id).into_iter().flatten() {
                if self.unread.contains_key(dependency) {
                    return None;
                }
                if seen.insert(dependency) {
                    next.push(dependency);
                }
            }
        }
        Some(false)
    }

    /// What the job has from those that need it.
    pub fn inherited(&self, id: &JobId) -> Option<Inherited> {
        self.inherited.get(id).copied()
    }

    /// Whether anything changed since this was last asked. If so, what jobs have from
    /// others is worked out anew.
    pub fn refresh(&mut self, live: &LiveJobs) -> bool {
        if !std::mem::take(&mut self.changed) {
            return false;
        }
        self.inherited = self.inherit(live);
        true
    }

    /// From the last jobs of each pipeline to the first ones, each job once.
    fn inherit(&self, live: &LiveJobs) -> BTreeMap<JobId, Inherited> {
        let mut inherited: BTreeMap<JobId, Inherited> = BTreeMap::new();
        let count = |id: &JobId| self.dependents.get(id).map_or(0, BTreeSet::len);
        let mut left: BTreeMap<&JobId, usize> = BTreeMap::new();
        let mut next: Vec<&JobId> = self
            .dependencies
            .keys()
            .filter(|id| count(id) == 0)
            .collect();
        while let Some(id) = next.pop() {
            let passed = live
                .get(id)
                .filter(|_| !self.cancelled.contains(id))
                .map(|(_, rec)| passed_on(rec, inherited.get(id)));
            for dependency in self.dependencies.get(id).into_iter().flatten() {
                let left = left.entry(dependency).or_insert_with(|| count(dependency));
                *left -= 1;
                if *left == 0 {
                    next.push(dependency);
                }
                if let Some(passed) = passed.filter(|_| live.contains_key(dependency)) {
                    let joined = inherited.get(dependency).map_or(passed, |o| o.join(passed));
                    inherited.insert(dependency.clone(), joined);
                }
            }
        }
        inherited
    }
}

impl Inherited {
    fn join(self, other: Inherited) -> Inherited {
        Inherited {
            rank: self.rank.max(other.rank),
            due: self.due.into_iter().chain(other.due).min(),
        }
    }
}

/// What a job that needs others gives to them.
fn passed_on(rec: &JobRecord, inherited: Option<&Inherited>) -> Inherited {
    let own = Inherited {
        rank: rec.desc.priority,
        due: rec
            .desc
            .deadline_s
            .map(|due| rec.accepted_at + Micros::from_secs(due)),
    };
    let all = inherited.map_or(own, |i| i.join(own));
    let takes = Micros::from_secs(rec.desc.estimated_run_time_s + STAGE_S);
    Inherited {
        due: all.due.map(|due| Micros(due.0.saturating_sub(takes.0))),
        ..all
    }
}

#[cfg(test)]
mod tests;
