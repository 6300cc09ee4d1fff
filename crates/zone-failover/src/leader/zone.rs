//! One zone under a leadership: its health, its waves, and its record.

use crate::health::{Transition, ZoneHealth, ZoneObservation, ZoneState};
use crate::record::ZoneRecord;
use crate::settings::HealthSettings;
use rockdeal_types::clock::Micros;
use rockdeal_types::ids::ZoneId;

#[derive(Debug, Default)]
pub(super) struct Zone {
    pub(super) health: ZoneHealth,
    /// Since when it is in its state, by the time of day.
    pub(super) since: Micros,
    pub(super) wave: u64,
    pub(super) last_wave_at: Micros,
    pub(super) declared: bool,
    /// When machines were last seen there, or a probe was allowed.
    pub(super) last_seen_at: Micros,
}

impl Zone {
    pub(super) fn entered(&mut self, now: Micros, wall_clock: Micros) {
        self.since = wall_clock;
        // The first wave of a loss begins with it.
        self.wave = u64::from(self.health.state() == ZoneState::Lost);
        self.last_wave_at = now;
    }

    pub(super) fn is_untouched(&self) -> bool {
        self.health == ZoneHealth::default() || self.is_plainly_healthy()
    }

    /// Healthy, with no loss that still counts and none that a record must remember.
    pub(super) fn is_plainly_healthy(&self) -> bool {
        self.health.state() == ZoneState::Healthy && self.health.epoch() == 0 && !self.declared
    }

    pub(super) fn record(&self) -> ZoneRecord {
        ZoneRecord {
            state: self.health.state(),
            epoch: self.health.epoch(),
            since: self.since,
            relapses: self.health.relapses(),
            wave: self.wave,
            declared: self.declared,
        }
    }
}

pub(super) fn resume(now: Micros, wall_clock: Micros, recorded: &ZoneRecord) -> Zone {
    // Guards against a probation that each change of leader begins anew, so that it never ends.
    let on_probation = recorded.state == ZoneState::Probation;
    let continuous_uptime = if on_probation {
        wall_clock.since(recorded.since)
    } else {
        Micros::ZERO
    };
    Zone {
        health: ZoneHealth::resume(
            recorded.state,
            recorded.epoch,
            recorded.relapses,
            continuous_uptime,
        ),
        since: recorded.since,
        wave: recorded.wave,
        last_wave_at: now,
        declared: recorded.declared,
        last_seen_at: now,
    }
}

pub(super) fn log_transition(
    id: &ZoneId,
    zone: &Zone,
    transition: Transition,
    seen: ZoneObservation,
    health: &HealthSettings,
) {
    let probation_s = zone.health.probation(health).as_secs();
    tracing::info!(zone = %id, from = ?transition.from, to = ?transition.to, epoch = zone.health.epoch(), relapses = zone.health.relapses(), probation_s, machines = seen.machines, silent = seen.silent, peers = seen.peers, silent_peers = seen.silent_peers, "zone state changed");
}
