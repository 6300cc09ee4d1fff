//! Shards: the machines of a partition, spread over several values of the key-value store.
//!
//! Owns how large a shard may grow and how an oversize one is split. It must never produce a
//! shard of more than one machine that exceeds the store's limit on a value.

use super::records::MachineRecord;
use crate::ids::{MachineId, PartitionId, Revision};
use crate::store::{Compare, Mutation, keys};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The preferred size of a shard, in bytes. Larger ones cost every watcher more at each
/// change than they save.
const PREFERRED_SHARD_BYTES: usize = 8 * 1024;

/// Of a value, one part in so many stays free, since sizes are estimates.
const RESERVED_DIVISOR: usize = 8;

/// A shard of a partition's machines.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardRecord(pub BTreeMap<MachineId, MachineRecord>);

impl ShardRecord {
    /// The estimated size of the shard as JSON, in bytes.
    pub fn estimated_size(&self) -> usize {
        self.0.values().map(MachineRecord::estimated_size).sum()
    }

    /// Whether one more machine fits in a value of at most `max_value_bytes`. An empty
    /// shard takes any machine.
    pub fn has_room(&self, record: &MachineRecord, max_value_bytes: usize) -> bool {
        self.0.is_empty()
            || self.estimated_size() + record.estimated_size() <= max_shard_bytes(max_value_bytes)
    }

    /// Whether it is too large to be written where a value holds at most `max_value_bytes`.
    /// An earlier version may have written it under a higher limit.
    pub fn is_oversize(&self, max_value_bytes: usize) -> bool {
        self.0.len() > 1 && self.estimated_size() > max_shard_bytes(max_value_bytes)
    }

    /// Splits it into parts that each fit in a value of at most `max_value_bytes`. There is
    /// always at least one.
    pub fn split(self, max_value_bytes: usize) -> Vec<ShardRecord> {
        let mut parts = vec![ShardRecord::default()];
        for (id, record) in self.0 {
            let last = parts.len() - 1;
            if parts[last].has_room(&record, max_value_bytes) {
                parts[last].0.insert(id, record);
            } else {
                parts.push(ShardRecord(BTreeMap::from([(id, record)])));
            }
        }
        parts
    }
}

/// The compare-and-swap that writes a shard of a partition in parts: the first in place of
/// the shard that was read at `revision`, the others under free shard numbers.
pub fn write_parts(
    partition: PartitionId,
    (shard, revision): (u32, Revision),
    parts: Vec<ShardRecord>,
    free_shards: impl Iterator<Item = u32>,
) -> (Vec<Compare>, Vec<Mutation>) {
    let new_shards = free_shards.map(|number| (number, Revision(0)));
    let shards = std::iter::once((shard, revision)).chain(new_shards);
    let write = |((number, revision), part)| {
        let key = keys::shard(partition, number);
        (
            Compare::new(key.clone(), revision),
            Mutation::put(key, &part),
        )
    };
    shards.zip(parts).map(write).unzip()
}

/// The size of a shard, in bytes, beyond which it is split.
fn max_shard_bytes(max_value_bytes: usize) -> usize {
    PREFERRED_SHARD_BYTES.min(max_value_bytes - max_value_bytes / RESERVED_DIVISOR)
}
