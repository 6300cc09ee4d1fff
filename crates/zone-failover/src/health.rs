//! The health of one zone: a state machine with hysteresis against short outages and damping
//! against flapping.
//!
//! ```text
//!            net downtime >= suspect_after    net downtime >= lost_after
//!   Healthy ---------------------------> Suspect -------------------> Lost
//!      ^  ^------------------------------------'                       |  ^
//!      |          net downtime back to zero       up for return_after   |  | net downtime
//!      |                                                               v  | >= suspect_after
//!      '---------------------------------------------------------- Probation
//!                     up for the whole probation
//! ```
//!
//! *Net downtime* is the time spent down minus the time spent up, and never below zero. A zone
//! whose outages are shorter than `lost_after`, and are each followed by at least as much time up,
//! is therefore never lost, however fast it flaps. A zone that is down most of the time is lost
//! eventually.
//!
//! Evidence makes a zone lost only while another zone could take its work.

use crate::evidence::ZoneCounts;
use crate::settings::HealthSettings;
use rockdeal_types::clock::Micros;
use serde::{Deserialize, Serialize};

/// The observations of one zone, combined over all controllers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ZoneObservation {
    /// Number of machines in the zone that have been up.
    pub machines: u32,
    /// Number of those machines whose heartbeats do not arrive.
    pub silent: u32,
    /// Number of controllers in the zone.
    pub peers: u32,
    /// Number of those controllers whose heartbeats reach no other controller.
    pub silent_peers: u32,
    /// Number of displaced tasks and silent machines that wait for a further evacuation wave.
    pub waiting: u32,
}

impl ZoneObservation {
    /// Converts the counts of a single controller.
    pub fn of(counts: &ZoneCounts) -> Self {
        ZoneObservation {
            machines: counts.machines,
            silent: counts.silent,
            peers: counts.peers,
            silent_peers: counts.silent_peers,
            waiting: counts.waiting,
        }
    }

    /// Adds the counts of another controller.
    ///
    /// The counts of machines and waiting work are added, because every machine belongs to the
    /// partitions of exactly one controller. The counts of peers are not added, because all
    /// controllers observe the same peers. Their minimum is taken: a peer is alive if its frames
    /// reach any controller.
    pub fn add(&mut self, counts: &ZoneCounts) {
        self.machines = self.machines.saturating_add(counts.machines);
        self.silent = self.silent.saturating_add(counts.silent);
        self.waiting = self.waiting.saturating_add(counts.waiting);
        self.peers = self.peers.min(counts.peers);
        self.silent_peers = self.silent_peers.min(counts.silent_peers);
    }

    /// Derives the condition of the zone from the share of its machines that is silent.
    pub fn condition(&self, settings: &HealthSettings) -> Condition {
        if self.machines == 0 {
            return Condition::Unknown;
        }
        let share = f64::from(self.silent) / f64::from(self.machines);
        if self.machines < settings.min_machines {
            // A few machines may fail independently of the zone. The zone counts as down only if
            // all its machines and all its controllers are silent.
            let peers_agree = self.peers > 0 && self.silent_peers == self.peers;
            return match (self.silent, share >= 1.0 && peers_agree) {
                (0, _) => Condition::Up,
                (_, true) => Condition::Down,
                (_, false) => Condition::Unknown,
            };
        }
        if share >= settings.lost_share {
            Condition::Down
        } else if share <= settings.up_share {
            Condition::Up
        } else {
            Condition::Partial
        }
    }
}

/// The condition of a zone at one moment, according to the evidence.
///
/// The shares apply to zones with at least `min_machines` machines. A smaller zone is up if none
/// of its machines is silent, and down if all its machines and all its controllers are silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// There is no evidence, or too little to decide.
    Unknown,
    /// The share of silent machines is at most `up_share`.
    Up,
    /// The share of silent machines is between `up_share` and `lost_share`.
    Partial,
    /// The share of silent machines is at least `lost_share`.
    Down,
}

/// The state of a zone, which determines how the zone is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ZoneState {
    /// The zone is used without restrictions.
    #[default]
    Healthy,
    /// The zone seems to be down. Nothing is scaled out there, and its silent machines are retained
    /// for a limited time.
    Suspect,
    /// The zone is down. Its work is moved to other zones, in waves.
    Lost,
    /// The zone is up again, and must stay up for the length of its probation to be healthy.
    Probation,
}

/// A change of a zone's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition {
    /// The previous state.
    pub from: ZoneState,
    /// The new state.
    pub to: ZoneState,
}

/// Longest time between two evaluations that is added to the downtime or uptime. After a longer
/// gap, the condition during most of the gap was not observed.
const MAX_ELAPSED: Micros = Micros::from_millis(2_000);

/// The health of one zone, derived from evidence over time.
///
/// The epoch rises by one with every loss and never falls.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ZoneHealth {
    state: ZoneState,
    /// Number of losses so far. Identifies the loss that an evacuation belongs to.
    epoch: u64,
    /// Number of losses that lengthen the probation.
    relapses: u32,
    /// Time spent down minus time spent up, at least zero.
    net_downtime: Micros,
    /// Time spent up since the zone was last down or partly up. Starts anew when the zone enters a
    /// state other than `Suspect`, and when `relapses` is reduced.
    continuous_uptime: Micros,
}

