//! The health of one zone: hysteresis against short troubles, damping against flapping.
//!
//! ```text
//!            pressure >= suspect_after        pressure >= lost_after
//!   Healthy ---------------------------> Suspect -------------------> Lost
//!      ^  ^------------------------------------'                       |  ^
//!      |          pressure back to zero          up for return_after   |  | down for
//!      |                                                               v  | suspect_after
//!      '---------------------------------------------------------- Probation
//!                     up for the whole probation
//! ```
//!
//! *Pressure* is time spent down less time spent up, never below zero. A zone that is down
//! half of the time or less so never gets lost, however fast it flaps, and one that is
//! down most of the time does.

use crate::evidence::ZoneCounts;
use crate::settings::HealthSettings;
use rockdeal_types::clock::Micros;
use serde::{Deserialize, Serialize};

/// What is seen of a zone, by all controllers together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ZoneObservation {
    /// Machines that have been up.
    pub machines: u32,
    /// Those of them that are silent.
    pub silent: u32,
    /// Controllers in the zone.
    pub peers: u32,
    /// Those of them that no controller hears.
    pub silent_peers: u32,
    /// Displaced tasks and silent machines that wait for a further wave.
    pub waiting: u32,
}

impl ZoneObservation {
    /// What one controller sees.
    pub fn of(counts: &ZoneCounts) -> Self {
        ZoneObservation {
            machines: counts.machines,
            silent: counts.silent,
            peers: counts.peers,
            silent_peers: counts.silent_peers,
            waiting: counts.waiting,
        }
    }

    /// Adds what another controller sees. Each machine is in one controller's blocks; the
    /// controllers of a zone are seen by all, and one that anybody hears is heard.
    pub fn add(&mut self, counts: &ZoneCounts) {
        self.machines = self.machines.saturating_add(counts.machines);
        self.silent = self.silent.saturating_add(counts.silent);
        self.waiting = self.waiting.saturating_add(counts.waiting);
        self.peers = self.peers.min(counts.peers);
        self.silent_peers = self.silent_peers.min(counts.silent_peers);
    }

    /// What this says about the zone.
    pub fn condition(&self, settings: &HealthSettings) -> Condition {
        if self.machines == 0 {
            return Condition::Unknown;
        }
        let share = f64::from(self.silent) / f64::from(self.machines);
        if self.machines < settings.least_machines {
            // So few machines may fail by themselves: the zone's controllers must agree.
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

/// What the evidence of one moment says about a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// Nothing, or too little to tell.
    Unknown,
    /// Nearly all of its machines are heard.
    Up,
    /// Some are heard, some are not.
    Partial,
    /// Nearly none is heard.
    Down,
}

/// How a zone is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ZoneState {
    /// As any other.
    #[default]
    Healthy,
    /// It seems down: nothing is rented there, and none of its machines is returned.
    Suspect,
    /// It is down: its work is moved elsewhere, in waves.
    Lost,
    /// It seems to be back: it has to stay so for a while.
    Probation,
}

/// A change of a zone's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition {
    /// The state before.
    pub from: ZoneState,
    /// The state now.
    pub to: ZoneState,
}

/// Time between two looks that counts at most: what happened meanwhile was not seen.
const MOST_ELAPSED: Micros = Micros::from_millis(2_000);

/// The health of one zone, as far as time and evidence go.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ZoneHealth {
    state: ZoneState,
    /// Rises with each loss, so that what belongs to an earlier one is known.
    epoch: u64,
    /// Losses that count for the length of the probation.
    relapses: u32,
    /// Time spent down less time spent up.
    pressure: Micros,
    /// Time spent up without a break.
    calm: Micros,
}

impl ZoneHealth {
    /// As an earlier leader recorded it; `calm` is how long it has been on probation.
    pub fn resume(state: ZoneState, epoch: u64, relapses: u32, calm: Micros) -> Self {
        ZoneHealth {
            state,
            epoch,
            relapses,
            pressure: Micros::ZERO,
            calm,
        }
    }

