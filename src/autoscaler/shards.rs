//! Where machines are recorded: which partition gets one, and in which shard.

use crate::cloud::MachineType;
use crate::ids::{MachineId, PartitionId};
use crate::mesh::PartitionState;
use crate::partitions::{MachineRecord, ShardRecord};
use crate::store::TXN_BYTES;
use crate::watch_cache::WatchCache;
use std::collections::BTreeMap;

/// The shards that one transaction changes, within what it may hold.
pub struct ShardTransaction<'a> {
    cache: &'a WatchCache,
    value_bytes: usize,
    txn_ops: usize,
    pub shards: BTreeMap<(PartitionId, u32), ShardRecord>,
}

impl<'a> ShardTransaction<'a> {
    pub fn new(cache: &'a WatchCache, value_bytes: usize, txn_ops: usize) -> Self {
        ShardTransaction {
            cache,
            value_bytes,
            txn_ops,
            shards: BTreeMap::new(),
        }
    }

    /// Whether no further shard can be changed beside `others` other changes.
    pub fn full(&self, others: usize) -> bool {
        let bytes: usize = self.shards.values().map(ShardRecord::estimated_size).sum();
        // One change is kept for the term.
        self.shards.len() + others + 1 >= self.txn_ops || bytes > TXN_BYTES
    }

    fn shard(&mut self, at: (PartitionId, u32), others: usize) -> Option<&mut ShardRecord> {
        if !self.shards.contains_key(&at) {
            let old = self.cache.machine_shards.get(&at);
            // One that is too large to be written is split first, in a write of its own.
            let oversize = old.is_some_and(|(_, rec)| rec.is_oversize(self.value_bytes));
            if oversize || self.full(others) {
                return None;
            }
            self.shards.insert(
                at,
                old.map_or_else(Default::default, |(_, r)| (**r).clone()),
            );
        }
        self.shards.get_mut(&at)
    }

    /// Into the first shard of the partition with room, or a new one.
    pub fn insert(
        &mut self,
        b: PartitionId,
        id: &MachineId,
        rec: MachineRecord,
        others: usize,
    ) -> bool {
        let mut n = 0;
        loop {
            let at = (b, n);
            let now = self
                .shards
                .get(&at)
                .or_else(|| self.cache.machine_shards.get(&at).map(|(_, r)| &**r));
            if now.is_none_or(|r| r.has_room(&rec, self.value_bytes)) {
                let Some(shard) = self.shard(at, others) else {
                    return false;
                };
                shard.0.insert(id.clone(), rec);
                return true;
            }
            n += 1;
        }
    }

    pub fn remove(&mut self, at: (PartitionId, u32), id: &MachineId, others: usize) -> bool {
        let shard = self.shard(at, others);
        shard.is_some_and(|s| s.0.remove(id).is_some())
    }
}

/// Spreads machines over the partitions: to the one that lacks such a machine most, by
/// what its owner reports and what it got just now, or to the one with the least.
pub struct PartitionBalancer<'a> {
    news: &'a BTreeMap<PartitionId, PartitionState>,
    types: &'a [MachineType],
    cores: BTreeMap<PartitionId, f64>,
    given: BTreeMap<PartitionId, f64>,
}

impl<'a> PartitionBalancer<'a> {
    pub fn new(
        cache: &WatchCache,
        news: &'a BTreeMap<PartitionId, PartitionState>,
        types: &'a [MachineType],
        partitions: &[PartitionId],
    ) -> Self {
        let mut cores: BTreeMap<PartitionId, f64> = partitions.iter().map(|b| (*b, 0.0)).collect();
        for (b, _, m) in cache.all_machines() {
            if let (Some(sum), Some(t)) = (
                cores.get_mut(&b),
                types.iter().find(|t| t.name == m.machine_type),
            ) {
                *sum += t.cores;
            }
        }
        PartitionBalancer {
            news,
            types,
            cores,
            given: BTreeMap::new(),
        }
    }

    pub fn next(&mut self, machine_type: &str, zone: &str, spot: bool) -> Option<PartitionId> {
        let t = self.types.iter().find(|t| t.name == machine_type)?;
        let capacity = t.capacity();
        let lacking = |b: &PartitionId| {
            let needs = self
                .news
                .get(b)
                .map_or(&[][..], |n| n.capacity_requests.as_slice());
            let fitting = needs
                .iter()
                .filter(|n| n.fits(machine_type, zone, spot, &capacity));
            let cores: f64 = fitting.map(|n| n.request.cores * f64::from(n.count)).sum();
            (cores - self.given.get(b).copied().unwrap_or(0.0)).max(0.0)
        };
        let weight = |(b, cores): &(&PartitionId, &f64)| (lacking(b), -**cores);
        let to = self
            .cores
            .iter()
            .max_by(|a, b| {
                let (a, b) = (weight(a), weight(b));
                a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))
            })
            .map(|(b, _)| *b)?;
        *self.given.entry(to).or_default() += t.cores;
        *self.cores.entry(to).or_default() += t.cores;
        Some(to)
    }
}
