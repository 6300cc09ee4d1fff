//! Provides the API with a view of the controller's state and with answers to job lookups.
//!
//! It owns the view that was last published. Decisions are made here, never in the API.

use super::Core;
use super::effects::read_index_effect;
use crate::api::channels::{ApiView, TeamPartition};
use crate::clock::Micros;
use crate::controller::messages::Effect;
use crate::ids::{JobId, Revision, Term};
use crate::leader;
use crate::store::{Reply, Versioned};
use std::sync::Arc;

/// Interval at which the view is recomputed without any input, because health also changes as
/// time passes.
const API_VIEW_INTERVAL: Micros = Micros::from_millis(250);

/// The view that was last published, and when a view was last computed.
#[derive(Default)]
pub(super) struct ApiViewPublisher {
    view: Arc<ApiView>,
    last_computed_at: Micros,
}

impl ApiViewPublisher {
    /// Replaces the last view and returns the new one; `None` if the view has not changed.
    fn replace(&mut self, view: ApiView) -> Option<Arc<ApiView>> {
        if view == *self.view {
            return None;
        }
        self.view = Arc::new(view);
        Some(self.view.clone())
    }
}

impl Core {
    /// Recomputes the view if the interval has passed.
    pub(super) fn publish_api_view_if_due(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now.since(self.api_view.last_computed_at) >= API_VIEW_INTERVAL {
            self.publish_api_view(now, out);
        }
    }

    /// Recomputes the view and publishes it if it has changed.
    pub(super) fn publish_api_view(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.api_view.last_computed_at = now;
        let view = ApiView {
            types: self.machine_types.types().cloned(),
            teams: self.team_partitions(),
            healthy: self.is_healthy(now),
            format: self.store.cache().format_level(),
        };
        let changed = self.api_view.replace(view);
        out.extend(changed.map(Effect::PublishView));
    }

    /// Returns the partition of each team with the revision and term of its grant, in the order
    /// of the teams in the settings.
    fn team_partitions(&self) -> Vec<TeamPartition> {
        let settings = &self.configuration.settings;
        let cache = self.store.cache();
        let partition_count = self.configuration.partition_count();
        (0..settings.platform.teams.len())
            .map(|team| {
                let partition = leader::partition_of(cache, settings, partition_count, team);
                let grant = cache.partition_owners.get(&partition);
                TeamPartition {
                    partition,
                    owner_revision: grant.map_or(Revision(0), |versioned| versioned.revision),
                    term: grant.map_or(Term(0), |Versioned { record, .. }| record.term),
                }
            })
            .collect()
    }

    /// Begins a user's lookup of a job. Without a recent read of the store the lookup can't be
    /// answered by the next read, so it is refused at once unless the job's end is cached.
    pub(super) fn handle_job_lookup(
        &mut self,
        now: Micros,
        job: JobId,
        request_id: u64,
        out: &mut Vec<Effect>,
    ) {
        let is_fresh = self.store.is_fresh(now);
        let effect = self.read_index.begin_lookup(now, job, request_id, is_fresh);
        out.extend(effect.map(read_index_effect));
    }

    /// Answers the lookups that a read of the store requested at `requested_at` can answer.
    pub(super) fn answer_job_lookups(&mut self, requested_at: Micros, out: &mut Vec<Effect>) {
        let cache = self.store.cache();
        let graph = self.dependencies.graph();
        let effects = self.read_index.handle_read(requested_at, cache, graph);
        out.extend(effects.into_iter().map(read_index_effect));
    }

    /// Handles the reply to a read of the record of an ended job that users look up.
    pub(super) fn handle_ended_job_reply(
        &mut self,
        job: JobId,
        reply: &Reply,
        out: &mut Vec<Effect>,
    ) {
        let effects = self.read_index.handle_ended_read(&job, reply);
        out.extend(effects.into_iter().map(read_index_effect));
    }
}
