//! What the API is given: the view of the controller, and answers to job lookups.
//!
//! It owns the view that was published last. The API decides nothing that is decided here.

use super::Core;
use super::effects::read_index_effect;
use crate::api::ports::{ApiView, TeamPartition};
use crate::clock::Micros;
use crate::controller::messages::Effect;
use crate::ids::{JobId, Revision, Term};
use crate::leader;
use crate::store::{Reply, Versioned};
use std::sync::Arc;

/// Time alone changes the view, too: it is computed again so often.
const API_VIEW_INTERVAL: Micros = Micros::from_millis(250);

/// The view that was published last.
#[derive(Default)]
pub(super) struct ApiViewPublisher {
    view: Arc<ApiView>,
    last_computed_at: Micros,
}

impl ApiViewPublisher {
    /// The view to publish, if it is another than the last.
    fn replace(&mut self, view: ApiView) -> Option<Arc<ApiView>> {
        if view == *self.view {
            return None;
        }
        self.view = Arc::new(view);
        Some(self.view.clone())
    }
}

impl Core {
    /// Computes the view again, if an interval has passed.
    pub(super) fn publish_api_view_if_due(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if now.since(self.api_view.last_computed_at) >= API_VIEW_INTERVAL {
            self.publish_api_view(now, out);
        }
    }

    /// Computes the view, and publishes it if it changed.
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

    /// Each team's partition with the revision and term of its grant, in the settings' order.
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

    /// A user's lookup of a job. Without a read of late there is none to wait for.
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

    /// Answers the lookups that waited for a read requested at `requested_at`.
    pub(super) fn answer_job_lookups(&mut self, requested_at: Micros, out: &mut Vec<Effect>) {
        let cache = self.store.cache();
        let graph = self.dependencies.graph();
        let effects = self.read_index.handle_read(requested_at, cache, graph);
        out.extend(effects.into_iter().map(read_index_effect));
    }

    /// The record of an ended job that a user looks up.
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
