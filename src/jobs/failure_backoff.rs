//! Back-off of jobs that fail on several machines.

use crate::clock::Micros;
use crate::ids::MachineId;
use std::collections::BTreeSet;

/// Number of machines on which a job must fail, without a success in between, for the failures to
/// be attributed to the job instead of the machines.
const FAILING_MACHINES: usize = 3;
/// Number of tasks of a failing job that may be started after each back-off.
const PROBE_TASKS: u32 = 3;
/// Base of the back-off of a failing job. The back-off is `BACKOFF_BASE * 2^failures`, with at
/// most [`MAX_BACKOFF_DOUBLINGS`] doublings.
const BACKOFF_BASE: Micros = Micros::from_millis(1_000);
/// Maximum number of times that the back-off of a failing job is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// The failures of a job since one of its tasks last succeeded, and the resulting back-off.
#[derive(Debug, Default)]
pub(super) struct FailureBackoff {
    /// Number of failures since a task last succeeded.
    failures: u32,
    /// The machines on which these failures happened.
    failed_on: BTreeSet<MachineId>,
    /// Instant before which no task of the job is started.
    not_before: Micros,
}

impl FailureBackoff {
    /// Records that an attempt failed on a machine.
    pub(super) fn record_failure(&mut self, machine: MachineId) {
        self.failures += 1;
        self.failed_on.insert(machine);
    }

    /// Removes all failures and the back-off, because a task succeeded, so that the job is not
    /// the cause of the failures.
    pub(super) fn clear(&mut self) {
        *self = FailureBackoff::default();
    }

    /// Starts the next back-off. Its duration grows with the number of failures.
    pub(super) fn back_off(&mut self, now: Micros) {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.not_before = now + Micros(BACKOFF_BASE.0 << doublings);
    }

    /// Whether the failures are attributed to the job instead of the machines.
    pub(super) fn is_failing(&self) -> bool {
        self.failed_on.len() >= FAILING_MACHINES
    }

    /// Returns the number of tasks that may be started at once while the job is failing.
    pub(super) const fn probe_tasks() -> u32 {
        PROBE_TASKS
    }

    /// Returns the number of failures since a task last succeeded.
    pub(super) fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the machines on which the job failed since a task last succeeded.
    pub(super) fn failed_on(&self) -> &BTreeSet<MachineId> {
        &self.failed_on
    }

    /// Returns the instant before which no task of the job is started.
    pub(super) fn not_before(&self) -> Micros {
        self.not_before
    }
}
