//! Detection of this controller's own pauses. A controller with too little processor time leaves
//! heartbeats unread, and must not mistake that for silence of its machines.

use crate::clock::Micros;

/// Longest interval between two ticks at which the later one is on time. Longer intervals mean
/// that the controller has too little processor time: heartbeats stay unread until their senders
/// time out. With intervals of 0.4 to 0.9 s, four heartbeats of five timed out. Otherwise the
/// intervals are below 0.25 s.
const MAX_TICK_INTERVAL: Micros = Micros::from_millis(400);

/// Tracks since when the controller's ticks have been on time.
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

    /// Returns since when no tick has been late. Silence before that time is evidence neither of
    /// a machine's failure nor of this controller's isolation.
    pub(super) fn on_time_since(&self) -> Micros {
        self.on_time_since
    }

    /// Returns how many ticks have been late. Operators see the number in the log.
    pub(super) fn late_ticks(&self) -> u32 {
        self.late_ticks
    }
}
