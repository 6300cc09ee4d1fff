//! Jobs whose changes are not stored yet, and the budgets that limit how much of the store's
//! write rate job progress may use.
//!
//! An attempt that has exited is reaped only after the end of its task is stored.

use super::UnreapedAttempt;
use crate::clock::Micros;
use crate::ids::JobId;
use crate::jobs::Job;
use crate::store::client::TokenBucket;
use std::collections::{BTreeMap, BTreeSet};

/// Share of the store's write rate that progress writes may use, over all partitions.
const PROGRESS_RATE_SHARE: f64 = 0.35;
/// Share of the store's write rate that writes which only record whether a job runs may use,
/// over all partitions.
const DISPLAY_RATE_SHARE: f64 = 0.1;

/// Tokens that the write of one job takes from a budget.
const WRITE_COST: f64 = 1.0;
/// Share of a budget that is reserved for other writes: none.
const NOTHING_RESERVED: f64 = 0.0;

/// Jobs whose changes are not stored yet, and exited attempts that can't be reaped before they
/// are.
pub(super) struct PendingJobWrites {
    /// Jobs that may have changes that are not stored yet.
    dirty_jobs: BTreeSet<JobId>,
    /// Budget of progress writes. All other writes take precedence over progress.
    progress_budget: TokenBucket,
    /// Budget of progress writes that only record whether a job runs, which is only shown to
    /// users. Guards against a flood of small jobs: the writes of their starts would delay those
    /// of their ends.
    display_budget: TokenBucket,
    /// Exited attempts whose ends are not stored yet, by job.
    unreaped: BTreeMap<JobId, Vec<UnreapedAttempt>>,
}

impl PendingJobWrites {
    /// Creates the state with nothing pending. `rate` is the partition's share of the store's
    /// write rate, in mutations per second.
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

    /// Returns whether a progress write may be sent now, and takes its cost from the budget.
    pub(super) fn take_progress_token(&mut self, now: Micros) -> bool {
        self.progress_budget.take(now, WRITE_COST, NOTHING_RESERVED)
    }

    /// Returns whether a write that only changes what users are shown may be sent now, and takes
    /// its cost from the budget.
    pub(super) fn take_display_token(&mut self, now: Micros) -> bool {
        self.display_budget.take(now, WRITE_COST, NOTHING_RESERVED)
    }

    /// Adds an attempt that has exited. It is to be reaped once its end is stored.
    pub(super) fn add_unreaped(&mut self, attempt: UnreapedAttempt) {
        let job = attempt.key.task.job.clone();
        self.unreaped.entry(job).or_default().push(attempt);
    }

    /// Removes and returns all attempts of a job that wait to be reaped.
    pub(super) fn take_unreaped(&mut self, job: &JobId) -> Vec<UnreapedAttempt> {
        self.unreaped.remove(job).unwrap_or_default()
    }

    /// Removes and returns the attempts of a job that wait to be reaped and whose tasks' pages
    /// have no further changes to be stored.
    ///
    /// Guards against heartbeats that grow without bound. When a job's attempts were reaped only
    /// after all its pages were stored, nothing was reaped while pages kept changing, until the
    /// owner could not read its machines' heartbeats in time.
    pub(super) fn take_stored(&mut self, job: &Job) -> Vec<UnreapedAttempt> {
        let Some(unreaped) = self.unreaped.get_mut(&job.desc.id) else {
            return Vec::new();
        };
        let is_stored = |attempt: &mut UnreapedAttempt| !job.is_dirty(attempt.key.task.index);
        unreaped.extract_if(.., is_stored).collect()
    }
}
