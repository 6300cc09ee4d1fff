//! Which jobs' tasks have failed on a machine.

use crate::clock::Micros;
use crate::ids::JobId;
use std::collections::BTreeMap;

/// For so long a job tries other machines before the one on which a task of it failed.
const AVOIDANCE_TIMEOUT: Micros = Micros::from_millis(20_000);

/// The jobs that failed on a machine since any task last succeeded there.
#[derive(Debug, Default)]
pub struct JobFailures {
    /// When a task of the job last failed.
    failed_at: BTreeMap<JobId, Micros>,
}

impl JobFailures {
    /// Records that a task of a job failed.
    pub fn record(&mut self, job: JobId, now: Micros) {
        self.failed_at.insert(job, now);
    }

    /// A task succeeded: the machine is not what fails.
    pub fn clear(&mut self) {
        self.failed_at.clear();
    }

    /// The jobs that failed.
    pub fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.failed_at.keys()
    }

    /// Whether a job failed so lately that it tries other machines first.
    pub(super) fn is_recent(&self, job: &JobId, now: Micros) -> bool {
        self.failed_at
            .get(job)
            .is_some_and(|failed_at| now.since(*failed_at) < AVOIDANCE_TIMEOUT)
    }
}
