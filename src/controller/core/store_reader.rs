//! The cache of the store's records, and the updates of the core after each read of the store.
//!
//! It owns the cache and the revision that the cache has reached. The cache may lag behind the
//! store, so no decision rests on the cache alone: each write names the revisions that it relies
//! on.

use super::Core;
use crate::clock::Micros;
use crate::controller::messages::{Effect, StoreChanges, StoreSnapshot};
use crate::ids::{JobId, PartitionId, Revision};
use crate::partition_owner::ShardRead;
use crate::store::{Versioned, WatchEvent};
use crate::watch_cache::{CacheChange, WatchCache};

/// Age of the last read of the store from which on job lookups are refused at once.
const MAX_STALENESS: Micros = Micros::from_millis(3_000);

/// The cache, and how current it is.
#[derive(Debug, Default)]
pub(super) struct StoreReader {
    cache: WatchCache,
    /// Store revision that the cache has reached.
    applied_revision: Revision,
    /// Time at which the last read was requested.
    last_read_at: Micros,
}

impl StoreReader {
    /// Returns the store's records as they were last read.
    pub(super) fn cache(&self) -> &WatchCache {
        &self.cache
    }

    /// Returns the store revision that the cache has reached.
    pub(super) fn applied_revision(&self) -> Revision {
        self.applied_revision
    }

    /// Returns the time at which the last read was requested.
    pub(super) fn last_read_at(&self) -> Micros {
        self.last_read_at
    }

    /// Returns whether the store was read recently.
    pub(super) fn is_fresh(&self, now: Micros) -> bool {
        self.cache.is_loaded() && now.since(self.last_read_at) < MAX_STALENESS
    }

    fn load(&mut self, snapshot: StoreSnapshot) {
        self.cache.load(snapshot.entries);
        self.applied_revision = snapshot.revision;
        self.last_read_at = snapshot.requested_at;
    }

    /// Applies events in their order, and returns the changed records. The events end at
    /// `revision`; the applied revision never decreases.
    fn apply(&mut self, events: Vec<WatchEvent>, revision: Revision) -> ChangedRecords {
        let mut changed = ChangedRecords::default();
        for event in events {
            changed.add(self.cache.apply_event(event));
        }
        self.applied_revision = revision.max(self.applied_revision);
        changed
    }
}

/// Records that a read has changed, in the order of the changes.
#[derive(Default)]
struct ChangedRecords {
    jobs: Vec<JobId>,
    machine_shards: Vec<(PartitionId, u32)>,
    progress_pages: Vec<(JobId, u32)>,
    /// Whether any other record has changed, such as a partition's owner.
    has_other_changes: bool,
}

impl ChangedRecords {
    fn add(&mut self, change: CacheChange) {
        match change {
            CacheChange::Job(job) => self.jobs.push(job),
            CacheChange::Shard(partition, shard) => self.machine_shards.push((partition, shard)),
            CacheChange::ProgressPage(job, page) => self.progress_pages.push((job, page)),
            CacheChange::PartitionOwner(_) | CacheChange::Other => self.has_other_changes = true,
        }
    }
}

impl Core {
    /// Replaces the cache with the result of a full read and updates the state that depends on
    /// it.
    pub(super) fn load_snapshot(
        &mut self,
        now: Micros,
        snapshot: StoreSnapshot,
        out: &mut Vec<Effect>,
    ) {
        let requested_at = snapshot.requested_at;
        self.store.load(snapshot);
        let owned_before = self.partitions.ids();
        self.dependencies.reload(now, self.store.cache());
        self.reconcile_with_cache(now, out);
        self.reload_partitions(now, &owned_before);
        self.cancel_pending_jobs();
        self.dependencies.mark_out_of_sync();
        self.sync_dependencies(now, out);
        self.answer_job_lookups(requested_at, out);
    }

    /// Reloads the partitions that were owned before the full read, instead of creating them
    /// again. A partition that was created again under the same term would issue the same fencing
    /// tokens and attempt ids again, and would accept delayed copies of old heartbeats.
    fn reload_partitions(&mut self, now: Micros, owned_before: &[PartitionId]) {
        let types = self.machine_types.types_or_empty();
        for id in owned_before {
            if let Some(partition) = self.partitions.get_mut(*id) {
                partition.reload(now, self.store.cache(), &types);
            }
        }
    }

    /// Applies the changes since the last read and updates the state that depends on them.
    pub(super) fn apply_watch_events(
        &mut self,
        now: Micros,
        changes: StoreChanges,
        out: &mut Vec<Effect>,
    ) {
        self.store.last_read_at = changes.requested_at;
        let has_events = !changes.events.is_empty();
        let changed = self.store.apply(changes.events, changes.revision);
        self.dependencies
            .sync_jobs(now, &changed.jobs, self.store.cache());
        self.answer_job_lookups(changes.requested_at, out);
        if !has_events {
            return;
        }
        // Ownership is updated first: a partition that is no longer owned must not receive jobs.
        if changed.has_other_changes || !changed.machine_shards.is_empty() {
            self.reconcile_with_cache(now, out);
        }
        self.reconcile_partitions(now, &changed);
        self.cancel_pending_jobs();
        self.sync_dependencies(now, out);
    }

    /// Passes the changed records to the owned partitions.
    fn reconcile_partitions(&mut self, now: Micros, changed: &ChangedRecords) {
        let types = self.machine_types.types_or_empty();
        let cache = self.store.cache();
        for partition in self.partitions.values_mut() {
            for job in &changed.jobs {
                partition.reconcile_job(job, cache);
            }
            for (job, page) in &changed.progress_pages {
                partition.reconcile_progress_page(job, *page, cache);
            }
            let id = partition.id();
            let shards = changed.machine_shards.iter();
            for (_, shard) in shards.filter(|(partition, _)| *partition == id) {
                partition.reconcile_shard(now, *shard, cache, &types, ShardRead::AfterChange);
            }
        }
    }

    /// Updates this controller's leadership, its owned partitions and the API's view after a
    /// change of the cache, the machine types or the membership.
    pub(super) fn reconcile_with_cache(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.machine_types.adopt_recorded(self.store.cache());
        self.record_members(now);
        self.update_leadership(now);
        self.update_ownership(now);
        self.machine_types.update_fleet_capacity(self.store.cache());
        if let Some(zones) = &mut self.zones {
            zones.sync(now, self.store.cache());
        }
        self.sync_zones(now);
        self.publish_api_view(now, out);
    }

    fn record_members(&mut self, now: Micros) {
        for (
            label,
            Versioned {
                revision,
                record: member,
            },
        ) in &self.store.cache().members
        {
            let format_levels = &mut self.leader_state.format_levels;
            format_levels.record(label, member.format);
            self.peers.record_member(now, label, *revision);
        }
    }

    fn update_leadership(&mut self, now: Micros) {
        let has_leader = self.store.cache().leader.is_some();
        let is_leader = self.leader_compare().is_some();
        self.election.update(now, has_leader, is_leader);
    }
}
