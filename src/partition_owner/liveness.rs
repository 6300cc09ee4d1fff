//! Liveness of the partition's machines as a whole: when any of them was last in contact, and
//! since when this controller's ticks have been on time, so that silence is evidence.

use super::lateness::LatenessDetector;
use crate::clock::Micros;

/// State of the owner's connection to its machines.
pub(super) struct LivenessView {
    lateness: LatenessDetector,
    /// When any machine's heartbeat was last accepted, including replies to direct commands.
    last_contact_at: Micros,
    /// When any machine's heartbeat was last accepted, excluding replies to direct commands.
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

    /// Returns since when this controller's ticks have been on time.
    pub(super) fn on_time_since(&self) -> Micros {
        self.lateness.on_time_since()
    }

    /// Returns how many of this controller's ticks have been late.
    pub(super) fn late_ticks(&self) -> u32 {
        self.lateness.late_ticks()
    }

    /// Returns since when no machine has been in contact. Guards against mistaking a pause of
    /// this controller for isolation: after a pause, the heartbeats that arrived during it are
    /// read first.
    pub(super) fn silent_since(&self) -> Micros {
        self.last_contact_at.max(self.on_time_since())
    }

    /// Returns the time since any machine's heartbeat was last accepted, excluding replies to
    /// direct commands.
    pub(super) fn since_last_heartbeat(&self, now: Micros) -> Micros {
        now.since(self.last_heartbeat_at)
    }
}
