//! Zone failover, where it is on: what is seen of the zones, what the leader commits, and
//! what the held partitions are told.

use super::health::SILENT_PEER;
use super::*;
use crate::ids::ZoneId;
use zone_failover::evidence::ZoneCounts;

impl Core {
    /// Takes in what was read of the zones, and tells the held partitions.
    pub(super) fn sync_zones(&mut self, now: Micros) {
        let Some(zones) = &mut self.zones else {
            return;
        };
        zones.tick(now, &self.cache);
        for h in self.held.values_mut() {
            h.update_zones(now, &zones.config, zones.situation());
        }
    }

    /// The leader decides on the zones' states and commits them.
    pub(super) fn lead_zones(&mut self, now: Micros, wall_clock: Micros, out: &mut Vec<Effect>) {
        let leading = self.leading();
        let Some(zones) = &mut self.zones else {
            return;
        };
        let Some(leader) = leading else {
            zones.follow(now);
            return;
        };
        let Some((compares, mutations)) = zones.lead(now, wall_clock, &leader) else {
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

    /// What this controller sees of the zones, for itself and for its peers.
    pub(super) fn zone_evidence(&mut self, now: Micros) -> Option<Effect> {
        self.zones.as_ref()?;
        let counts = self.zone_counts(now);
        let incarnation = self.member.incarnation().unwrap_or_default();
        let zones = self.zones.as_mut()?;
        let evidence = zones.evidence(now, incarnation, counts);
        Some(Effect::Mesh(Message::ZoneEvidence(evidence)))
    }

    fn zone_counts(&self, now: Micros) -> Vec<ZoneCounts> {
        // Guards against taking our own isolation for the loss of all zones but ours.
        if now < self.partitioned_until || self.isolated(now) || !self.store_ok(now) {
            return Vec::new();
        }
        let mut machines: BTreeMap<ZoneId, partition_owner::MachineCounts> = BTreeMap::new();
        for (zone, counts) in self.held.values().flat_map(|h| h.zone_counts(now)) {
            let sum = machines.entry(zone).or_default();
            sum.machines += counts.machines;
            sum.silent += counts.silent;
            sum.waiting += counts.waiting;
        }
        let peers = self.peers_by_zone(now);
        let zones: BTreeSet<&ZoneId> = machines.keys().chain(peers.keys()).collect();
        zones
            .into_iter()
            .map(|zone| {
                let machines = machines.get(zone).copied().unwrap_or_default();
                let (peers, silent_peers) = peers.get(zone).copied().unwrap_or_default();
                ZoneCounts {
                    zone: zone.clone(),
                    machines: machines.machines,
                    silent: machines.silent,
                    peers,
                    silent_peers,
                    waiting: machines.waiting,
                }
            })
            .collect()
    }

    /// The other controllers that take part, and those of them that are silent, by zone.
    fn peers_by_zone(&self, now: Micros) -> BTreeMap<ZoneId, (u32, u32)> {
        let mut by_zone: BTreeMap<ZoneId, (u32, u32)> = BTreeMap::new();
        for seed in &self.settings.seeds {
            let Some(zone) = &seed.zone else {
                continue;
            };
            if !self.cache.members.contains_key(&seed.label) {
                continue;
            }
            let heard = self.peers.get(&seed.label);
            let silent = heard.is_none_or(|(at, _)| now.since(*at) > SILENT_PEER);
            let of_zone = by_zone.entry(zone.clone()).or_default();
            of_zone.0 += 1;
            of_zone.1 += u32::from(silent);
        }
        by_zone
    }

    /// Machines that are about to be rented in a lost zone, to see whether it is back.
    pub(super) fn note_probes(&mut self, now: Micros, effects: &[autoscaler::Effect]) {
        let Some(zones) = &mut self.zones else {
            return;
        };
        for effect in effects {
            if let autoscaler::Effect::CompareAndSwap {
                write: autoscaler::Write::RecordScaleOut { record, .. },
                ..
            } = effect
            {
                zones.probed(now, &record.zone);
            }
        }
    }
}
