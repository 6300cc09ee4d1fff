//! Detection of our own pauses. A controller with too little processor time leaves
//! heartbeats unread, and must not take that for silence of its machines.

use crate::clock::Micros;

/// Ticks that come later than this say that we have too little processor time: heartbeats
/// wait unread for longer than their senders do (measured: 0.4 to 0.9 s between ticks
/// while four heartbeats of five timed out, below 0.25 s otherwise).
const MAX_TICK_INTERVAL: Micros = Micros::from_millis(400);

/// Since when the ticks have been on time.
pub(super) struct LatenessDetector {
    last_tick_at: Micros,
    on_time_since: Micros,
    late_ticks: u32,
}

impl LatenessDetector {
    pub(super) fn new(now: Micros) -> Self {
        LatenessDetector {
            last_tick_at: now,
            on_time_since: now,
            late_ticks: 0,
        }
    }

    pub(super) fn record_tick(&mut self, now: Micros) {
        if now.since(self.last_tick_at) > MAX_TICK_INTERVAL {
            self.on_time_since = now;
            self.late_ticks += 1;
        }
        self.last_tick_at = now;
    }

    /// Since when no tick has been late: silence before that says nothing about machines,
    /// nor about our own isolation.
    pub(super) fn on_time_since(&self) -> Micros {
        self.on_time_since
    }

    /// How many ticks have been late, for operators.
    pub(super) fn late_ticks(&self) -> u32 {
        self.late_ticks
    }
}
