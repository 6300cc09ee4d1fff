//! What the watch has read of the store, and what follows from each read.
//!
//! It owns the cache and how far it has come. Nothing is decided by the cache alone: each
//! write names the revisions that it relies on.

use super::Core;
use crate::clock::Micros;
use crate::controller::messages::{Effect, StoreChanges, StoreSnapshot};
use crate::ids::{JobId, PartitionId, Revision};
use crate::store::{Versioned, WatchEvent};
use crate::watch_cache::{CacheChange, WatchCache};

/// Without a read of the store for so long, job lookups are refused at once.
const MAX_STALENESS: Micros = Micros::from_millis(3_000);

/// The cache and its progress.
#[derive(Debug, Default)]
pub(super) struct StoreReader {
    cache: WatchCache,
    /// The store's revision that the cache has reached.
    applied_revision: Revision,
    /// When the read that reached it was requested.
    last_read_at: Micros,
}

impl StoreReader {
    /// The store's records as they were last read.
    pub(super) fn cache(&self) -> &WatchCache {
        &self.cache
    }

    /// The store's revision that the cache has reached.
    pub(super) fn applied_revision(&self) -> Revision {
        self.applied_revision
    }

    /// When the newest read was requested.
    pub(super) fn last_read_at(&self) -> Micros {
        self.last_read_at
    }

    /// Whether the store was read of late.
    pub(super) fn is_fresh(&self, now: Micros) -> bool {
        self.cache.is_loaded() && now.since(self.last_read_at) < MAX_STALENESS
    }

    fn load(&mut self, snapshot: StoreSnapshot) {
        self.cache.load(snapshot.entries);
        self.applied_revision = snapshot.revision;
        self.last_read_at = snapshot.requested_at;
    }

    /// Applies events in their order; `revision` is reached with them. Revisions never go
    /// back.
    fn apply(&mut self, events: Vec<WatchEvent>, revision: Revision) -> ChangedRecords {
        let mut changed = ChangedRecords::default();
        for event in events {
            changed.add(self.cache.apply_event(event));
        }
        self.applied_revision = revision.max(self.applied_revision);
        changed
    }
}

/// The records that a read has changed, in the order of the changes.
#[derive(Default)]
struct ChangedRecords {
    jobs: Vec<JobId>,
    machine_shards: Vec<(PartitionId, u32)>,
    progress_pages: Vec<(JobId, u32)>,
    has_others: bool,
}

impl ChangedRecords {
    fn add(&mut self, change: CacheChange) {
        match change {
            CacheChange::Job(job) => self.jobs.push(job),
            CacheChange::Shard(partition, shard) => self.machine_shards.push((partition, shard)),
            CacheChange::ProgressPage(job, page) => self.progress_pages.push((job, page)),
            CacheChange::PartitionOwner(_) | CacheChange::Other => self.has_others = true,
        }
    }
}

impl Core {
    /// Starts over from a full read.
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

    /// Guards against a partition built anew under the same term: its tokens and attempts
    /// would repeat, and copies of old heartbeats would count.
    fn reload_partitions(&mut self, now: Micros, owned_before: &[PartitionId]) {
        let types = self.machine_types.types_or_empty();
        for id in owned_before {
            if let Some(partition) = self.partitions.get_mut(*id) {
                partition.reload(now, self.store.cache(), &types);
            }
        }
    }

    /// Takes in the changes since the last read.
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
        // Grants first: a partition that is no longer ours must not be given jobs.
        if changed.has_others || !changed.machine_shards.is_empty() {
            self.reconcile_with_cache(now, out);
        }
        self.reconcile_partitions(now, &changed);
        self.cancel_pending_jobs();
        self.sync_dependencies(now, out);
    }

    /// The owned partitions take in the changed records.
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
                partition.reconcile_shard(now, *shard, cache, &types, false);
            }
        }
    }

    /// After the cache, the machine types or the membership changed: what this controller
    /// owns and leads, and the API's view.
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
