//! Choice of the partition in which a machine is recorded.

use super::FleetSnapshot;
use crate::cloud::MachineType;
use crate::ids::PartitionId;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Cores of a partition's machines.
#[derive(Default)]
struct PartitionCores {
    /// Cores of the machines that are recorded in the partition or assigned to it in this write.
    total: f64,
    /// Cores of the machines that are assigned to the partition in this write. The owner's report
    /// does not include them yet.
    newly_assigned: f64,
}

/// A partition's need for a machine. The partition with the greatest need is assigned the machine.
struct PartitionNeed {
    lacking_cores: f64,
    cores: f64,
}

impl PartitionNeed {
    /// Compares the lacking cores. If they are equal, the need is greater where there are fewer
    /// cores.
    fn total_cmp(&self, other: &PartitionNeed) -> Ordering {
        self.lacking_cores
            .total_cmp(&other.lacking_cores)
            .then(other.cores.total_cmp(&self.cores))
    }
}

/// Distributes machines over the partitions. A machine is assigned to the partition that lacks
/// the most cores for tasks that fit on the machine. The lack is computed from the owner's report
/// and the assignments of this write. If no partition lacks cores, the machine is assigned to the
/// partition with the fewest cores.
pub(super) struct PartitionBalancer<'a> {
    fleet: FleetSnapshot<'a>,
    cores_by_partition: BTreeMap<PartitionId, PartitionCores>,
}

impl<'a> PartitionBalancer<'a> {
    /// Creates a balancer for all partitions that have an owner record.
    pub(super) fn new(fleet: &FleetSnapshot<'a>) -> Self {
        let partitions = fleet.cache.partition_owners.keys();
        let mut cores_by_partition: BTreeMap<PartitionId, PartitionCores> = partitions
            .map(|partition| (*partition, PartitionCores::default()))
            .collect();
        for (partition, _, machine) in fleet.cache.all_machines() {
            let machine_type = fleet.machine_type(&machine.machine_type);
            if let (Some(cores), Some(machine_type)) =
                (cores_by_partition.get_mut(&partition), machine_type)
            {
                cores.total += machine_type.cores;
            }
        }
        PartitionBalancer {
            fleet: *fleet,
            cores_by_partition,
        }
    }

    /// Assigns a machine to a partition. Returns the partition, or `None` if the machine's type is
    /// unknown or there is no partition.
    pub(super) fn assign(
        &mut self,
        machine_type: &str,
        zone: &str,
        spot: bool,
    ) -> Option<PartitionId> {
        let machine_type = self.fleet.machine_type(machine_type)?;
        let need = |partition: &PartitionId, cores: &PartitionCores| {
            let requested = self.requested_cores(*partition, machine_type, zone, spot);
            PartitionNeed {
                lacking_cores: (requested - cores.newly_assigned).max(0.0),
                cores: cores.total,
            }
        };
        let (partition, _) = self
            .cores_by_partition
            .iter()
            .map(|(partition, cores)| (*partition, need(partition, cores)))
            .max_by(|(_, one), (_, other)| one.total_cmp(other))?;
        let cores = self.cores_by_partition.entry(partition).or_default();
        cores.newly_assigned += machine_type.cores;
        cores.total += machine_type.cores;
        Some(partition)
    }

    /// Returns the cores that a partition's waiting tasks request and that machines of this type,
    /// zone and kind can provide.
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
