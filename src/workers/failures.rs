//! The jobs whose tasks have failed on a machine.

use crate::clock::Micros;
use crate::ids::JobId;
use std::collections::BTreeMap;

/// Time for which a job prefers other machines to one on which a task of the job failed.
const AVOIDANCE_PERIOD: Micros = Micros::from_millis(20_000);

/// The jobs that failed on a machine since any task last succeeded on it.
#[derive(Debug, Default)]
pub struct JobFailures {
    /// Instant at which a task of each job last failed.
    failed_at: BTreeMap<JobId, Micros>,
}

impl JobFailures {
    /// Records that a task of a job failed on the machine.
    pub fn record(&mut self, job: JobId, now: Micros) {
        self.failed_at.insert(job, now);
    }

    /// Removes all failures, because a task succeeded on the machine, so that the machine is not
    /// the cause of the failures.
    pub fn clear(&mut self) {
        self.failed_at.clear();
    }

    /// Returns the jobs that failed.
    pub fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.failed_at.keys()
    }

    /// Whether a job failed on the machine within the avoidance period before `now`.
    pub(super) fn is_recent(&self, job: &JobId, now: Micros) -> bool {
        self.failed_at
            .get(job)
            .is_some_and(|failed_at| now.since(*failed_at) < AVOIDANCE_PERIOD)
    }
}
