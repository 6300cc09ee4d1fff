//! The partitions that this controller owns according to the grants in the store.
//!
//! Only the grants that the cache shows decide whether a partition is acquired or lost. Replies
//! to requests of an earlier term are never passed to a partition.

use super::Core;
use crate::clock::Micros;
use crate::ids::{FencingToken, PartitionId, Term};
use crate::partition_owner::OwnedPartition;
use crate::partitions::PartitionOwnerRecord;
use crate::store::Versioned;
use std::collections::BTreeMap;

/// The owned partitions, in the order of their ids.
#[derive(Default)]
pub(super) struct OwnedPartitions {
    partitions: BTreeMap<PartitionId, OwnedPartition>,
}

impl OwnedPartitions {
    /// Returns whether no partition is owned.
    pub(super) fn is_empty(&self) -> bool {
        self.partitions.is_empty()
    }

    /// Returns the number of owned partitions.
    pub(super) fn len(&self) -> usize {
        self.partitions.len()
    }

    /// Returns the ids of the owned partitions in ascending order.
    pub(super) fn ids(&self) -> Vec<PartitionId> {
        self.partitions.keys().copied().collect()
    }

    /// Returns the highest id of the owned partitions; `None` if no partition is owned.
    pub(super) fn last_id(&self) -> Option<PartitionId> {
        self.partitions.keys().next_back().copied()
    }

    /// Returns the owned partitions in the order of their ids.
    pub(super) fn values(&self) -> impl Iterator<Item = &OwnedPartition> {
        self.partitions.values()
    }

    /// Returns the owned partitions for modification, in the order of their ids.
    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut OwnedPartition> {
        self.partitions.values_mut()
    }

    /// Returns a partition; `None` if it is not owned.
    pub(super) fn get_mut(&mut self, id: PartitionId) -> Option<&mut OwnedPartition> {
        self.partitions.get_mut(&id)
    }

    /// Returns a partition; `None` if it is not owned under the given term.
    pub(super) fn in_term(&mut self, id: PartitionId, term: Term) -> Option<&mut OwnedPartition> {
        self.get_mut(id)
            .filter(|partition| partition.term() == term)
    }

    /// Drops the partitions that are no longer granted to this controller under the same term.
    fn drop_lost(&mut self, granted: &BTreeMap<PartitionId, Term>) {
        self.partitions.retain(|id, partition| {
            let is_granted = granted.get(id) == Some(&partition.term());
            if !is_granted {
                tracing::info!(partition = %id, term = %partition.term(), "partition lost");
            }
            is_granted
        });
    }
}

impl Core {
    /// Updates the owned partitions from the grants in the cache.
    pub(super) fn update_ownership(&mut self, now: Micros) {
        let owners = self.store.cache().partition_owners.iter();
        let granted = owners
            .filter(|(_, Versioned { record, .. })| self.is_own_grant(record))
            .map(|(id, Versioned { record, .. })| (*id, record.term))
            .collect();
        self.partitions.drop_lost(&granted);
        self.acquire_granted_partitions(now);
    }

    /// Fails granted partitions over to this controller. While the machine types are unknown,
    /// the capacity of the machines is unknown too, so no partition is acquired yet.
    fn acquire_granted_partitions(&mut self, now: Micros) {
        let Some(types) = self.machine_types.types() else {
            return;
        };
        let cache = self.store.cache();
        for (id, Versioned { revision, record }) in &cache.partition_owners {
            if !self.is_own_grant(record) || self.partitions.partitions.contains_key(id) {
                continue;
            }
            let first_token = FencingToken::of(record.term, 0);
            tracing::info!(partition = %id, term = %record.term, %first_token, "partition acquired");
            let mut partition = OwnedPartition::new(
                *id,
                record,
                *revision,
                &self.configuration.settings,
                &self.configuration.policy,
                now,
            );
            partition.fail_over(now, cache, types);
            self.partitions.partitions.insert(*id, partition);
            self.dependencies.mark_out_of_sync();
        }
    }

    /// Returns whether a partition is granted to this incarnation of this controller.
    fn is_own_grant(&self, record: &PartitionOwnerRecord) -> bool {
        record.owner == self.configuration.settings.label
            && Some(record.incarnation) == self.membership.incarnation()
    }
}
