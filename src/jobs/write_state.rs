//! Pacing of the writes of one job's records: whether one is in flight, and when the next one may
//! be sent.

use crate::clock::Micros;

/// Ensures that at most one write of a job's records is in flight, and that there is a minimum
/// interval between two writes.
#[derive(Debug, Default)]
pub(super) struct WriteState {
    /// Whether a write is in flight.
    in_flight: bool,
    /// Instant before which no write is sent.
    not_before: Micros,
}

impl WriteState {
    /// Records that a write is sent.
    pub(super) fn begin(&mut self) {
        self.in_flight = true;
    }

    /// Records that the write was answered, or that no answer to it is expected any more.
    pub(super) fn finish(&mut self) {
        self.in_flight = false;
    }

    /// Forbids writes before this instant.
    pub(super) fn delay_until(&mut self, at: Micros) {
        self.not_before = at;
    }

    /// Returns the instant before which no write is sent.
    pub(super) fn not_before(&self) -> Micros {
        self.not_before
    }

    /// Whether a write may be sent now.
    pub(super) fn may_write(&self, now: Micros) -> bool {
        !self.in_flight && now >= self.not_before
    }
}
