//! Release of machines to the cloud: the decision which machines to release, and the requests.

use super::instance_list::InstanceList;
use super::{FleetSnapshot, PARTITION_STATE_MAX_AGE};
use crate::clock::Micros;
use crate::cloud::{CloudMachine, CloudRequest, InstanceState};
use crate::ids::{MachineId, PartitionId};
use crate::partitions::ReleaseReason;
use crate::store::Versioned;
use crate::watch_cache::WatchCache;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Maximum number of machines released by one request.
const MAX_MACHINES_PER_REQUEST: usize = 100;

/// Delay before a release that the cloud did not confirm is requested again.
const RETRY_INTERVAL: Micros = Micros::from_millis(1_000);

/// Usual boot time of an instance whose type is unknown, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;

/// Multiple of the usual boot time after which a booting instance is released, with
/// `BOOT_TIMEOUT_MARGIN_S` added.
const BOOT_TIMEOUT_FACTOR: f64 = 2.5;

/// Time added to the multiple of the usual boot time, in seconds.
const BOOT_TIMEOUT_MARGIN_S: f64 = 10.0;

/// Reason for which a machine is released.
#[derive(Debug, Clone, Copy)]
enum ReleaseCause {
    /// The machine was idle, and its owner has released it.
    Idle,
    /// The machine's owner reports that it is silent or fails tasks. A silent machine sends no
    /// heartbeats.
    SilentOrFailing,
    /// The cloud no longer lists the machine. Most likely it was a preempted spot instance.
    NotListed,
    /// The cloud lists the machine as failed.
    Failed,
    /// The machine has not booted in time. It may never boot, and it is charged while it boots.
    BootTimeout,
}

impl fmt::Display for ReleaseCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReleaseCause::Idle => "idle",
            ReleaseCause::SilentOrFailing => "silent or failing",
            ReleaseCause::NotListed => "not listed",
            ReleaseCause::Failed => "failed",
            ReleaseCause::BootTimeout => "boot timeout",
        })
    }
}

/// The machines that each partition's owner reports for release. Only recent reports under the
/// owner's current term are included.
type ReportedMachines<'a> = BTreeMap<PartitionId, BTreeSet<&'a MachineId>>;

/// The machines that are being released.
#[derive(Default)]
pub(super) struct Releases {
    /// The machines, with the time at which the release of each is due to be requested, for the
    /// first time or again.
    due: BTreeMap<MachineId, Micros>,
    /// Those of the machines that their owners reported as silent or failing.
    silent_or_failing: BTreeSet<MachineId>,
    /// Machines of the request in flight. Empty if no request is in flight.
    in_flight: Vec<MachineId>,
}

impl Releases {
    /// Returns whether a machine is being released.
    pub(super) fn contains(&self, id: &MachineId) -> bool {
        self.due.contains_key(id)
    }

    /// Adds the machines that have to be released, and removes those that have recovered.
    pub(super) fn scan(
        &mut self,
        now: Micros,
        fleet: &FleetSnapshot<'_>,
        instances: &InstanceList,
    ) {
        let reported = reported_machines(now, fleet);
        self.withdraw_recovered(fleet.cache, &reported);
        self.add_recorded(now, fleet.cache, &reported, instances);
        for id in instances.lost() {
            // The machine stays recorded until its release is confirmed: only that reply shows
            // that nothing runs on it any more.
            if fleet.cache.machine(id).is_some() {
                self.add(now, id, ReleaseCause::NotListed, instances);
            }
        }
        for instance in instances.iter() {
            if let Some(cause) = listed_cause(fleet, instance) {
                self.add(now, &instance.id, cause, instances);
            }
        }
    }

