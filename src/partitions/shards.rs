//! Shards: the machines of a partition, distributed over several values of the key-value store.
//!
//! This module owns the maximum size of a shard and the splitting of oversize shards. It must
//! never produce a shard of more than one machine that exceeds the store's limit on the size of a
//! value.

use super::records::MachineRecord;
use crate::ids::{MachineId, PartitionId, Revision};
use crate::store::{Compare, Mutation, keys};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Preferred maximum size of a shard, in bytes. A larger shard costs every watcher more at each
/// change than it saves.
const PREFERRED_SHARD_BYTES: usize = 8 * 1024;

/// Divisor that gives the part of a value that stays free (one eighth), since sizes are estimates.
const RESERVED_DIVISOR: usize = 8;

/// Record of a shard: some of a partition's machines, by their identifiers.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardRecord(pub BTreeMap<MachineId, MachineRecord>);

impl ShardRecord {
    /// Returns the estimated size of the shard as JSON, in bytes.
    pub fn estimated_size(&self) -> usize {
        self.0.values().map(MachineRecord::estimated_size).sum()
    }

    /// Returns whether the shard with one more machine fits in a value of at most
    /// `max_value_bytes`. An empty shard has room for any machine.
    pub fn has_room(&self, record: &MachineRecord, max_value_bytes: usize) -> bool {
        self.0.is_empty()
            || self.estimated_size() + record.estimated_size() <= max_shard_bytes(max_value_bytes)
    }

    /// Returns whether the shard is too large for a value of at most `max_value_bytes`. An earlier
    /// version may have written it under a higher limit. A shard of one machine is never oversize.
    pub fn is_oversize(&self, max_value_bytes: usize) -> bool {
        self.0.len() > 1 && self.estimated_size() > max_shard_bytes(max_value_bytes)
    }

    /// Splits the shard into parts that each fit in a value of at most `max_value_bytes`. Returns
    /// at least one part. A part with a single machine is not checked against the limit.
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

/// Returns the compares and the mutations that write a shard of a partition in parts. The first
/// part replaces the shard that was read at `revision`; the others are written under free shard
/// numbers.
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

/// Returns the size above which a shard is split, in bytes, where a value holds at most
/// `max_value_bytes`.
fn max_shard_bytes(max_value_bytes: usize) -> usize {
    PREFERRED_SHARD_BYTES.min(max_value_bytes - max_value_bytes / RESERVED_DIVISOR)
}
