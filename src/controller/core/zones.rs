//! Zone failover, where it is on: what this controller observes of the zones, what the leader
//! commits, and what the owned partitions are given.
//!
//! It owns no state: that is in the subsystem. While this controller may itself be isolated, it
//! gives no evidence against any zone.

use super::Core;
use crate::autoscaler;
use crate::clock::Micros;
use crate::controller::messages::{Effect, StoreOperation};
use crate::ids::ZoneId;
use crate::mesh::Message;
use crate::partition_owner::MachineCounts;
use crate::store::{Reply, Request, RequestPriority};
use std::collections::{BTreeMap, BTreeSet};
use zone_failover::evidence::ZoneCounts;

/// The other members of a zone.
#[derive(Debug, Default, Clone, Copy)]
struct PeerCounts {
    peers: u32,
    silent_peers: u32,
}

impl Core {
    /// Takes in what was read of the zones, and passes it to the owned partitions.
    pub(super) fn sync_zones(&mut self, now: Micros) {
        let Some(zones) = &mut self.zones else {
            return;
        };
        zones.refresh_if_due(now, self.store.cache());
        for partition in self.partitions.values_mut() {
            partition.update_zones(now, &zones.config, zones.situation());
        }
    }

    /// The leader decides on the zones' states and commits them.
    pub(super) fn commit_zone_states(
        &mut self,
        now: Micros,
        wall_clock: Micros,
        out: &mut Vec<Effect>,
    ) {
        let leader = self.leader_compare();
        let Some(zones) = &mut self.zones else {
            return;
        };
        let Some(leader) = leader else {
            zones.stop_leading(now);
            return;
        };
        let Some((compares, mutations)) = zones.decide(now, wall_clock, &leader) else {
            return;
        };
        out.push(Effect::StoreRequest {
            operation: StoreOperation::Zones,
            request: Request::CompareAndSwap {
                compares,
                mutations,
            },
            priority: RequestPriority::Normal,
        });
    }

    /// Takes in the reply to a commit of the zones' states.
    pub(super) fn handle_zones_reply(&mut self, now: Micros, reply: &Reply) {
        if let Some(zones) = &mut self.zones {
            zones.handle_commit_reply(now, reply);
        }
    }

    /// What this controller observes of the zones, for itself and for its peers.
    pub(super) fn zone_evidence(&mut self, now: Micros) -> Option<Effect> {
        self.zones.as_ref()?;
        let counts = self.zone_counts(now);
        let incarnation = self.membership.incarnation().unwrap_or_default();
        let zones = self.zones.as_mut()?;
        let evidence = zones.evidence(now, incarnation, counts);
        Some(Effect::Mesh(Message::ZoneEvidence(evidence)))
    }

    fn zone_counts(&self, now: Micros) -> Vec<ZoneCounts> {
        // Guards against taking our own isolation for the loss of all zones but ours.
        let is_isolated =
            !self.rebalancing.are_workers_reachable(now) || self.is_isolated_from_peers(now);
        if is_isolated || !self.store.is_fresh(now) {
            return Vec::new();
        }
        let machines = self.machines_by_zone(now);
        let peers = self.peers_by_zone(now);
        let zones: BTreeSet<&ZoneId> = machines.keys().chain(peers.keys()).collect();
        zones
            .into_iter()
            .map(|zone| {
                let machines = machines.get(zone).copied().unwrap_or_default();
                let peers = peers.get(zone).copied().unwrap_or_default();
                ZoneCounts {
                    zone: zone.clone(),
                    machines: machines.machines,
                    silent: machines.silent,
                    peers: peers.peers,
                    silent_peers: peers.silent_peers,
                    waiting: machines.waiting,
                }
            })
            .collect()
    }

    /// The machines of the owned partitions, by zone.
    fn machines_by_zone(&self, now: Micros) -> BTreeMap<ZoneId, MachineCounts> {
        let mut by_zone: BTreeMap<ZoneId, MachineCounts> = BTreeMap::new();
        let partitions = self.partitions.values();
        for (zone, counts) in partitions.flat_map(|partition| partition.zone_counts(now)) {
            let total = by_zone.entry(zone).or_default();
            total.machines += counts.machines;
            total.silent += counts.silent;
            total.waiting += counts.waiting;
        }
        by_zone
    }

    /// The other controllers that take part, and those of them that are silent, by zone.
    fn peers_by_zone(&self, now: Micros) -> BTreeMap<ZoneId, PeerCounts> {
        let mut by_zone: BTreeMap<ZoneId, PeerCounts> = BTreeMap::new();
        for seed in &self.configuration.settings.seeds {
            let Some(zone) = &seed.zone else {
                continue;
            };
            if !self.store.cache().members.contains_key(&seed.label) {
                continue;
            }
            let counts = by_zone.entry(zone.clone()).or_default();
            counts.peers += 1;
            counts.silent_peers += u32::from(self.peers.is_silent(now, &seed.label));
        }
        by_zone
    }

    /// Records scale-outs that are about to begin in a lost zone, to find out whether it is
    /// back.
    pub(super) fn note_zone_probes(&mut self, now: Micros, effects: &[autoscaler::Effect]) {
        let Some(zones) = &mut self.zones else {
            return;
        };
        for effect in effects {
            if let autoscaler::Effect::CompareAndSwap(
                autoscaler::Write::ScaleOut { rental, .. },
                ..,
            ) = effect
            {
                zones.record_probe(now, &rental.zone);
            }
        }
    }
}
