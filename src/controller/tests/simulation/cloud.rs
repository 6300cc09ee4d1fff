//! A simulated cloud: it lists, adds and releases machines.
//!
//! This module owns the state of each machine (booting, running or released). It releases a
//! machine only at a controller's request.

use super::worker::SimulatedWorker;
use super::{Simulation, secs};
use crate::clock::Micros;
use crate::cloud::{
    CloudMachine, CloudReply, CloudRequest, InstanceState, MachineType, ScaleOutRecord,
};
use crate::ids::MachineId;
use std::collections::{BTreeMap, BTreeSet};

/// Time in seconds from a scale-out until the added machines are running.
const BOOT_DURATION_S: f64 = 3.0;
/// Age in seconds that the cloud reports for every running machine.
const RUNNING_AGE_S: f64 = 1.0;

/// The machines that were added for one request.
#[derive(Debug)]
pub struct ScaleOut {
    /// Zone of the machines.
    pub zone: String,
    /// Number of machines.
    pub count: u32,
}

/// The cloud of the simulation.
pub struct SimulatedCloud {
    /// Whether the cloud leaves all requests unanswered, except for its list of machine types.
    pub is_unreachable: bool,
    /// Whether the cloud has machines to add, which are running after three seconds.
    pub has_capacity: bool,
    /// Zones in which the cloud has no capacity even if `has_capacity` is set.
    pub zones_without_capacity: BTreeSet<&'static str>,
    /// Machine types with their prices.
    pub machine_types: Vec<MachineType>,
    /// Machines that were released.
    pub released: Vec<MachineId>,
    /// Machines that remain in the booting state, with the start of that state.
    pub booting_since: BTreeMap<MachineId, Micros>,
    /// Scale-outs that were executed, in order.
    pub scale_outs: Vec<ScaleOut>,
    machines_by_request: BTreeMap<String, Vec<MachineId>>,
}

impl SimulatedCloud {
    /// Creates a cloud without capacity for further machines.
    pub fn new(machine_types: Vec<MachineType>) -> SimulatedCloud {
        SimulatedCloud {
            is_unreachable: false,
            has_capacity: false,
            zones_without_capacity: BTreeSet::new(),
            machine_types,
            released: vec![],
            booting_since: BTreeMap::new(),
            scale_outs: vec![],
            machines_by_request: BTreeMap::new(),
        }
    }

    /// Returns whether a machine was released.
    pub fn is_released(&self, machine: &MachineId) -> bool {
        self.released.contains(machine)
    }

    fn machine(&self, worker: &SimulatedWorker, now: Micros) -> CloudMachine {
        let booting_since = self.booting_since.get(&worker.id);
        CloudMachine {
            id: worker.id.clone(),
            addr: Some(format!("{}:1", worker.id)),
            machine_type: worker.machine_type.into(),
            zone: worker.zone.into(),
            spot: false,
            state: if booting_since.is_some() {
                InstanceState::Booting
            } else {
                InstanceState::Running
            },
            age_s: booting_since.map_or(RUNNING_AGE_S, |since| now.since(*since).as_secs()),
        }
    }
}

impl Simulation {
    /// Handles a controller's request and returns the reply.
    pub(super) fn send_to_cloud(&mut self, request: &CloudRequest) -> CloudReply {
        if self.cloud.is_unreachable && *request != CloudRequest::MachineTypes {
            return CloudReply::Indeterminate;
        }
        match request {
            CloudRequest::MachineTypes => {
                CloudReply::MachineTypes(self.cloud.machine_types.clone())
            }
            CloudRequest::Machines => {
                let machines = self.live_workers();
                CloudReply::Machines(
                    machines
                        .map(|worker| self.cloud.machine(worker, self.now))
                        .collect(),
                )
            }
            CloudRequest::ScaleOut {
                name,
                record: scale_out,
            } => {
                let has_capacity = self.cloud.has_capacity
                    && !self
                        .cloud
                        .zones_without_capacity
                        .contains(scale_out.zone.as_str());
                if !has_capacity {
                    return CloudReply::NoCapacity;
                }
                CloudReply::ScaledOut(self.scale_out(name, scale_out))
            }
            CloudRequest::Release(machines) => {
                self.cloud.released.extend(machines.iter().cloned());
                for worker in self
                    .workers
                    .iter_mut()
                    .filter(|worker| machines.contains(&worker.id))
                {
                    worker.tasks.clear();
                }
                CloudReply::Released
            }
        }
    }

    /// Adds machines and returns their identifiers. Requests are idempotent: a repeated request
    /// name returns the machines of the first request.
    fn scale_out(&mut self, name: &str, request: &ScaleOutRecord) -> Vec<MachineId> {
        if let Some(machines) = self.cloud.machines_by_request.get(name) {
            return machines.clone();
        }
        let machine_type = if request.machine_type == "big" {
            "big"
        } else {
            "small"
        };
        let zone = match request.zone.as_str() {
            "y" => "y",
            "z" => "z",
            _ => "x",
        };
        self.cloud.scale_outs.push(ScaleOut {
            zone: zone.to_owned(),
            count: request.count,
        });
        let up_at = self.now + secs(BOOT_DURATION_S);
        let first = self.workers.len();
        for number in first..first + request.count as usize {
            let mut worker = SimulatedWorker::new(number, machine_type, zone, up_at);
            worker.is_isolated = self.network.isolated_zones.contains(zone);
            self.workers.push(worker);
        }
        let machines: Vec<MachineId> = self.workers[first..]
            .iter()
            .map(|worker| worker.id.clone())
            .collect();
        self.cloud
            .machines_by_request
            .insert(name.to_owned(), machines.clone());
        machines
    }

    /// Iterates over the workers whose machines have not been released.
    pub fn live_workers(&self) -> impl Iterator<Item = &SimulatedWorker> {
        self.workers
            .iter()
            .filter(|worker| !self.cloud.is_released(&worker.id))
    }

    /// Keeps all machines that have sent no heartbeat in the booting state permanently.
    pub fn keep_booting(&mut self) {
        let new = self
            .workers
            .iter_mut()
            .filter(|worker| worker.heartbeat_sequence == 0);
        for worker in new {
            worker.is_paused = true;
            self.cloud.booting_since.insert(worker.id.clone(), self.now);
        }
    }

    /// Adds running machines of type `big` in zone `x` that no controller requested.
    pub fn add_machines(&mut self, count: usize) {
        let first = self.workers.len();
        let now = self.now;
        let new =
            (first..first + count).map(|number| SimulatedWorker::new(number, "big", "x", now));
        self.workers.extend(new);
    }
}
