//! Whether a write about a job is in flight, and when the next one may follow.

use crate::clock::Micros;

/// Guards a job against two writes in flight at once, and against writes that follow each
/// other too closely.
#[derive(Debug, Default)]
pub(super) struct WriteState {
    in_flight: bool,
    not_before: Micros,
}

impl WriteState {
    /// A write is sent.
    pub(super) fn begin(&mut self) {
        self.in_flight = true;
    }

    /// The write was answered, or its answer is given up.
    pub(super) fn finish(&mut self) {
        self.in_flight = false;
    }

    /// Nothing is written before then.
    pub(super) fn delay_until(&mut self, at: Micros) {
        self.not_before = at;
    }

    /// Nothing is written before then.
    pub(super) fn not_before(&self) -> Micros {
        self.not_before
    }

    /// Whether a write may be sent now.
    pub(super) fn may_write(&self, now: Micros) -> bool {
        !self.in_flight && now >= self.not_before
    }
}