    /// The state now.
    pub fn state(&self) -> ZoneState {
        self.state
    }

    /// How often it has been lost.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Losses that count for the length of the probation.
    pub fn relapses(&self) -> u32 {
        self.relapses
    }

    /// How long it has to stay up on probation: doubled by each loss, up to a bound.
    pub fn probation(&self, settings: &HealthSettings) -> Micros {
        let doublings = self.relapses.saturating_sub(1).min(u64::BITS - 1);
        let length = settings.probation.0.saturating_mul(1 << doublings);
        Micros(length).min(settings.most_probation)
    }

    /// How long a zone on probation still has to stay up.
    pub fn probation_left(&self, settings: &HealthSettings) -> Micros {
        self.probation(settings).since(self.calm)
    }

    /// Takes in what is seen `elapsed` after the last look. `may_be_lost` is false where no
    /// other zone could take the work.
    pub fn observe(
        &mut self,
        elapsed: Micros,
        condition: Condition,
        may_be_lost: bool,
        settings: &HealthSettings,
    ) -> Option<Transition> {
        self.accumulate(elapsed.min(MOST_ELAPSED), condition);
        let next = match self.state {
            ZoneState::Healthy => self.next_of_healthy(settings),
            ZoneState::Suspect => self.next_of_suspect(may_be_lost, settings),
            ZoneState::Lost => (self.calm >= settings.return_after).then_some(ZoneState::Probation),
            ZoneState::Probation => self.next_of_probation(may_be_lost, settings),
        };
        next.map(|to| self.enter(to))
    }

    fn accumulate(&mut self, elapsed: Micros, condition: Condition) {
        match condition {
            Condition::Up => {
                self.calm = self.calm + elapsed;
                self.pressure = self.pressure - elapsed;
            }
            Condition::Down => {
                self.calm = Micros::ZERO;
                self.pressure = self.pressure + elapsed;
            }
            // A zone of which half is gone is not back.
            Condition::Partial => self.calm = Micros::ZERO,
            Condition::Unknown => {}
        }
    }

    fn next_of_healthy(&mut self, settings: &HealthSettings) -> Option<ZoneState> {
        if self.pressure >= settings.suspect_after {
            return Some(ZoneState::Suspect);
        }
        if self.relapses > 0 && self.calm >= settings.quiet {
            self.relapses -= 1;
            self.calm = Micros::ZERO;
        }
        None
    }

    fn next_of_suspect(&self, may_be_lost: bool, settings: &HealthSettings) -> Option<ZoneState> {
        if self.pressure == Micros::ZERO {
            Some(ZoneState::Healthy)
        } else if self.pressure >= settings.lost_after && may_be_lost {
            Some(ZoneState::Lost)
        } else {
            None
        }
    }

    fn next_of_probation(&self, may_be_lost: bool, settings: &HealthSettings) -> Option<ZoneState> {
        if self.pressure >= settings.suspect_after && may_be_lost {
            Some(ZoneState::Lost)
        } else if self.calm >= self.probation(settings) {
            Some(ZoneState::Healthy)
        } else {
            None
        }
    }

    /// An operator's word: it holds whatever the evidence says.
    pub fn declare(&mut self, state: ZoneState) -> Option<Transition> {
        (self.state != state).then(|| self.enter(state))
    }

    fn enter(&mut self, to: ZoneState) -> Transition {
        let from = std::mem::replace(&mut self.state, to);
        match to {
            ZoneState::Lost => {
                self.epoch += 1;
                self.relapses = self.relapses.saturating_add(1);
                self.calm = Micros::ZERO;
            }
            ZoneState::Probation | ZoneState::Healthy => {
                self.pressure = Micros::ZERO;
                self.calm = Micros::ZERO;
            }
            ZoneState::Suspect => {}
        }
        Transition { from, to }
    }
}
