//! The shards that one transaction changes, within what a transaction and a value may hold.

use super::shard_writes::WriteLimits;
use crate::ids::{MachineId, PartitionId};
use crate::partitions::{MachineRecord, ShardRecord};
use crate::store::{MAX_TRANSACTION_BYTES, Versioned};
use crate::watch_cache::WatchCache;
use std::collections::BTreeMap;

/// A shard: its partition, and its number within it.
pub(super) type ShardKey = (PartitionId, u32);

/// Mutations that are kept free for the term's key.
const MUTATIONS_FOR_TERM: usize = 1;

/// The changed shards. `other_mutations` are those that the transaction holds beside them.
pub(super) struct ShardTransaction<'a> {
    cache: &'a WatchCache,
    limits: WriteLimits,
    shards: BTreeMap<ShardKey, ShardRecord>,
}

impl<'a> ShardTransaction<'a> {
    /// Nothing changed yet.
    pub(super) fn new(cache: &'a WatchCache, limits: WriteLimits) -> Self {
        ShardTransaction {
            cache,
            limits,
            shards: BTreeMap::new(),
        }
    }

    /// The changed shards, in order.
    pub(super) fn into_shards(self) -> BTreeMap<ShardKey, ShardRecord> {
        self.shards
    }

    /// Whether no further shard can be changed.
    pub(super) fn is_full(&self, other_mutations: usize) -> bool {
        let bytes: usize = self.shards.values().map(ShardRecord::estimated_size).sum();
        let mutations = self.shards.len() + other_mutations + MUTATIONS_FOR_TERM;
        mutations >= self.limits.max_mutations || bytes > MAX_TRANSACTION_BYTES
    }

    /// The shard as it is changed; nothing if it cannot be changed in this transaction.
    fn shard(&mut self, key: ShardKey, other_mutations: usize) -> Option<&mut ShardRecord> {
        if !self.shards.contains_key(&key) {
            let recorded = self
                .cache
                .machine_shards
                .get(&key)
                .map(|Versioned { record: shard, .. }| shard);
            // One that is too large to be written is split first, in a write of its own.
            let is_oversize =
                recorded.is_some_and(|shard| shard.is_oversize(self.limits.max_value_bytes));
            if is_oversize || self.is_full(other_mutations) {
                return None;
            }
            let shard = recorded.map_or_else(ShardRecord::default, |shard| (**shard).clone());
            self.shards.insert(key, shard);
        }
        self.shards.get_mut(&key)
    }

    fn has_room(&self, key: ShardKey, machine: &MachineRecord) -> bool {
        let changed = self.shards.get(&key);
        let recorded = || {
            self.cache
                .machine_shards
                .get(&key)
                .map(|Versioned { record: shard, .. }| &**shard)
        };
        let shard = changed.or_else(recorded);
        shard.is_none_or(|shard| shard.has_room(machine, self.limits.max_value_bytes))
    }

    /// Inserts a machine into the partition's first shard with room, or a new one. Returns
    /// whether the transaction had room.
    pub(super) fn insert(
        &mut self,
        partition: PartitionId,
        id: &MachineId,
        machine: MachineRecord,
        other_mutations: usize,
    ) -> bool {
        let mut key = (partition, 0);
        while !self.has_room(key, &machine) {
            key.1 += 1;
        }
        let Some(shard) = self.shard(key, other_mutations) else {
            return false;
        };
        shard.0.insert(id.clone(), machine);
        true
    }

    /// Removes a machine from its shard. Returns whether it was there and the transaction had
    /// room.
    pub(super) fn remove(&mut self, key: ShardKey, id: &MachineId, other_mutations: usize) -> bool {
        let shard = self.shard(key, other_mutations);
        shard.is_some_and(|shard| shard.0.remove(id).is_some())
    }
}
