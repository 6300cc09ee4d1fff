//! Handing partitions back: all if no machine of theirs is reachable, one if another member
//! owns fewer.
//!
//! It owns whether this controller's workers are reachable. A partition that was handed back
//! stays owned until the store shows another grant.

use super::Core;
use super::effects::critical_write;
use super::in_flight::RequestKind;
use crate::clock::Micros;
use crate::controller::messages::{Effect, StoreOperation};
use crate::ids::Label;
use crate::partition_owner::OwnedPartition;
use crate::store::Versioned;

/// Workers that were found unreachable count as that for so long.
const UNREACHABLE_DURATION: Micros = Micros::from_millis(30_000);
/// A partition is handed back for balance only if all owned ones were granted at least this
/// long ago.
const SETTLING_TIMEOUT: Micros = Micros::from_millis(5_000);
/// Partitions are handed back for balance no faster than this.
const REBALANCE_INTERVAL: Micros = Micros::from_millis(10_000);
/// Another member must own fewer partitions by so many before one is handed back.
const MIN_IMBALANCE: usize = 2;

/// When partitions were handed back for which reason.
#[derive(Debug, Default)]
pub(super) struct PartitionRebalancing {
    workers_unreachable_until: Micros,
    last_rebalanced_at: Micros,
}

impl PartitionRebalancing {
    /// False if lately none of a partition's machines sent a heartbeat.
    pub(super) fn are_workers_reachable(&self, now: Micros) -> bool {
        now >= self.workers_unreachable_until
    }
}

impl Core {
    /// Hands back all partitions, one, or none, and repeats what has no answer yet.
    pub(super) fn rebalance_partitions(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.has_isolated_partition(now) {
            self.hand_back_all_partitions(now, out);
            return;
        }
        // What was requested without an answer must be settled one way or the other.
        self.hand_back(now, OwnedPartition::is_being_handed_back, out);
        if self.may_hand_back_for_balance(now) {
            self.hand_back_last_partition(now, out);
        }
    }

    /// Guards against a partition stuck with an owner that is reached neither by its machines
    /// nor by any peer: that others are in, the store says, too.
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
            .filter(|label| self.is_member_fit(now, label) && self.peers.is_known(label))
            .map(|label| self.owned_partition_count(label));
        let Some(min_count) = counts.min() else {
            return false;
        };
        self.partitions.len() >= min_count + MIN_IMBALANCE
            && self.partitions.values().all(|partition| {
                !partition.is_recovering() && now.since(partition.granted_at()) > SETTLING_TIMEOUT
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
