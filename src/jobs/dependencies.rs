//! The dependency graph: which jobs have to be done before which, and whether they are.
//!
//! Every controller keeps the graph of the live jobs, from its cache of the store. How a job
//! ended is known from its ended record only: that its live record was deleted says nothing,
//! since that happens to done and to cancelled jobs alike. An end that is not known counts
//! as not done.
//!
//! A job is accepted after all that it names, so the graph has no cycles. Walks are
//! iterative all the same and visit each job once.

use super::{EndedRecord, JobDesc, JobRecord, JobState, Priority};
use crate::clock::Micros;
use crate::ids::{JobId, Revision};
use crate::store::{Reply, Versioned};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Live jobs, as the cache of the store has them.
pub type LiveJobs = BTreeMap<JobId, Versioned<Rc<JobRecord>>>;

/// How a job ended that others depend on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    /// Every task is done.
    Done(DoneAt),
    /// It was cancelled, and will never be done.
    Cancelled,
}

/// When a job was done, or the last one of several.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DoneAt {
    /// The wall-clock time; none: an earlier version did not record it.
    pub wall_clock: Option<Micros>,
    /// The store's revision.
    pub revision: Revision,
}

impl DoneAt {
    fn latest(self, other: DoneAt) -> DoneAt {
        DoneAt {
            wall_clock: self.wall_clock.max(other.wall_clock),
            revision: self.revision.max(other.revision),
        }
    }
}

impl JobEnd {
    /// The end that a record of this revision says.
    pub fn of(record: &EndedRecord, revision: Revision) -> JobEnd {
        JobEnd::new(record.state, record.ended_at, revision)
    }

    /// An end that was stored at this revision.
    pub fn new(state: JobState, wall_clock: Option<Micros>, revision: Revision) -> JobEnd {
        match state {
            JobState::Done => JobEnd::Done(DoneAt {
                wall_clock,
                revision,
            }),
            _ => JobEnd::Cancelled,
        }
    }
}

/// Whether a job may start, as far as its dependencies decide that.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Readiness {
    /// All its dependencies are done, the last one then.
    Ready(DoneAt),
    /// This dependency, at least, is not known to be done.
    Waiting(JobId),
    /// A dependency was cancelled, and so is the job.
    Cancelled,
}

/// What a job inherits from those that depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Inherited {
    /// The highest priority of all that depend on it.
    pub priority: Priority,
    /// The wall-clock time by which it must be done so that all that depend on it can keep
    /// their deadlines; none: none of them has one.
    pub deadline: Option<Micros>,
}

/// The read of an ended record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndRead {
    /// It is to be sent, but not before then.
    DueAt(Micros),
    /// It was sent and not answered yet.
    InFlight,
}

/// Reads of ended records in flight at once: after a failover many may be due.
const MAX_READS_IN_FLIGHT: usize = 8;
/// Between a read without an answer and its retry.
const READ_RETRY_INTERVAL: Micros = Micros::from_millis(500);
/// What a job takes between the end of its dependencies and its own first start, in seconds,
/// besides what its owner estimates: two writes, a heartbeat, and the fetch of its image.
const STAGE_OVERHEAD_S: f64 = 2.0;

/// The live jobs that depend on others, and what is known of those.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// The dependencies of each live job that has any.
    dependencies: BTreeMap<JobId, Vec<JobId>>,
    /// The live jobs that depend on each job.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// How dependencies ended.
    ends: BTreeMap<JobId, JobEnd>,
    /// Live jobs behind a cancelled one.
    cancelled: BTreeSet<JobId>,
    /// Dependencies that ended, it is not known how.
    unread: BTreeMap<JobId, EndRead>,
    /// What jobs inherit from their dependents.
    inherited: BTreeMap<JobId, Inherited>,
    /// Something changed since the last refresh.
    has_changed: bool,
}