    /// Adds the recorded machines that their owners have released or report as silent or failing.
    fn add_recorded(
        &mut self,
        now: Micros,
        cache: &WatchCache,
        reported: &ReportedMachines<'_>,
        instances: &InstanceList,
    ) {
        for (partition, id, machine) in cache.all_machines() {
            if machine.release_reason == Some(ReleaseReason::Return) {
                self.add(now, id, ReleaseCause::Idle, instances);
            }
            let is_reported = reported
                .get(&partition)
                .is_some_and(|machines| machines.contains(id));
            // A booting machine is not expected to send heartbeats yet.
            let is_booting = instances
                .get(id)
                .is_some_and(|instance| instance.state == InstanceState::Booting);
            if is_reported && !is_booting {
                self.add(now, id, ReleaseCause::SilentOrFailing, instances);
                self.silent_or_failing.insert(id.clone());
            }
        }
    }

    fn add(&mut self, now: Micros, id: &MachineId, reason: ReleaseCause, instances: &InstanceList) {
        if !self.contains(id) && !instances.is_released(id) {
            tracing::info!(machine = %id, %reason, "machine released");
            self.due.insert(id.clone(), now);
        }
    }

    /// Removes the machines that their owners no longer report as silent or failing, unless a
    /// request for their release is in flight. Guards against the release of machines that
    /// recovered while the cloud was unreachable: hundreds of machines that had hung or been
    /// isolated were due for release although they worked again.
    fn withdraw_recovered(&mut self, cache: &WatchCache, reported: &ReportedMachines<'_>) {
        let (due, in_flight) = (&mut self.due, &self.in_flight);
        self.silent_or_failing.retain(|id| {
            let is_waiting = due.contains_key(id) && !in_flight.contains(id);
            let has_recovered = cache
                .machine(id)
                .and_then(|((partition, _), _)| reported.get(&partition))
                .is_some_and(|machines| !machines.contains(id));
            if is_waiting && has_recovered {
                tracing::info!(machine = %id, "machine release withdrawn");
                due.remove(id);
            }
            due.contains_key(id)
        });
    }

    /// Returns the request that releases the machines that are due, or `None` if no machine is due
    /// or a request is in flight.
    pub(super) fn next_request(&mut self, now: Micros) -> Option<CloudRequest> {
        if !self.in_flight.is_empty() {
            return None;
        }
        let due = self.due.iter().filter(|(_, due_at)| now >= **due_at);
        let machines = due.map(|(id, _)| id.clone());
        self.in_flight = machines.take(MAX_MACHINES_PER_REQUEST).collect();
        (!self.in_flight.is_empty()).then(|| CloudRequest::Release(self.in_flight.clone()))
    }

    /// Handles the reply to a request. `is_released` is whether the cloud confirmed the release;
    /// otherwise, the machines are requested again.
    pub(super) fn handle_reply(&mut self, now: Micros, machines: &[MachineId], is_released: bool) {
        self.in_flight.clear();
        for id in machines {
            if is_released {
                self.due.remove(id);
            } else if let Some(due_at) = self.due.get_mut(id) {
                *due_at = now + RETRY_INTERVAL;
            }
        }
    }
}

fn reported_machines<'a>(now: Micros, fleet: &FleetSnapshot<'a>) -> ReportedMachines<'a> {
    let owners = &fleet.cache.partition_owners;
    let is_current = |partition, term| {
        owners
            .get(partition)
            .is_some_and(|Versioned { record: owner, .. }| owner.term == term)
    };
    let states = fleet.partition_states.iter();
    let recent = states.filter(|(partition, state)| {
        now.since(state.received_at) < PARTITION_STATE_MAX_AGE && is_current(partition, state.term)
    });
    recent
        .map(|(partition, state)| (*partition, state.releasable_machines.iter().collect()))
        .collect()
}

/// Returns the reason to release an instance that its listed state gives, or `None`.
fn listed_cause(fleet: &FleetSnapshot<'_>, instance: &CloudMachine) -> Option<ReleaseCause> {
    match instance.state {
        InstanceState::Failed => Some(ReleaseCause::Failed),
        InstanceState::Booting => {
            let machine_type = fleet.machine_type(&instance.machine_type);
            let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
            let timeout_s = boot_s * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_MARGIN_S;
            (instance.age_s > timeout_s).then_some(ReleaseCause::BootTimeout)
        }
        InstanceState::Running => None,
    }
}
