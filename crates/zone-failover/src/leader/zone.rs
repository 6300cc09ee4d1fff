//! The state that the leader holds for one zone: its health, its evacuation waves, and their
//! conversion from and to the committed record.

use crate::health::{Transition, ZoneHealth, ZoneObservation, ZoneState};
use crate::record::ZoneRecord;
use crate::settings::HealthSettings;
use rockdeal_types::clock::Micros;
use rockdeal_types::ids::ZoneId;

/// The state of one zone at the leader.
#[derive(Debug, Default)]
pub(super) struct Zone {
    pub(super) health: ZoneHealth,
    /// Wall-clock time at which the zone entered its state.
    pub(super) since: Micros,
    /// Number of evacuation waves started since the zone was lost; 0 if it is not lost.
    pub(super) wave: u64,
    /// Monotonic time at which the newest wave started.
    pub(super) last_wave_at: Micros,
    /// Whether an operator declares the state.
    pub(super) declared: bool,
    /// Monotonic time at which there was last evidence about machines of the zone, or at which a
    /// probe machine was last scaled out there.
    pub(super) last_seen_at: Micros,
}

impl Zone {
    /// Records that the zone has changed its state now.
    pub(super) fn record_state_change(&mut self, now: Micros, wall_clock: Micros) {
        self.since = wall_clock;
        // The first evacuation wave starts as soon as the zone is lost.
        self.wave = u64::from(self.health.state() == ZoneState::Lost);
        self.last_wave_at = now;
    }

    /// Returns whether the zone is left out of the committed record.
    pub(super) fn needs_no_record(&self) -> bool {
        self.health == ZoneHealth::default() || self.is_healthy_and_never_lost()
    }

    /// Returns whether the zone is healthy, has never been lost and is not declared.
    pub(super) fn is_healthy_and_never_lost(&self) -> bool {
        self.health.state() == ZoneState::Healthy && self.health.epoch() == 0 && !self.declared
    }

    /// Returns the record of the zone to commit.
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

/// Restores the state of a zone from the record that an earlier leader committed.
pub(super) fn resume(now: Micros, wall_clock: Micros, recorded: &ZoneRecord) -> Zone {
    // The probation continues under the new leader. If every change of leader started it anew,
    // frequent changes would keep the zone on probation for ever.
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

/// Logs a change of state that the evidence has caused.
pub(super) fn log_transition(
    id: &ZoneId,
    zone: &Zone,
    transition: Transition,
    observation: ZoneObservation,
    health: &HealthSettings,
) {
    let probation_s = zone.health.probation(health).as_secs();
    tracing::info!(zone = %id, from = ?transition.from, to = ?transition.to, epoch = zone.health.epoch(), relapses = zone.health.relapses(), probation_s, machines = observation.machines, silent = observation.silent, peers = observation.peers, silent_peers = observation.silent_peers, "zone state changed");
}
