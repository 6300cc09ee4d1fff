//! When the partition's machines last showed that they are alive, all of them taken together,
//! and since when that says anything.

use super::lateness::LatenessDetector;
use crate::clock::Micros;

/// The owner's view of its connection to the machines.
pub(super) struct LivenessView {
    lateness: LatenessDetector,
    /// When a heartbeat last counted, in the reply to a direct command, too.
    last_contact_at: Micros,
    /// When a machine last sent a heartbeat that counted by itself.
    last_heartbeat_at: Micros,
}

impl LivenessView {
    pub(super) fn new(now: Micros) -> Self {
        LivenessView {
            lateness: LatenessDetector::new(now),
            last_contact_at: now,
            last_heartbeat_at: now,
        }
    }

    pub(super) fn record_tick(&mut self, now: Micros) {
        self.lateness.record_tick(now);
    }

    pub(super) fn record_contact(&mut self, now: Micros) {
        self.last_contact_at = now;
    }

    pub(super) fn record_heartbeat(&mut self, now: Micros) {
        self.last_heartbeat_at = now;
    }

    /// Since when our own ticks have been on time.
    pub(super) fn on_time_since(&self) -> Micros {
        self.lateness.on_time_since()
    }

    /// How many of our own ticks have been late.
    pub(super) fn late_ticks(&self) -> u32 {
        self.lateness.late_ticks()
    }

    /// Since when no machine at all has been in contact. Guards against taking a pause of our
    /// own for isolation: what waited meanwhile is read first.
    pub(super) fn silent_since(&self) -> Micros {
        self.last_contact_at.max(self.on_time_since())
    }

    /// How long ago any machine last sent a heartbeat by itself.
    pub(super) fn since_last_heartbeat(&self, now: Micros) -> Micros {
        now.since(self.last_heartbeat_at)
    }
}
