//! Which machines are released to the cloud, and the requests that release them.

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

/// Machines released by one request.
const MAX_MACHINES_PER_REQUEST: usize = 100;

/// How long to wait after a request that the cloud did not confirm.
const RETRY_INTERVAL: Micros = Micros::from_millis(1_000);

/// How long an instance of an unknown type usually takes to boot, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;

/// An instance is released that takes this many times as long to boot as usual …
const BOOT_TIMEOUT_FACTOR: f64 = 2.5;

/// … and this long in addition, in seconds.
const BOOT_TIMEOUT_MARGIN_S: f64 = 10.0;

/// Why a machine is released.
#[derive(Debug, Clone, Copy)]
enum ReleaseCause {
    /// Its owner has released it, idle.
    Idle,
    /// Its owner reports that it is silent or fails tasks.
    SilentOrFailing,
    /// The cloud lists it no more: most likely it took a spot instance back.
    NotListed,
    /// The cloud lists it as failed.
    Failed,
    /// It may never come up, and is charged all the while.
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

/// The machines that each partition's owner wants released, by reports that are recent and made
/// under the owner's present term.
type ReportedMachines<'a> = BTreeMap<PartitionId, BTreeSet<&'a MachineId>>;

/// The machines that are being released.
#[derive(Default)]
pub(super) struct Releases {
    /// When each is to be requested, for the first time or again.
    due: BTreeMap<MachineId, Micros>,
    /// Of them, those that are silent or failing, as their owner reported.
    silent: BTreeSet<MachineId>,
    /// The machines of the request in flight; none: no request is.
    in_flight: Vec<MachineId>,
}

impl Releases {
    /// Whether a machine is being released.
    pub(super) fn contains(&self, id: &MachineId) -> bool {
        self.due.contains_key(id)
    }

    /// Finds the machines that are to be released, and those that no longer are.
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
            // That all on it is lost, only the reply to the release says.
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

    /// Adds recorded machines that their owners have released or report as silent or failing.
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
            // What still boots is not silent.
            let is_booting = instances
                .get(id)
                .is_some_and(|instance| instance.state == InstanceState::Booting);
            if is_reported && !is_booting {
                self.add(now, id, ReleaseCause::SilentOrFailing, instances);
                self.silent.insert(id.clone());
            }
        }
    }

    fn add(&mut self, now: Micros, id: &MachineId, reason: ReleaseCause, instances: &InstanceList) {
        if !self.contains(id) && !instances.is_released(id) {
            tracing::info!(machine = %id, %reason, "machine released");
            self.due.insert(id.clone(), now);
        }
    }

    /// Guards against releasing machines that recovered while the cloud was unreachable: hung
    /// or isolated by the hundred, they were to be released for a reason that had ended.
    fn withdraw_recovered(&mut self, cache: &WatchCache, reported: &ReportedMachines<'_>) {
        let (due, in_flight) = (&mut self.due, &self.in_flight);
        self.silent.retain(|id| {
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

    /// The request for the machines that are due, one request at a time.
    pub(super) fn next_request(&mut self, now: Micros) -> Option<CloudRequest> {
        if !self.in_flight.is_empty() {
            return None;
        }
        let due = self.due.iter().filter(|(_, due_at)| now >= **due_at);
        let machines = due.map(|(id, _)| id.clone());
        self.in_flight = machines.take(MAX_MACHINES_PER_REQUEST).collect();
        (!self.in_flight.is_empty()).then(|| CloudRequest::Release(self.in_flight.clone()))
    }

    /// Takes in whether the cloud confirmed a request. What it did not is requested again.
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

/// Why an instance is to be released by what the cloud lists of it.
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
