//! The dependency graph: which jobs depend on which other jobs, and whether those are done.
//!
//! Every controller keeps the graph of the live jobs from its cache of the store. Only the ended
//! record of a job says how the job ended. A deleted live record does not, because the live records
//! of done and of cancelled jobs are both deleted. As long as the end of a job is not known, the
//! job counts as not done.
//!
//! A job is accepted only after all of its dependencies, so the graph has no cycles. Traversals are
//! iterative, because chains of jobs may be long, and visit each job once.

use super::{EndedRecord, JobDesc, JobRecord, JobState, Priority};
use crate::clock::Micros;
use crate::ids::{JobId, Revision};
use crate::store::{Reply, Versioned};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The live jobs in the cache of the store.
pub type LiveJobs = BTreeMap<JobId, Versioned<Rc<JobRecord>>>;

/// The end of a job on which other jobs depend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    /// Every task of the job is done.
    Done(DoneAt),
    /// The job was cancelled and will never be done.
    Cancelled,
}

/// The time at which a job, or the last one of several jobs, was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DoneAt {
    /// Wall-clock time; `None` if there is no job or if an earlier version did not record it.
    pub wall_clock: Option<Micros>,
    /// Revision of the store; 0 if there is no job.
    pub revision: Revision,
}

impl DoneAt {
    /// Returns the later wall-clock time and the higher revision of both.
    fn latest(self, other: DoneAt) -> DoneAt {
        DoneAt {
            wall_clock: self.wall_clock.max(other.wall_clock),
            revision: self.revision.max(other.revision),
        }
    }
}

impl JobEnd {
    /// Returns the end that an ended record of this revision states.
    pub fn of(record: &EndedRecord, revision: Revision) -> JobEnd {
        JobEnd::new(record.state, record.ended_at, revision)
    }

    /// Returns the end of a job with this final state, stored at this revision.
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

/// Whether the dependencies of a job allow the job to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Readiness {
    /// All dependencies are done. The time is that of the last one.
    Ready(DoneAt),
    /// At least this dependency is not known to be done.
    Waiting(JobId),
    /// A dependency was cancelled, which cancels the job, too.
    Cancelled,
}

/// The priority and deadline that a job inherits from the jobs that depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Inherited {
    /// The highest priority of all jobs that depend on the job.
    pub priority: Priority,
    /// Wall-clock time by which the job must be done so that all jobs that depend on it can meet
    /// their deadlines; `None` if none of them has one.
    pub deadline: Option<Micros>,
}

/// The state of the read of an ended record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndRead {
    /// The read is to be sent, but not before this instant.
    DueAt(Micros),
    /// The read was sent and has not been answered yet.
    InFlight,
}

/// Maximum number of reads of ended records in flight. After a failover many reads may be due.
const MAX_READS_IN_FLIGHT: usize = 8;
/// Time after which a failed or unanswered read is retried.
const READ_RETRY_INTERVAL: Micros = Micros::from_millis(500);
/// Seconds between the end of a job's dependencies and the job's first start, which add to the
/// user's estimate of the run time. They cover two writes, a heartbeat, and the fetch of the image.
const STAGE_OVERHEAD_S: f64 = 2.0;

/// The live jobs that have dependencies, and the known ends of these dependencies.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// The dependencies of each live job that has any.
    dependencies: BTreeMap<JobId, Vec<JobId>>,
    /// The live jobs that depend on each job.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// The known ends of dependencies.
    ends: BTreeMap<JobId, JobEnd>,
    /// Live jobs that depend, directly or not, on a cancelled job.
    cancelled: BTreeSet<JobId>,
    /// Dependencies that have ended, but whose ended records have not been read yet.
    unread: BTreeMap<JobId, EndRead>,
    /// The priority and deadline that each job inherits from its dependents.
    inherited: BTreeMap<JobId, Inherited>,
    /// Whether the graph has changed since the last refresh.
    has_changed: bool,
}

impl DependencyGraph {
    /// Updates the graph after all live jobs were read again.
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

