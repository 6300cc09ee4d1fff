//! How a job that fails on several machines is slowed down.

use crate::clock::Micros;
use crate::ids::MachineId;
use std::collections::BTreeSet;

/// A job that failed on so many machines, without a success in between, is itself at fault.
const FAILING_MACHINES: usize = 3;
/// Tasks of a failing job that are tried after each back-off.
const PROBE_TASKS: u32 = 3;
/// The back-off of a failing job doubles with each failure, from twice this up to
/// `2^MAX_BACKOFF_DOUBLINGS` times this.
const BACKOFF_BASE: Micros = Micros::from_millis(1_000);
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// The failures of a job since one of its tasks last succeeded, and the wait that follows
/// from them.
#[derive(Debug, Default)]
pub(super) struct FailureBackoff {
    failures: u32,
    failed_on: BTreeSet<MachineId>,
    not_before: Micros,
}

impl FailureBackoff {
    /// An attempt failed on this machine.
    pub(super) fn record_failure(&mut self, machine: MachineId) {
        self.failures += 1;
        self.failed_on.insert(machine);
    }

    /// A task succeeded: whatever failed before, it is not the job.
    pub(super) fn clear(&mut self) {
        *self = FailureBackoff::default();
    }

    /// Starts the next wait, the longer the more failures there were.
    pub(super) fn back_off(&mut self, now: Micros) {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.not_before = now + Micros(BACKOFF_BASE.0 << doublings);
    }

    /// Whether the job is at fault, and not the machines.
    pub(super) fn is_failing(&self) -> bool {
        self.failed_on.len() >= FAILING_MACHINES
    }

    /// How many tasks may be started at once while the job is failing.
    pub(super) const fn probe_tasks() -> u32 {
        PROBE_TASKS
    }

    /// Failures in a row.
    pub(super) fn failures(&self) -> u32 {
        self.failures
    }

    /// The machines that it failed on.
    pub(super) fn failed_on(&self) -> &BTreeSet<MachineId> {
        &self.failed_on
    }

    /// No task starts before then.
    pub(super) fn not_before(&self) -> Micros {
        self.not_before
    }
}
