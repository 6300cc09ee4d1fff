//! Cancellations that the store has committed at revisions that the watch has not reached.
//!
//! It records the jobs that must not start although the cache still shows them as live. The
//! set is bounded: when it is full, the cancellation with the lowest revision is dropped,
//! because the watch reaches that revision first.

use super::Core;
use crate::ids::{JobId, Revision};
use std::collections::BTreeSet;

/// Maximum number of cancellations that are kept until the watch has reached them.
const MAX_PENDING_CANCELLATIONS: usize = 4_096;

/// Bounded set of cancelled jobs with the revisions of their cancellations.
#[derive(Debug, Default)]
pub(super) struct PendingCancellations {
    jobs: BTreeSet<(Revision, JobId)>,
}

impl PendingCancellations {
    fn insert(&mut self, job: JobId, revision: Revision) {
        self.jobs.insert((revision, job));
        while self.jobs.len() > MAX_PENDING_CANCELLATIONS {
            self.jobs.pop_first();
        }
    }

    /// Drops the cancellations that the cache already includes.
    fn drop_applied(&mut self, applied_revision: Revision) {
        self.jobs
            .retain(|(revision, _)| *revision > applied_revision);
    }

    fn iter(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.iter().map(|(_, job)| job)
    }
}

impl Core {
    /// Handles a cancellation that the store has committed at `revision`: no further task of the
    /// job starts on this controller. If the watch has not reached the revision, the cancellation
    /// is kept, because the job may still be added to an owned partition until then.
    pub(super) fn handle_cancellation(&mut self, job: JobId, revision: Revision) {
        if revision <= self.store.applied_revision() {
            return;
        }
        self.cancellations.insert(job, revision);
        self.cancel_pending_jobs();
    }

    /// Cancels the jobs of all pending cancellations in the owned partitions.
    pub(super) fn cancel_pending_jobs(&mut self) {
        self.cancellations
            .drop_applied(self.store.applied_revision());
        for job in self.cancellations.iter() {
            for partition in self.partitions.values_mut() {
                partition.cancel_job(job);
            }
        }
    }
}

#[cfg(test)]
mod tests;