    /// Updates the graph after a job was accepted or ended.
    pub fn reconcile_job(&mut self, now: Micros, id: &JobId, live: &LiveJobs) {
        match live.get(id) {
            Some(Versioned { record, .. }) => self.add(now, id, &record.desc, live),
            None => self.remove(now, id),
        }
    }

    /// Adds a live job, unless the graph has it already or it has no dependencies.
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

    /// Removes a job that has ended. If other jobs depend on it, requests the read of its end.
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

    /// Requests the read of a job's ended record, unless its end is known.
    fn request_end(&mut self, now: Micros, id: &JobId) {
        if !self.ends.contains_key(id) {
            self.unread.entry(id.clone()).or_insert(EndRead::DueAt(now));
        }
    }

    /// Marks a job, and all jobs that depend on it directly or not, as cancelled.
    fn cancel(&mut self, id: JobId) {
        let mut next = vec![id];
        while let Some(id) = next.pop() {
            if !self.cancelled.insert(id.clone()) {
                continue;
            }
            next.extend(self.dependents.get(&id).into_iter().flatten().cloned());
        }
    }

    /// Records the end of a job that the store has confirmed by its answer to a read or to the
    /// write itself. Ends from other sources must not be recorded. Guards against starting a job
    /// because a heartbeat or a peer claims that its dependencies are done.
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

    /// Returns the jobs whose ended records are to be read now, and marks their reads as in flight.
    /// At most `MAX_READS_IN_FLIGHT` reads are in flight.
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

    /// Handles the answer to the read of a job's ended record. Retries the read if the answer does
    /// not contain a readable record.
    pub fn handle_end_read(&mut self, now: Micros, id: &JobId, reply: &Reply) {
        let Reply::Value(row) = reply else {
            self.retry_read(now, id);
            return;
        };
        match EndedRecord::read(row) {
            Ok(record) => self.record_end(id, JobEnd::of(&record, row.revision)),
            Err(error) => {
                // The job does not count as done, so no job that depends on it starts.
                tracing::error!(job = %id, %error, "ended record unreadable");
                self.retry_read(now, id);
            }
        }
    }

    /// Schedules the retry of a read.
    fn retry_read(&mut self, now: Micros, id: &JobId) {
        if let Some(read) = self.unread.get_mut(id) {
            *read = EndRead::DueAt(now + READ_RETRY_INTERVAL);
        }
    }

    /// Returns whether the dependencies of a live job allow it to start.
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

    /// Whether a direct or indirect dependency of the job was cancelled; `None` if this is not
    /// known because the ended record of one is still to be read.
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

    /// Returns what the job inherits from the jobs that depend on it; `None` if there are none.
    pub fn inherited(&self, id: &JobId) -> Option<Inherited> {
        self.inherited.get(id).copied()
    }

    /// Computes again what jobs inherit, if the graph has changed since the last refresh. Returns
    /// whether it has changed.
    pub fn refresh(&mut self, live: &LiveJobs) -> bool {
        if !std::mem::take(&mut self.has_changed) {
            return false;
        }
        self.inherited = self.compute_inherited(live);
        true
    }

    /// Returns what each job inherits. Visits the jobs in reverse topological order: each job once,
    /// after all jobs that depend on it.
    fn compute_inherited(&self, live: &LiveJobs) -> BTreeMap<JobId, Inherited> {
        let mut inherited: BTreeMap<JobId, Inherited> = BTreeMap::new();
        let dependent_count = |id: &JobId| self.dependents.get(id).map_or(0, BTreeSet::len);
        let mut unvisited_dependents: BTreeMap<&JobId, usize> = BTreeMap::new();
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
                let remaining = unvisited_dependents
                    .entry(dependency)
                    .or_insert_with(|| dependent_count(dependency));
                *remaining -= 1;
                if *remaining == 0 {
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
    /// Returns the higher priority and the earlier deadline of both.
    fn join(self, other: Inherited) -> Inherited {
        Inherited {
            priority: self.priority.max(other.priority),
            deadline: self.deadline.into_iter().chain(other.deadline).min(),
        }
    }
}

/// Returns what a job passes on to its dependencies: the higher of its own and its inherited
/// priority, and the earlier of its own and its inherited deadline, less the time that the job
/// takes.
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