impl DependencyGraph {
    /// All live jobs were read anew.
    pub fn reload(&mut self, now: Micros, live: &LiveJobs) {
        let known = self.dependencies.keys().chain(self.dependents.keys());
        let with_dependencies = live
            .iter()
            .filter(|(_, Versioned { record, .. })| !record.desc.dependencies.is_empty())
            .map(|(id, _)| id);
        let ids: BTreeSet<JobId> = known.chain(with_dependencies).cloned().collect();
        for id in ids {
            self.reconcile_job(now, &id, live);
        }
    }

    /// A job was accepted, or ended.
    pub fn reconcile_job(&mut self, now: Micros, id: &JobId, live: &LiveJobs) {
        match live.get(id) {
            Some(Versioned { record, .. }) => self.add(now, id, &record.desc, live),
            None => self.remove(now, id),
        }
    }

    fn add(&mut self, now: Micros, id: &JobId, desc: &JobDesc, live: &LiveJobs) {
        if desc.dependencies.is_empty() || self.dependencies.contains_key(id) {
            return;
        }
        self.has_changed = true;
        self.dependencies
            .insert(id.clone(), desc.dependencies.clone());
        for dependency in &desc.dependencies {
            self.dependents
                .entry(dependency.clone())
                .or_default()
                .insert(id.clone());
            if !live.contains_key(dependency) {
                self.request_end(now, dependency);
            }
            let was_cancelled = self.ends.get(dependency) == Some(&JobEnd::Cancelled);
            if was_cancelled || self.cancelled.contains(dependency) {
                self.cancel(id.clone());
            }
        }
    }

    fn remove(&mut self, now: Micros, id: &JobId) {
        for dependency in self.dependencies.remove(id).unwrap_or_default() {
            self.has_changed = true;
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
            self.has_changed = true;
            self.request_end(now, id);
        }
    }

    fn request_end(&mut self, now: Micros, id: &JobId) {
        if !self.ends.contains_key(id) {
            self.unread.entry(id.clone()).or_insert(EndRead::DueAt(now));
        }
    }

    /// The job, and all that depend on it, will never be done.
    fn cancel(&mut self, id: JobId) {
        let mut next = vec![id];
        while let Some(id) = next.pop() {
            if !self.cancelled.insert(id.clone()) {
                continue;
            }
            next.extend(self.dependents.get(&id).into_iter().flatten().cloned());
        }
    }

    /// Records that the store has this end of a job. Only the store's answers count here, to
    /// a read or to the write itself; guards against a start on the claim of a heartbeat or
    /// of a peer.
    pub fn record_end(&mut self, id: &JobId, end: JobEnd) {
        let Some(dependents) = self.dependents.get(id) else {
            return;
        };
        let dependents: Vec<JobId> = dependents.iter().cloned().collect();
        self.unread.remove(id);
        self.ends.insert(id.clone(), end);
        self.has_changed = true;
        if end == JobEnd::Cancelled {
            for dependent in dependents {
                self.cancel(dependent);
            }
        }
    }

    /// The jobs whose ended records are to be read now, a bounded number at a time.
    pub fn take_end_reads(&mut self, now: Micros) -> Vec<JobId> {
        let is_in_flight = |read: &&EndRead| **read == EndRead::InFlight;
        let in_flight = self.unread.values().filter(is_in_flight).count();
        let due = self
            .unread
            .iter_mut()
            .filter(|(_, read)| matches!(read, EndRead::DueAt(at) if now >= *at));
        due.take(MAX_READS_IN_FLIGHT.saturating_sub(in_flight))
            .map(|(id, read)| {
                *read = EndRead::InFlight;
                id.clone()
            })
            .collect()
    }

    /// Takes the answer to the read of a job's ended record.
    pub fn handle_end_read(&mut self, now: Micros, id: &JobId, reply: &Reply) {
        let Reply::Value(row) = reply else {
            self.retry_read(now, id);
            return;
        };
        match EndedRecord::read(row) {
            Ok(record) => self.record_end(id, JobEnd::of(&record, row.revision)),
            Err(error) => {
                // Whatever it says, it does not say done: nothing that depends on it starts.
                tracing::error!(job = %id, %error, "ended record unreadable");
                self.retry_read(now, id);
            }
        }
    }

