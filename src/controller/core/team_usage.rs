//! Publishes the teams' usage of this controller's partitions in the store, for the other
//! controllers.
//!
//! It records when the usage was last published. It never reads the usage that other
//! controllers publish.

use super::Core;
use crate::clock::Micros;
use crate::controller::messages::{Effect, StoreOperation};
use crate::store::{Mutation, Request, RequestPriority, keys};
use std::collections::BTreeMap;

/// Interval between two publications of the teams' usage.
const TEAM_USAGE_INTERVAL: Micros = Micros::from_millis(10_000);

/// Schedule of the publications of the teams' usage.
#[derive(Debug)]
pub(super) struct TeamUsagePublisher {
    last_published_at: Micros,
}

impl TeamUsagePublisher {
    /// Creates the schedule. The first publication is due one interval after the start.
    pub(super) fn new(started_at: Micros) -> Self {
        TeamUsagePublisher {
            last_published_at: started_at,
        }
    }

    /// Returns whether a publication is due. If so, the next is due one interval later.
    fn begin_if_due(&mut self, now: Micros) -> bool {
        let is_due = now.since(self.last_published_at) >= TEAM_USAGE_INTERVAL;
        if is_due {
            self.last_published_at = now;
        }
        is_due
    }
}

impl Core {
    /// Publishes the teams' usage and logs the usage of the partitions, if the interval has
    /// passed.
    pub(super) fn publish_team_usage_if_due(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if !self.team_usage.begin_if_due(now) {
            return;
        }
        let fleet = self.machine_types.fleet_capacity();
        let mut heaviness_by_team = BTreeMap::new();
        for partition in self.partitions.values_mut() {
            partition.log_usage(now);
            heaviness_by_team.extend(partition.team_heaviness(fleet));
        }
        let key = keys::team_usage(&self.configuration.settings.label);
        out.push(Effect::StoreRequest {
            operation: StoreOperation::TeamUsage,
            request: Request::CompareAndSwap {
                compares: vec![],
                mutations: vec![Mutation::put(key, &heaviness_by_team)],
            },
            priority: RequestPriority::Background,
        });
    }
}
