//! The teams' usage of this controller's partitions, published in the store for the others.
//!
//! It owns when it was published last. It never reads what the others publish.

use super::Core;
use crate::clock::Micros;
use crate::controller::messages::{Effect, StoreOperation};
use crate::store::{Mutation, Request, RequestPriority, keys};
use std::collections::BTreeMap;

const TEAM_USAGE_INTERVAL: Micros = Micros::from_millis(10_000);

/// When the teams' usage was published last.
#[derive(Debug)]
pub(super) struct TeamUsagePublisher {
    last_published_at: Micros,
}

impl TeamUsagePublisher {
    /// The first is published an interval after the start.
    pub(super) fn new(started_at: Micros) -> Self {
        TeamUsagePublisher {
            last_published_at: started_at,
        }
    }

    /// Whether the usage is to be published now; if so, next after an interval.
    fn begin_if_due(&mut self, now: Micros) -> bool {
        let is_due = now.since(self.last_published_at) >= TEAM_USAGE_INTERVAL;
        if is_due {
            self.last_published_at = now;
        }
        is_due
    }
}

impl Core {
    /// Publishes the usage, if an interval has passed.
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