    fn retry_read(&mut self, now: Micros, id: &JobId) {
        if let Some(read) = self.unread.get_mut(id) {
            *read = EndRead::DueAt(now + READ_RETRY_INTERVAL);
        }
    }

    /// Whether a live job may start.
    pub fn readiness(&self, id: &JobId) -> Readiness {
        if self.cancelled.contains(id) {
            return Readiness::Cancelled;
        }
        let mut latest = DoneAt::default();
        for dependency in self.dependencies.get(id).into_iter().flatten() {
            match self.ends.get(dependency) {
                Some(JobEnd::Done(at)) => latest = latest.latest(*at),
                _ => return Readiness::Waiting(dependency.clone()),
            }
        }
        Readiness::Ready(latest)
    }

    /// Whether a job before it, directly or not, was cancelled; none: the ended record of one
    /// is still to be read.
    pub fn is_cancelled(&self, id: &JobId) -> Option<bool> {
        if self.cancelled.contains(id) {
            return Some(true);
        }
        if self.unread.is_empty() {
            return Some(false);
        }
        let mut visited: BTreeSet<&JobId> = BTreeSet::new();
        let mut next = vec![id];
        while let Some(id) = next.pop() {
            for dependency in self.dependencies.get(id).into_iter().flatten() {
                if self.unread.contains_key(dependency) {
                    return None;
                }
                if visited.insert(dependency) {
                    next.push(dependency);
                }
            }
        }
        Some(false)
    }

    /// What the job inherits from those that depend on it.
    pub fn inherited(&self, id: &JobId) -> Option<Inherited> {
        self.inherited.get(id).copied()
    }

    /// Whether anything changed since the last refresh. If so, what jobs inherit is computed
    /// anew.
    pub fn refresh(&mut self, live: &LiveJobs) -> bool {
        if !std::mem::take(&mut self.has_changed) {
            return false;
        }
        self.inherited = self.inherit(live);
        true
    }

    /// From the last jobs of each pipeline to the first ones, each job once.
    fn inherit(&self, live: &LiveJobs) -> BTreeMap<JobId, Inherited> {
        let mut inherited: BTreeMap<JobId, Inherited> = BTreeMap::new();
        let dependent_count = |id: &JobId| self.dependents.get(id).map_or(0, BTreeSet::len);
        let mut unvisited: BTreeMap<&JobId, usize> = BTreeMap::new();
        let mut next: Vec<&JobId> = self
            .dependencies
            .keys()
            .filter(|id| dependent_count(id) == 0)
            .collect();
        while let Some(id) = next.pop() {
            let passed = live
                .get(id)
                .filter(|_| !self.cancelled.contains(id))
                .map(|Versioned { record, .. }| passed_on(record, inherited.get(id)));
            for dependency in self.dependencies.get(id).into_iter().flatten() {
                let left = unvisited
                    .entry(dependency)
                    .or_insert_with(|| dependent_count(dependency));
                *left -= 1;
                if *left == 0 {
                    next.push(dependency);
                }
                if let Some(passed) = passed.filter(|_| live.contains_key(dependency)) {
                    let joined = inherited
                        .get(dependency)
                        .map_or(passed, |other| other.join(passed));
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
            priority: self.priority.max(other.priority),
            deadline: self.deadline.into_iter().chain(other.deadline).min(),
        }
    }
}

/// What a job passes on to its dependencies: its own priority and deadline, joined with what
/// it inherits itself, and the deadline less what the job takes.
fn passed_on(record: &JobRecord, inherited: Option<&Inherited>) -> Inherited {
    let desc = &record.desc;
    let own = Inherited {
        priority: desc.priority,
        deadline: desc
            .deadline_s
            .map(|deadline_s| record.accepted_at + Micros::from_secs(deadline_s)),
    };
    let all = inherited.map_or(own, |inherited| inherited.join(own));
    let duration = Micros::from_secs(desc.estimated_run_time_s + STAGE_OVERHEAD_S);
    let earlier = |deadline: Micros| Micros(deadline.0.saturating_sub(duration.0));
    Inherited {
        deadline: all.deadline.map(earlier),
        ..all
    }
}

#[cfg(test)]
mod tests;
