//! The work that only the leader does, and the state that only the leader needs.
//!
//! Every controller keeps this state, so that it can lead as soon as it is elected. All writes of
//! a leader are conditional on its leadership, so a leader that has been replaced changes nothing.

use super::Core;
use super::format_level::SeenFormatLevels;
use super::garbage_collection::GarbageCollector;
use crate::autoscaler::Autoscaler;
use crate::clock::Micros;
use crate::controller::messages::Effect;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::store::Compare;

/// State that only the leader needs.
pub(super) struct LeaderState {
    pub(super) autoscaler: Autoscaler,
    pub(super) format_levels: SeenFormatLevels,
    pub(super) garbage_collector: GarbageCollector,
}

impl LeaderState {
    /// Creates the state of a controller that has never led.
    pub(super) fn new(settings: &Settings, policy: &Policy) -> Self {
        LeaderState {
            autoscaler: Autoscaler::new(settings, policy),
            format_levels: SeenFormatLevels::default(),
            garbage_collector: GarbageCollector::default(),
        }
    }
}

impl Core {
    /// Grants partitions, raises the format level, refreshes the machine types and scales the
    /// fleet.
    pub(super) fn act_as_leader(
        &mut self,
        now: Micros,
        leadership: &Compare,
        out: &mut Vec<Effect>,
    ) {
        self.grant_partitions(now, leadership, out);
        self.raise_format_level(now, leadership, out);
        self.refresh_machine_types(now, out);
        self.run_autoscaler(now, leadership, out);
    }
}
