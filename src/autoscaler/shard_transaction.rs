//! The shards that one transaction changes, within the limits on transactions and values.

use super::shard_writes::WriteLimits;
use crate::ids::{MachineId, PartitionId};
use crate::partitions::{MachineRecord, ShardRecord};
use crate::store::{MAX_TRANSACTION_BYTES, Versioned};
use crate::watch_cache::WatchCache;
use std::collections::BTreeMap;

/// Key of a shard: its partition and its number within the partition.
pub(super) type ShardKey = (PartitionId, u32);

/// Number of mutations that are reserved for the write of the term record.
const MUTATIONS_FOR_TERM: usize = 1;

/// The changed shards. In the methods, `other_mutations` is the number of mutations that the
/// transaction contains in addition to those of shards.
pub(super) struct ShardTransaction<'a> {
    cache: &'a WatchCache,
    limits: WriteLimits,
    shards: BTreeMap<ShardKey, ShardRecord>,
}

impl<'a> ShardTransaction<'a> {
    /// Creates a transaction without changes.
    pub(super) fn new(cache: &'a WatchCache, limits: WriteLimits) -> Self {
        ShardTransaction {
            cache,
            limits,
            shards: BTreeMap::new(),
        }
    }

    /// Returns the changed shards, in the order of their keys.
    pub(super) fn into_shards(self) -> BTreeMap<ShardKey, ShardRecord> {
        self.shards
    }

    /// Returns whether no further shard can be changed.
    pub(super) fn is_full(&self, other_mutations: usize) -> bool {
        let bytes: usize = self.shards.values().map(ShardRecord::estimated_size).sum();
        let mutations = self.shards.len() + other_mutations + MUTATIONS_FOR_TERM;
        mutations >= self.limits.max_mutations || bytes > MAX_TRANSACTION_BYTES
    }

    /// Returns the shard with its changes so far, or `None` if this transaction cannot change it.
    fn shard(&mut self, key: ShardKey, other_mutations: usize) -> Option<&mut ShardRecord> {
        if !self.shards.contains_key(&key) {
            let recorded = self
                .cache
                .machine_shards
                .get(&key)
                .map(|Versioned { record: shard, .. }| shard);
            // A shard that is too large to be written has to be split first, by another write.
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

    /// Inserts a machine into the partition's first shard with room, or into a new shard. Returns
    /// false if the transaction has no room for the change.
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

    /// Removes a machine from its shard. Returns false if the transaction has no room for the
    /// change or the shard lacks the machine.
    pub(super) fn remove(&mut self, key: ShardKey, id: &MachineId, other_mutations: usize) -> bool {
        let shard = self.shard(key, other_mutations);
        shard.is_some_and(|shard| shard.0.remove(id).is_some())
    }
}
