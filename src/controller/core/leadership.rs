//! What only the leader does, and the state that only it needs.
//!
//! Every controller keeps that state, so that it can lead at once. All that a leader writes is
//! conditional on its leadership, so one that has been replaced changes nothing.

use super::Core;
use super::format_level::SeenFormatLevels;
use super::garbage_collection::GarbageCollector;
use crate::autoscaler::Autoscaler;
use crate::clock::Micros;
use crate::controller::messages::Effect;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::store::Compare;

/// The state that only a leader needs.
pub(super) struct LeaderState {
    pub(super) autoscaler: Autoscaler,
    pub(super) format_levels: SeenFormatLevels,
    pub(super) garbage_collector: GarbageCollector,
}

impl LeaderState {
    /// The state of a controller that has never led.
    pub(super) fn new(settings: &Settings, policy: &Policy) -> Self {
        LeaderState {
            autoscaler: Autoscaler::new(settings, policy),
            format_levels: SeenFormatLevels::default(),
            garbage_collector: GarbageCollector::default(),
        }
    }
}

impl Core {
    /// Grants partitions, raises the format level, and scales the fleet.
    pub(super) fn act_as_leader(&mut self, now: Micros, leader: &Compare, out: &mut Vec<Effect>) {
        self.grant_partitions(now, leader, out);
        self.raise_format_level(now, leader, out);
        self.refresh_machine_types(now, out);
        self.run_autoscaler(now, leader, out);
    }
}
