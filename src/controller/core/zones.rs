//! Connects the zone failover subsystem to the core, if the subsystem is enabled. Sends this
//! controller's evidence on the zones, commits the zones' states on the leader, and passes the
//! states to the owned partitions.
//!
//! This module holds no state; the subsystem does. While this controller may itself be isolated,
//! its evidence contains no counts for any zone.

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

/// Counts of the peers in a zone.
#[derive(Debug, Default, Clone, Copy)]
struct PeerCounts {
    /// Number of members other than this controller.
    peers: u32,
    /// Number of those that have sent no gossip within the peer timeout.
    silent_peers: u32,
}

impl Core {
    /// Updates the zones' states from the cache if an update is due, and passes the states to the
    /// owned partitions.
    pub(super) fn sync_zones(&mut self, now: Micros) {
        let Some(zones) = &mut self.zones else {
            return;
        };
        zones.refresh_if_due(now, self.store.cache());
        for partition in self.partitions.values_mut() {
            partition.update_zones(now, &zones.config, zones.situation());
        }
    }

    /// Decides on the zones' states and commits them, if this controller leads.
    pub(super) fn commit_zone_states(
        &mut self,
        now: Micros,
        wall_clock: Micros,
        out: &mut Vec<Effect>,
    ) {
        let leadership = self.leader_compare();
        let Some(zones) = &mut self.zones else {
            return;
        };
        let Some(leadership) = leadership else {
            zones.stop_leading(now);
            return;
        };
        let Some((compares, mutations)) = zones.decide(now, wall_clock, &leadership) else {
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

    /// Handles the reply to a commit of the zones' states.
    pub(super) fn handle_zones_reply(&mut self, now: Micros, reply: &Reply) {
        if let Some(zones) = &mut self.zones {
            zones.handle_commit_reply(now, reply);
        }
    }

    /// Records this controller's evidence on the zones and returns the message that sends it to
    /// the peers; `None` if zone failover is disabled.
    pub(super) fn zone_evidence(&mut self, now: Micros) -> Option<Effect> {
        self.zones.as_ref()?;
        let counts = self.zone_counts(now);
        let incarnation = self.membership.incarnation().unwrap_or_default();
        let zones = self.zones.as_mut()?;
        let evidence = zones.evidence(now, incarnation, counts);
        Some(Effect::SendToPeers(Message::ZoneEvidence(evidence)))
    }

    fn zone_counts(&self, now: Micros) -> Vec<ZoneCounts> {
        // The isolation of this controller looks like the loss of all zones but its own, so an
        // isolated controller reports no counts.
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

    /// Counts the machines of the owned partitions by zone.
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

    /// Counts the other members, and the silent ones among them, by zone.
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

    /// Records scale-outs that are about to begin, with their zones. A scale-out in a lost zone is
    /// a probe of whether the zone has recovered.
    pub(super) fn record_zone_probes(&mut self, now: Micros, effects: &[autoscaler::Effect]) {
        let Some(zones) = &mut self.zones else {
            return;
        };
        for effect in effects {
            if let autoscaler::Effect::CompareAndSwap {
                write: autoscaler::Write::RecordScaleOut { record, .. },
                ..
            } = effect
            {
                zones.record_probe(now, &record.zone);
            }
        }
    }
}
