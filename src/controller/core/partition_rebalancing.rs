//! Handing partitions back to the leader. All owned partitions are handed back if one of them
//! has no reachable machine. A single partition is handed back if another member owns fewer.
//!
//! It records whether this controller's workers are reachable. A partition that was handed back
//! stays owned until the store shows another grant.

use super::Core;
use super::effects::critical_write;
use super::in_flight::RequestKind;
use crate::clock::Micros;
use crate::controller::messages::{Effect, StoreOperation};
use crate::ids::Label;
use crate::partition_owner::OwnedPartition;
use crate::store::Versioned;

/// Time for which the workers count as unreachable after they were found to be unreachable.
const UNREACHABLE_DURATION: Micros = Micros::from_millis(30_000);
/// Age that the grants of all owned partitions must exceed before one is handed back for balance.
const MIN_GRANT_AGE: Micros = Micros::from_millis(5_000);
/// Minimum interval between two hand-backs for balance.
const REBALANCE_INTERVAL: Micros = Micros::from_millis(10_000);
/// Minimum difference between the numbers of partitions that this controller and another member
/// own before one is handed back.
const MIN_IMBALANCE: usize = 2;

/// Reachability of this controller's workers, and when it last handed a partition back for
/// balance.
#[derive(Debug, Default)]
pub(super) struct PartitionRebalancing {
    workers_unreachable_until: Micros,
    last_rebalanced_at: Micros,
}

impl PartitionRebalancing {
    /// Returns whether this controller's workers are reachable. They count as unreachable for
    /// [`UNREACHABLE_DURATION`] after none of a partition's machines sent heartbeats.
    pub(super) fn are_workers_reachable(&self, now: Micros) -> bool {
        now >= self.workers_unreachable_until
    }
}

impl Core {
    /// Hands back all partitions, one, or none, and repeats hand-backs without a definite reply.
    pub(super) fn rebalance_partitions(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.has_isolated_partition(now) {
            self.hand_back_all_partitions(now, out);
            return;
        }
        // A hand-back that may or may not have been carried out must be requested again until its
        // outcome is known.
        self.hand_back(now, OwnedPartition::is_being_handed_back, out);
        if self.may_hand_back_for_balance(now) {
            self.hand_back_last_partition(now, out);
        }
    }

    /// Returns whether an owned partition receives no heartbeats of its machines, while there are
    /// other members that could own it. Without this check, a partition would stay with an owner
    /// that neither its machines nor any peer can reach. The members are therefore taken from the
    /// store, not from gossip.
    fn has_isolated_partition(&self, now: Micros) -> bool {
        let has_other_members = self.store.cache().members.len() >= 2;
        let mut partitions = self.partitions.values();
        has_other_members && partitions.any(|partition| partition.is_isolated(now))
    }

    fn hand_back_all_partitions(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.rebalancing.are_workers_reachable(now) {
            tracing::info!(
                reason = "no worker reachable",
                "hand-back of all partitions requested"
            );
        }
        self.rebalancing.workers_unreachable_until = now + UNREACHABLE_DURATION;
        if self.in_flight.begin_request(now, RequestKind::HandBackAll) {
            self.hand_back(now, |_| true, out);
        }
    }

    fn may_hand_back_for_balance(&self, now: Micros) -> bool {
        let settings = &self.configuration.settings;
        let members = self.store.cache().members.keys();
        let counts = members
            .filter(|label| **label != settings.label)
            .filter(|label| self.is_member_fit(now, label) && self.peers.has_sent_state(label))
            .map(|label| self.owned_partition_count(label));
        let Some(min_count) = counts.min() else {
            return false;
        };
        self.partitions.len() >= min_count + MIN_IMBALANCE
            && self.partitions.values().all(|partition| {
                !partition.is_recovering() && now.since(partition.granted_at()) > MIN_GRANT_AGE
            })
            && now.since(self.rebalancing.last_rebalanced_at) > REBALANCE_INTERVAL
    }

    fn owned_partition_count(&self, label: &Label) -> usize {
        let cache = self.store.cache();
        cache
            .partition_owners
            .values()
            .filter(|Versioned { record, .. }| {
                record.owner == *label && cache.is_owner_alive(record)
            })
            .count()
    }

    fn hand_back_last_partition(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.rebalancing.last_rebalanced_at = now;
        if let Some(last) = self.partitions.last_id() {
            tracing::info!(
                partition = %last,
                reason = "another member owns fewer",
                "partition hand-back requested"
            );
            self.hand_back(now, |partition| partition.id() == last, out);
        }
    }

    fn hand_back(
        &mut self,
        now: Micros,
        is_affected: impl Fn(&OwnedPartition) -> bool,
        out: &mut Vec<Effect>,
    ) {
        let partitions = self.partitions.values_mut();
        for partition in partitions.filter(|partition| is_affected(partition)) {
            if let Some((compares, mutations)) = partition.hand_back(now) {
                out.push(critical_write(
                    StoreOperation::HandBackPartition {
                        partition: partition.id(),
                        term: partition.term(),
                    },
                    compares,
                    mutations,
                ));
            }
        }
    }
}