impl ZoneHealth {
    /// Restores the health that an earlier leader recorded.
    ///
    /// `continuous_uptime` is the time for which the zone has been on probation, and zero in every
    /// other state.
    pub fn resume(state: ZoneState, epoch: u64, relapses: u32, continuous_uptime: Micros) -> Self {
        ZoneHealth {
            state,
            epoch,
            relapses,
            net_downtime: Micros::ZERO,
            continuous_uptime,
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> ZoneState {
        self.state
    }

    /// Returns how often the zone has been lost.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the number of losses that lengthen the probation.
    pub fn relapses(&self) -> u32 {
        self.relapses
    }

    /// Returns the time for which the zone must stay up on probation: `settings.probation`, doubled
    /// by every loss after the first, and at most `settings.max_probation`.
    pub fn probation(&self, settings: &HealthSettings) -> Micros {
        let doublings = self.relapses.saturating_sub(1).min(u64::BITS - 1);
        let length = settings.probation.0.saturating_mul(1 << doublings);
        Micros(length).min(settings.max_probation)
    }

    /// Returns the remaining probation of a zone on probation.
    pub fn probation_left(&self, settings: &HealthSettings) -> Micros {
        self.probation(settings).since(self.continuous_uptime)
    }

    /// Evaluates the condition of the zone `elapsed` after the previous evaluation. Returns the
    /// change of state, if there is one.
    ///
    /// `may_be_lost` is false if no other zone could take the work. The zone then does not become
    /// lost.
    pub fn observe(
        &mut self,
        elapsed: Micros,
        condition: Condition,
        may_be_lost: bool,
        settings: &HealthSettings,
    ) -> Option<Transition> {
        self.accumulate(elapsed.min(MAX_ELAPSED), condition);
        let next = match self.state {
            ZoneState::Healthy => self.next_after_healthy(settings),
            ZoneState::Suspect => self.next_after_suspect(may_be_lost, settings),
            ZoneState::Lost => {
                (self.continuous_uptime >= settings.return_after).then_some(ZoneState::Probation)
            }
            ZoneState::Probation => self.next_after_probation(may_be_lost, settings),
        };
        next.map(|to| self.enter(to))
    }

    fn accumulate(&mut self, elapsed: Micros, condition: Condition) {
        match condition {
            Condition::Up => {
                self.continuous_uptime = self.continuous_uptime + elapsed;
                self.net_downtime = self.net_downtime - elapsed;
            }
            Condition::Down => {
                self.continuous_uptime = Micros::ZERO;
                self.net_downtime = self.net_downtime + elapsed;
            }
            // A zone that is only partly up has not recovered, so its uptime starts anew.
            Condition::Partial => self.continuous_uptime = Micros::ZERO,
            Condition::Unknown => {}
        }
    }

    fn next_after_healthy(&mut self, settings: &HealthSettings) -> Option<ZoneState> {
        if self.net_downtime >= settings.suspect_after {
            return Some(ZoneState::Suspect);
        }
        if self.relapses > 0 && self.continuous_uptime >= settings.quiet {
            self.relapses -= 1;
            self.continuous_uptime = Micros::ZERO;
        }
        None
    }

    fn next_after_suspect(
        &self,
        may_be_lost: bool,
        settings: &HealthSettings,
    ) -> Option<ZoneState> {
        if self.net_downtime == Micros::ZERO {
            Some(ZoneState::Healthy)
        } else if self.net_downtime >= settings.lost_after && may_be_lost {
            Some(ZoneState::Lost)
        } else {
            None
        }
    }

    fn next_after_probation(
        &self,
        may_be_lost: bool,
        settings: &HealthSettings,
    ) -> Option<ZoneState> {
        if self.net_downtime >= settings.suspect_after && may_be_lost {
            Some(ZoneState::Lost)
        } else if self.continuous_uptime >= self.probation(settings) {
            Some(ZoneState::Healthy)
        } else {
            None
        }
    }

    /// Sets the state that an operator has declared, regardless of the evidence. Returns the change
    /// of state, if there is one.
    pub fn declare(&mut self, state: ZoneState) -> Option<Transition> {
        (self.state != state).then(|| self.enter(state))
    }

    fn enter(&mut self, to: ZoneState) -> Transition {
        let from = std::mem::replace(&mut self.state, to);
        match to {
            ZoneState::Lost => {
                self.epoch += 1;
                self.relapses = self.relapses.saturating_add(1);
                self.continuous_uptime = Micros::ZERO;
            }
            ZoneState::Probation | ZoneState::Healthy => {
                self.net_downtime = Micros::ZERO;
                self.continuous_uptime = Micros::ZERO;
            }
            ZoneState::Suspect => {}
        }
        Transition { from, to }
    }
}
