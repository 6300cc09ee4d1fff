//! Cancellations that the store has confirmed at revisions that the watch has not reached.
//!
//! It owns which jobs must not start whatever the cache says of them. It is bounded: when it
//! is full, the cancellation of the lowest revision is dropped, since the watch reaches it
//! first.

use super::Core;
use crate::ids::{JobId, Revision};
use std::collections::BTreeSet;

/// Cancellations that are remembered until the watch has reached them.
const MAX_PENDING_CANCELLATIONS: usize = 4_096;

/// A bounded set of cancelled jobs with the revisions of their cancellations.
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

    /// Forgets what the cache shows by now.
    fn drop_applied(&mut self, applied_revision: Revision) {
        self.jobs
            .retain(|(revision, _)| *revision > applied_revision);
    }

    fn iter(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.iter().map(|(_, job)| job)
    }
}

impl Core {
    /// The store has cancelled a job: nothing more of it starts here, whether or not the
    /// watch has come so far. Until it has, the job may still come to a partition owned
    /// here, so it is remembered.
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
