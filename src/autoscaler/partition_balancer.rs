//! Which partition a machine goes to.

use super::FleetSnapshot;
use crate::cloud::MachineType;
use crate::ids::PartitionId;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// A partition's machines, in cores.
#[derive(Default)]
struct PartitionLoad {
    /// Recorded in it, or assigned to it now.
    cores: f64,
    /// Assigned to it now: its owner's report does not count them yet.
    assigned_cores: f64,
}

/// How much a partition has to gain from a machine.
struct Claim {
    lacking_cores: f64,
    cores: f64,
}

impl Claim {
    /// The more is lacking, the higher; at equal lack the fewer cores there are.
    fn total_cmp(&self, other: &Claim) -> Ordering {
        self.lacking_cores
            .total_cmp(&other.lacking_cores)
            .then(other.cores.total_cmp(&self.cores))
    }
}

/// Spreads machines over the partitions: to the one that lacks such a machine most, by what its
/// owner reports and what was assigned to it just now, or to the one with the fewest cores.
pub(super) struct PartitionBalancer<'a> {
    fleet: FleetSnapshot<'a>,
    loads: BTreeMap<PartitionId, PartitionLoad>,
}

impl<'a> PartitionBalancer<'a> {
    /// A balancer of all partitions that have an owner's record.
    pub(super) fn new(fleet: &FleetSnapshot<'a>) -> Self {
        let partitions = fleet.cache.partition_owners.keys();
        let mut loads: BTreeMap<PartitionId, PartitionLoad> = partitions
            .map(|partition| (*partition, PartitionLoad::default()))
            .collect();
        for (partition, _, machine) in fleet.cache.all_machines() {
            let machine_type = fleet.machine_type(&machine.machine_type);
            if let (Some(load), Some(machine_type)) = (loads.get_mut(&partition), machine_type) {
                load.cores += machine_type.cores;
            }
        }
        PartitionBalancer {
            fleet: *fleet,
            loads,
        }
    }

    /// Assigns a machine to a partition; to none if its type is unknown.
    pub(super) fn assign(
        &mut self,
        machine_type: &str,
        zone: &str,
        spot: bool,
    ) -> Option<PartitionId> {
        let machine_type = self.fleet.machine_type(machine_type)?;
        let claim = |partition: &PartitionId, load: &PartitionLoad| {
            let requested = self.requested_cores(*partition, machine_type, zone, spot);
            Claim {
                lacking_cores: (requested - load.assigned_cores).max(0.0),
                cores: load.cores,
            }
        };
        let (partition, _) = self
            .loads
            .iter()
            .map(|(partition, load)| (*partition, claim(partition, load)))
            .max_by(|(_, one), (_, other)| one.total_cmp(other))?;
        let load = self.loads.entry(partition).or_default();
        load.assigned_cores += machine_type.cores;
        load.cores += machine_type.cores;
        Some(partition)
    }

    /// The cores that a partition's waiting work requests and such a machine can provide.
    fn requested_cores(
        &self,
        partition: PartitionId,
        machine_type: &MachineType,
        zone: &str,
        spot: bool,
    ) -> f64 {
        let capacity = machine_type.capacity();
        let state = self.fleet.partition_states.get(&partition);
        let requests = state.map_or(&[][..], |state| state.capacity_requests.as_slice());
        requests
            .iter()
            .filter(|request| request.fits(&machine_type.name, zone, spot, &capacity))
            .map(|request| request.request.cores * f64::from(request.count))
            .sum()
    }
}
