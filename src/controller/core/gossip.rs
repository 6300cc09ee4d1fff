//! Gossip to the peers: that this controller is alive, and the state of its partitions.
//!
//! It owns the capacity requests that were computed for the last gossip. Gossip grants no
//! authority: peers only use it to decide sooner.

use super::Core;
use super::effects::partition_effect;
use crate::clock::Micros;
use crate::controller::messages::Effect;
use crate::ids::PartitionId;
use crate::mesh::{Message, PartitionState, PeerState};
use crate::partition_owner::OwnedPartition;
use crate::placement::CapacityRequest;
use std::collections::BTreeMap;

/// Interval between two gossip messages of this controller.
const GOSSIP_INTERVAL: Micros = Micros::from_millis(700);
/// Time after their receipt for which the capacity requests of another partition are used.
const CAPACITY_REQUEST_VALIDITY: Micros = Micros::from_millis(3_000);

/// Time of the last gossip, and the capacity requests that it contained.
#[derive(Debug, Default)]
pub(super) struct Gossip {
    last_sent_at: Micros,
    capacity_requests: BTreeMap<PartitionId, Vec<CapacityRequest>>,
}

impl Gossip {
    /// Returns whether gossip is due. If so, the next is due one interval later.
    fn begin_if_due(&mut self, now: Micros) -> bool {
        let is_due = now.since(self.last_sent_at) >= GOSSIP_INTERVAL;
        if is_due {
            self.last_sent_at = now;
        }
        is_due
    }

    fn capacity_requests(&self, partition: PartitionId) -> &[CapacityRequest] {
        let requests = self.capacity_requests.get(&partition);
        requests.map(Vec::as_slice).unwrap_or_default()
    }
}

impl Core {
    /// Sends gossip without any partition state if it is due, so that the peers know that this
    /// controller is alive. Without this gossip, all controllers would stop acting in a store
    /// outage, consider themselves isolated, and become unhealthy. Users would then not even
    /// receive a refusal.
    pub(super) fn gossip_liveness(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.gossip.begin_if_due(now) {
            out.push(self.peer_state(now, Vec::new()));
        }
    }

    /// Sends the state of this controller and its partitions to the peers if it is due. Also
    /// releases idle machines according to the capacity that other partitions lack, and
    /// publishes the teams' usage.
    pub(super) fn gossip(&mut self, now: Micros, wall_clock: Micros, out: &mut Vec<Effect>) {
        if !self.gossip.begin_if_due(now) {
            return;
        }
        self.update_capacity_requests(now, wall_clock);
        let partitions = self.own_partition_states(now);
        self.cordon_releasable_machines(&partitions);
        out.push(self.peer_state(now, partitions));
        out.extend(self.zone_evidence(now));
        self.release_idle_machines(now, out);
        self.publish_team_usage_if_due(now, out);
    }

    fn update_capacity_requests(&mut self, now: Micros, wall_clock: Micros) {
        let fleet = self.machine_types.fleet_capacity();
        let requests = self.partitions.values().map(|partition| {
            let requests = partition.capacity_requests(now, wall_clock, fleet);
            (partition.id(), requests)
        });
        self.gossip.capacity_requests = requests.collect();
    }

    fn cordon_releasable_machines(&mut self, states: &[PartitionState]) {
        let releasable = states
            .iter()
            .filter(|state| !state.releasable_machines.is_empty());
        for state in releasable {
            if let Some(partition) = self.partitions.get_mut(state.partition) {
                partition.cordon(&state.releasable_machines);
            }
        }
    }

    fn release_idle_machines(&mut self, now: Micros, out: &mut Vec<Effect>) {
        let newest = self.newest_partition_states(now);
        let send_before = self.may_act_until();
        for partition in self.partitions.values_mut() {
            let id = partition.id();
            let own = self.gossip.capacity_requests(id);
            let others = capacity_requests_of_others(now, id, &newest);
            let cache = self.store.cache();
            if let Some(effect) = partition.release_idle_machines(now, cache, own, &others) {
                out.push(partition_effect(id, partition.term(), send_before, effect));
            }
        }
    }

    /// Returns the newest known state of every partition, including the owned partitions.
    pub(super) fn newest_partition_states(
        &self,
        now: Micros,
    ) -> BTreeMap<PartitionId, PartitionState> {
        self.peers
            .newest_partition_states(self.own_partition_states(now))
    }

    fn own_partition_states(&self, now: Micros) -> Vec<PartitionState> {
        let state = |partition: &OwnedPartition| PartitionState {
            received_at: now,
            partition: partition.id(),
            term: partition.term(),
            capacity_requests: self.gossip.capacity_requests(partition.id()).to_vec(),
            releasable_machines: partition.releasable_machines(now),
        };
        self.partitions.values().map(state).collect()
    }

    fn peer_state(&self, now: Micros, partitions: Vec<PartitionState>) -> Effect {
        Effect::SendToPeers(Message::PeerState(PeerState {
            sender: self.configuration.settings.label.clone(),
            incarnation: self.membership.incarnation().unwrap_or_default(),
            store_reachable: self.store.is_fresh(now),
            workers_reachable: self.rebalancing.are_workers_reachable(now),
            partitions,
        }))
    }
}

/// Returns the valid capacity requests of all partitions other than `partition`.
fn capacity_requests_of_others(
    now: Micros,
    partition: PartitionId,
    states: &BTreeMap<PartitionId, PartitionState>,
) -> Vec<CapacityRequest> {
    let is_valid =
        |state: &&PartitionState| now.since(state.received_at) < CAPACITY_REQUEST_VALIDITY;
    states
        .values()
        .filter(|state| state.partition != partition)
        .filter(is_valid)
        .flat_map(|state| state.capacity_requests.iter().cloned())
        .collect()
}
