//! What of the jobs is still to be stored, and how much of the store's rate it may take.

use super::UnreapedAttempt;
use crate::clock::Micros;
use crate::ids::JobId;
use crate::jobs::Job;
use crate::store::client::TokenBucket;
use std::collections::{BTreeMap, BTreeSet};

/// The part of the store's changes that progress may take, over all partitions.
const PROGRESS_RATE_SHARE: f64 = 0.35;
/// The part that whether jobs run may take.
const DISPLAY_RATE_SHARE: f64 = 0.1;

/// What one job's write takes from a budget, which counts changes.
const WRITE_COST: f64 = 1.0;
/// No share of a budget is kept for other writes.
const NOTHING_RESERVED: f64 = 0.0;

/// Jobs with something to be stored, and attempts that wait for that.
pub(super) struct PendingJobWrites {
    /// Jobs that may have something to be stored.
    dirty_jobs: BTreeSet<JobId>,
    /// Progress gives way to all other changes.
    progress_budget: TokenBucket,
    /// Of that, whether a job has started to run at all, which only users see. Guards
    /// against a flood of small jobs whose starts keep their own ends from the store.
    display_budget: TokenBucket,
    /// Attempts whose ends are not stored yet, by job: reaped once they are.
    unreaped: BTreeMap<JobId, Vec<UnreapedAttempt>>,
}

impl PendingJobWrites {
    /// Nothing pending; the store takes `rate` changes a second from this partition.
    pub(super) fn new(rate: f64, now: Micros) -> Self {
        PendingJobWrites {
            dirty_jobs: BTreeSet::new(),
            progress_budget: TokenBucket::new(rate * PROGRESS_RATE_SHARE, now),
            display_budget: TokenBucket::new(rate * DISPLAY_RATE_SHARE, now),
            unreaped: BTreeMap::new(),
        }
    }

    pub(super) fn mark_dirty(&mut self, job: &JobId) {
        self.dirty_jobs.insert(job.clone());
    }

    pub(super) fn clear_dirty(&mut self, job: &JobId) {
        self.dirty_jobs.remove(job);
    }

    pub(super) fn dirty_jobs(&self) -> Vec<JobId> {
        self.dirty_jobs.iter().cloned().collect()
    }

    /// Whether a write of progress may go out now.
    pub(super) fn take_progress_token(&mut self, now: Micros) -> bool {
        self.progress_budget.take(now, WRITE_COST, NOTHING_RESERVED)
    }

    /// Whether a write that only changes what users see may go out now.
    pub(super) fn take_display_token(&mut self, now: Micros) -> bool {
        self.display_budget.take(now, WRITE_COST, NOTHING_RESERVED)
    }

    /// An attempt has exited: it is reaped once its end is stored.
    pub(super) fn add_unreaped(&mut self, attempt: UnreapedAttempt) {
        let job = attempt.key.task.job.clone();
        self.unreaped.entry(job).or_default().push(attempt);
    }

    /// All attempts of a job that wait for being reaped.
    pub(super) fn take_unreaped(&mut self, job: &JobId) -> Vec<UnreapedAttempt> {
        self.unreaped.remove(job).unwrap_or_default()
    }

    /// Those whose tasks have nothing left to be stored. Guards against heartbeats that grow
    /// without end: while new pages kept changing, nothing of the job was reaped, until its
    /// owner could not read all that its machines sent in time.
    pub(super) fn take_stored(&mut self, job: &Job) -> Vec<UnreapedAttempt> {
        let Some(unreaped) = self.unreaped.get_mut(&job.desc.id) else {
            return Vec::new();
        };
        let is_stored = |attempt: &mut UnreapedAttempt| !job.is_dirty(attempt.key.task.index);
        unreaped.extract_if(.., is_stored).collect()
    }
}
