//! The health of one zone: hysteresis against short troubles, damping against flapping.
//!
//! ```text
//!            net downtime >= suspect_after    net downtime >= lost_after
//!   Healthy ---------------------------> Suspect -------------------> Lost
//!      ^  ^------------------------------------'                       |  ^
//!      |          net downtime back to zero       up for return_after   |  | down for
//!      |                                                               v  | suspect_after
//!      '---------------------------------------------------------- Probation
//!                     up for the whole probation
//! ```
//!
//! *Net downtime* is time spent down less time spent up, never below zero. A zone that is down
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
    /// Those of them whose heartbeats reach no controller.
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

    /// Adds what another controller sees. Each machine is in one controller's partitions; the
    /// controllers of a zone are seen by all, and one whose frames reach any controller is alive.
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
        if self.machines < settings.min_machines {
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
    /// Nothing, or too little for a decision.
    Unknown,
    /// The heartbeats of nearly all of its machines arrive.
    Up,
    /// Those of some arrive, those of others do not.
    Partial,
    /// Nearly none arrives.
    Down,
}

/// How a zone is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ZoneState {
    /// As any other.
    #[default]
    Healthy,
    /// It seems down: nothing is scaled out there, and none of its machines is released.
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

/// Time between two evaluations that counts at most: what happened meanwhile was not observed.
const MAX_ELAPSED: Micros = Micros::from_millis(2_000);

/// The health of one zone, as far as time and evidence go.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ZoneHealth {
    state: ZoneState,
    /// Rises with each loss, so that what belongs to an earlier one is known.
    epoch: u64,
    /// Losses that count for the length of the probation.
    relapses: u32,
    /// Time spent down less time spent up.
    net_downtime: Micros,
    /// Time spent up without a break.
    continuous_uptime: Micros,
}

impl ZoneHealth {
    /// As an earlier leader recorded it; `continuous_uptime` is how long it has been on probation.
    pub fn resume(state: ZoneState, epoch: u64, relapses: u32, continuous_uptime: Micros) -> Self {
        ZoneHealth {
            state,
            epoch,
            relapses,
            net_downtime: Micros::ZERO,
            continuous_uptime,
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
        Micros(length).min(settings.max_probation)
    }

    /// How long a zone on probation still has to stay up.
    pub fn probation_left(&self, settings: &HealthSettings) -> Micros {
        self.probation(settings).since(self.continuous_uptime)
    }

    /// Takes in what is seen `elapsed` after the last evaluation. `may_be_lost` is false where no
    /// other zone could take the work.
    pub fn observe(
        &mut self,
        elapsed: Micros,
        condition: Condition,
        may_be_lost: bool,
        settings: &HealthSettings,
    ) -> Option<Transition> {
        self.accumulate(elapsed.min(MAX_ELAPSED), condition);
        let next = match self.state {
            ZoneState::Healthy => self.next_of_healthy(settings),
            ZoneState::Suspect => self.next_of_suspect(may_be_lost, settings),
            ZoneState::Lost => {
                (self.continuous_uptime >= settings.return_after).then_some(ZoneState::Probation)
            }
            ZoneState::Probation => self.next_of_probation(may_be_lost, settings),
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
            // A zone of which half is gone is not back.
            Condition::Partial => self.continuous_uptime = Micros::ZERO,
            Condition::Unknown => {}
        }
    }

    fn next_of_healthy(&mut self, settings: &HealthSettings) -> Option<ZoneState> {
        if self.net_downtime >= settings.suspect_after {
            return Some(ZoneState::Suspect);
        }
        if self.relapses > 0 && self.continuous_uptime >= settings.quiet {
            self.relapses -= 1;
            self.continuous_uptime = Micros::ZERO;
        }
        None
    }

    fn next_of_suspect(&self, may_be_lost: bool, settings: &HealthSettings) -> Option<ZoneState> {
        if self.net_downtime == Micros::ZERO {
            Some(ZoneState::Healthy)
        } else if self.net_downtime >= settings.lost_after && may_be_lost {
            Some(ZoneState::Lost)
        } else {
            None
        }
    }

    fn next_of_probation(&self, may_be_lost: bool, settings: &HealthSettings) -> Option<ZoneState> {
        if self.net_downtime >= settings.suspect_after && may_be_lost {
            Some(ZoneState::Lost)
        } else if self.continuous_uptime >= self.probation(settings) {
            Some(ZoneState::Healthy)
        } else {
            None
        }
    }

    /// An operator's declaration: it holds whatever the evidence says.
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
