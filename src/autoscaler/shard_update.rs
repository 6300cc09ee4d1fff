//! One write of machine shards, composed in steps: scaled-out machines are recorded, released
//! ones are removed, unrecorded ones are adopted, and moved ones are recorded in their new
//! partition.
//!
//! A write contains as many changes as fit in a transaction. The other changes follow in later
//! writes. A crash between two writes loses no machine: the record of a scale-out is deleted only
//! by the write that records its last machine, and until then the next leader repeats the
//! scale-out.

use super::instance_list::InstanceList;
use super::partition_balancer::PartitionBalancer;
use super::releases::Releases;
use super::scale_outs::ScaleOuts;
use super::shard_transaction::ShardTransaction;
use super::shard_writes::WriteLimits;
use super::{Effect, FleetSnapshot, Write};
use crate::ids::{MachineId, PartitionId};
use crate::leader::{TermAllocation, allocate_terms};
use crate::partitions::{MachineRecord, ReleaseReason};
use crate::store::{Compare, Mutation, keys};
use crate::watch_cache::WatchCache;
use std::collections::BTreeSet;

/// A write of shards that is being composed.
pub(super) struct ShardUpdate<'a> {
    cache: &'a WatchCache,
    leader: &'a Compare,
    shards: ShardTransaction<'a>,
    balancer: PartitionBalancer<'a>,
    /// Partition for machines that belong to no known partition.
    fallback_partition: PartitionId,
    completed_scale_outs: Vec<String>,
    /// Allocation of the next term.
    next_term: TermAllocation,
    /// Whether a moved machine is recorded under the next term.
    is_term_used: bool,
}

impl<'a> ShardUpdate<'a> {
    /// Creates an update without changes. Returns `None` if no partition has an owner record.
    pub(super) fn new(fleet: &FleetSnapshot<'a>, limits: WriteLimits) -> Option<Self> {
        let fallback_partition = *fleet.cache.partition_owners.keys().next()?;
        Some(ShardUpdate {
            cache: fleet.cache,
            leader: fleet.leader,
            shards: ShardTransaction::new(fleet.cache, limits),
            balancer: PartitionBalancer::new(fleet),
            fallback_partition,
            completed_scale_outs: Vec::new(),
            next_term: allocate_terms(fleet.cache, 1),
            is_term_used: false,
        })
    }

    /// Returns the number of mutations other than those of shards: one deletion for the record of
    /// each completed scale-out.
    fn other_mutations(&self) -> usize {
        self.completed_scale_outs.len()
    }

    /// Records scaled-out machines in the partitions that they were requested for.
    pub(super) fn add_scaled_out(&mut self, scale_outs: &ScaleOuts) {
        for scale_out in scale_outs.completed() {
            // The deletion of this scale-out's record is one more mutation.
            let other_mutations = self.other_mutations() + 1;
            if self.shards.is_full(other_mutations) {
                break;
            }
            let record = scale_out.record;
            let has_partition = self.cache.partition_owners.contains_key(&record.partition);
            let partition = if has_partition {
                record.partition
            } else {
                self.fallback_partition
            };
            let (machine_type, zone) = (&record.machine_type, &record.zone);
            let blank = MachineRecord::blank(String::new(), machine_type, zone, record.spot);
            let mut unrecorded = scale_out
                .machines
                .iter()
                .filter(|id| self.cache.machine(id).is_none());
            let shards = &mut self.shards;
            if unrecorded.all(|id| shards.insert(partition, id, blank.clone(), other_mutations)) {
                self.completed_scale_outs.push(scale_out.name.clone());
            }
        }
    }

    /// Removes machines whose release the cloud has confirmed.
    pub(super) fn remove_released(&mut self, instances: &InstanceList) {
        let other_mutations = self.other_mutations();
        for id in instances.released() {
            if let Some((shard, _)) = self.cache.machine(id) {
                self.shards.remove(shard, id, other_mutations);
            }
        }
    }

    /// Adopts unrecorded machines that belong to no known scale-out. They result from a scale-out
    /// that was carried out late, or have existed from the start.
    pub(super) fn adopt(
        &mut self,
        unrecorded: &BTreeSet<MachineId>,
        instances: &InstanceList,
        releases: &Releases,
    ) {
        let other_mutations = self.other_mutations();
        for id in unrecorded {
            let Some(instance) = instances.get(id) else {
                continue;
            };
            let is_recorded = self.cache.machine(id).is_some();
            if is_recorded || instances.is_released(id) || releases.contains(id) {
                continue;
            }
            let (machine_type, zone) = (&instance.machine_type, &instance.zone);
            let partition = self.assign(machine_type, zone, instance.spot, self.fallback_partition);
            let addr = instance.addr.clone().unwrap_or_default();
            let machine = MachineRecord::blank(addr, machine_type, zone, instance.spot);
            if !self.shards.insert(partition, id, machine, other_mutations) {
                break;
            }
            tracing::debug!(machine = %id, %partition, "machine adopted");
        }
    }

    /// Moves machines that their owners released for other partitions. A machine moves to the
    /// partition that lacks it most, which may be its own.
    pub(super) fn move_machines(&mut self, moves: &BTreeSet<MachineId>, releases: &Releases) {
        let other_mutations = self.other_mutations();
        for id in moves {
            let Some((shard, machine)) = self.cache.machine(id) else {
                continue;
            };
            if machine.release_reason != Some(ReleaseReason::Move) || releases.contains(id) {
                continue;
            }
            let from = shard.0;
            let to = self.assign(&machine.machine_type, &machine.zone, machine.spot, from);
            let mut machine = machine.clone();
            machine.release_reason = None;
            // This term is higher than any that an owner of the machine has used.
            machine.term = self.next_term.first;
            // A move changes up to two shards, in addition to the term record.
            if self.shards.is_full(other_mutations + 3)
                || !self.shards.remove(shard, id, other_mutations + 2)
            {
                break;
            }
            self.shards.insert(to, id, machine, other_mutations + 1);
            self.is_term_used = true;
            tracing::info!(machine = %id, %from, partition = %to, "machine moved");
        }
    }

    /// Returns the partition that a machine is assigned to, or `fallback` if its type is unknown.
    fn assign(
        &mut self,
        machine_type: &str,
        zone: &str,
        spot: bool,
        fallback: PartitionId,
    ) -> PartitionId {
        let partition = self.balancer.assign(machine_type, zone, spot);
        partition.unwrap_or(fallback)
    }

    /// Returns the write, or `None` if it would change nothing.
    pub(super) fn into_effect(self) -> Option<Effect> {
        let mut compares = vec![self.leader.clone(), self.next_term.compare];
        let mut mutations: Vec<Mutation> = self
            .completed_scale_outs
            .iter()
            .map(|name| Mutation::delete(keys::scale_out(name)))
            .collect();
        for (shard, machines) in self.shards.into_shards() {
            let key = keys::shard(shard.0, shard.1);
            compares.push(Compare::new(key.clone(), self.cache.shard_revision(shard)));
            mutations.push(Mutation::put(key, &machines));
        }
        if mutations.is_empty() {
            return None;
        }
        if self.is_term_used {
            mutations.push(self.next_term.mutation);
        }
        Some(Effect::CompareAndSwap {
            write: Write::RecordMachines {
                completed_scale_outs: self.completed_scale_outs,
            },
            compares,
            mutations,
        })
    }
}
