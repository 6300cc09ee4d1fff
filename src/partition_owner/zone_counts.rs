//! This owner's observations of the zones: how many of its machines in each zone have been up,
//! and how many of these are silent.
//!
//! An owner that may itself be isolated or late reports no observations.

use super::OwnedPartition;
use super::machine_health::MIN_SILENCE;
use crate::clock::Micros;
use crate::ids::ZoneId;
use crate::jobs::Job;
use crate::workers::Machine;
use crate::zones::{ZoneEvacuation, ZoneFailoverConfig};
use std::collections::{BTreeMap, BTreeSet};
use zone_failover::health::{Condition, ZoneObservation, ZoneState};

/// An owner's counts for one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct MachineCounts {
    /// Machines that have been up and are not being released.
    pub machines: u32,
    /// Machines among `machines` that are silent.
    pub silent: u32,
    /// Silent machines and displaced tasks that wait for a later wave of evacuation.
    pub waiting: u32,
}

impl MachineCounts {
    fn is_down(&self, config: &ZoneFailoverConfig) -> bool {
        let observation = ZoneObservation {
            machines: self.machines,
            silent: self.silent,
            ..ZoneObservation::default()
        };
        observation.condition(&config.settings.health) == Condition::Down
    }
}

impl OwnedPartition {
    /// Returns whether a machine's zone is lost. Machines that are booting there may never come
    /// up.
    pub(super) fn is_in_lost_zone(&self, machine: &Machine) -> bool {
        let evacuation = self.zone_evacuation.as_ref();
        let state = |evacuation: &ZoneEvacuation| evacuation.situation.state(&machine.spec.zone);
        evacuation.map(state) == Some(ZoneState::Lost)
    }

    /// Returns the number of waiting tasks that may run only in a lost zone.
    pub(super) fn tasks_bound_to_lost_zones(&self) -> u32 {
        let Some(evacuation) = &self.zone_evacuation else {
            return 0;
        };
        let is_lost = |zone: &String| evacuation.situation.state(zone) == ZoneState::Lost;
        let is_bound =
            |job: &&Job| job.wants_machines() && job.desc.zone.as_ref().is_some_and(is_lost);
        let bound = self.jobs.values().filter(is_bound);
        bound.map(|job| job.waiting().len()).sum()
    }

    /// Returns whether silence of machines is evidence about their zones. Silence is no evidence
    /// shortly after the grant or after a late tick of this controller, nor while no machine
    /// sends heartbeats: the fault may then be on this controller's side.
    fn may_judge_zones(&self, now: Micros) -> bool {
        let on_time_since = self.liveness.on_time_since().max(self.granted_at());
        let is_on_time = now.since(on_time_since) > self.max_contact_gap();
        let is_in_contact = self.liveness.since_last_heartbeat(now) < MIN_SILENCE;
        is_on_time && (is_in_contact || self.machines.is_empty())
    }

    /// Returns the counts of each zone. Empty if zone failover is disabled, or if this
    /// controller may be isolated.
    pub fn zone_counts(&self, now: Micros) -> BTreeMap<ZoneId, MachineCounts> {
        let mut counts: BTreeMap<ZoneId, MachineCounts> = BTreeMap::new();
        if !self.may_judge_zones(now) {
            return counts;
        }
        let Some(evacuation) = &self.zone_evacuation else {
            return counts;
        };
        for zone in evacuation.situation.lost().into_keys() {
            let waiting = evacuation.tasks_held_back(&zone, &self.jobs);
            counts.entry(zone).or_default().waiting = waiting;
        }
        for (id, machine) in &self.machines {
            let has_been_up = machine.last_contact_at().is_some() || machine.is_unconfirmed();
            if !has_been_up || !machine.is_active() {
                continue;
            }
            let zone = ZoneId::from(machine.spec.zone.as_str());
            let is_silent = self.is_silent(now, machine);
            let is_held_back = is_silent && evacuation.is_held_back(&zone, id);
            let of_zone = counts.entry(zone).or_default();
            of_zone.machines += 1;
            of_zone.silent += u32::from(is_silent);
            of_zone.waiting += u32::from(is_held_back);
        }
        counts
    }

    /// Returns the zones that are down by this owner's counts. Empty if all counted zones are
    /// down, since then this controller may be at fault.
    pub(super) fn down_zones(&self, now: Micros) -> BTreeSet<ZoneId> {
        let Some(evacuation) = &self.zone_evacuation else {
            return BTreeSet::new();
        };
        let counts = self.zone_counts(now);
        let down: BTreeSet<ZoneId> = counts
            .iter()
            .filter(|(_, counts)| counts.is_down(&evacuation.config))
            .map(|(zone, _)| zone.clone())
            .collect();
        if down.len() < counts.len() {
            down
        } else {
            BTreeSet::new()
        }
    }
}
