//! How the partition's capacity is used, and what it lacks.

use super::OwnedPartition;
use crate::clock::Micros;
use crate::fairness::{Resources, UsageByTeam};
use crate::placement::{self, CapacityRequest, PendingMachines};
use crate::workers::Machine;
use std::collections::BTreeMap;

impl OwnedPartition {
    /// The room that waiting work lacks.
    pub fn capacity_requests(
        &self,
        now: Micros,
        wall_clock: Micros,
        fleet: Resources,
    ) -> Vec<CapacityRequest> {
        placement::capacity_requests(
            &self.snapshot(now, wall_clock, fleet),
            &self.booting_machines(),
            self.policy.scale_out_horizon,
        )
    }

    /// Machines that are expected to come up, each kind once.
    fn booting_machines(&self) -> Vec<PendingMachines<'_>> {
        let is_expected = |machine: &&Machine| {
            machine.last_contact_at().is_none()
                && machine.is_active()
                && machine.is_schedulable()
                && !self.is_in_lost_zone(machine)
        };
        let mut booting: Vec<PendingMachines<'_>> = Vec::new();
        for machine in self.machines.values().filter(is_expected) {
            let is_alike = |kind: &&mut PendingMachines<'_>| {
                kind.machine_type == machine.spec.machine_type
                    && kind.zone == machine.spec.zone
                    && kind.spot == machine.spec.spot
            };
            match booting.iter_mut().find(is_alike) {
                Some(kind) => kind.count += 1,
                None => booting.push(PendingMachines {
                    capacity: machine.spec.capacity,
                    machine_type: &machine.spec.machine_type,
                    zone: &machine.spec.zone,
                    spot: machine.spec.spot,
                    count: 1,
                }),
            }
        }
        booting
    }

    /// A line for operators on how the partition is used.
    pub fn log_usage(&self, now: Micros) {
        let heartbeat_timeout = self.heartbeat_timeout();
        let is_usable =
            |machine: &&Machine| placement::accepts_tasks(machine, now, heartbeat_timeout);
        let is_booting = |machine: &&Machine| machine.last_contact_at().is_none();
        let machines = || self.machines.values();
        let cores = |machine: &Machine| machine.spec.capacity.cores;
        let used: f64 = machines().map(|machine| machine.load.summed.cores).sum();
        let up: f64 = machines().filter(is_usable).map(cores).sum();
        let booting: f64 = machines().filter(is_booting).map(cores).sum();
        let mut waiting: BTreeMap<&str, u32> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.wants_machines()) {
            *waiting.entry(&job.desc.class).or_default() += job.waiting().len();
        }
        let bound_to_lost_zones = self.tasks_bound_to_lost_zones();
        let behind_others = self.jobs.values().filter(|job| !job.is_ready()).count();
        tracing::info!(
            partition = %self.id(),
            term = %self.term(),
            machines = self.machines.len(),
            up,
            booting,
            used,
            ?waiting,
            jobs = self.jobs.len(),
            behind_others,
            bound_to_lost_zones,
            pending_commands = self.direct_commands.pending_count(),
            machines_compared = self.machines_compared(),
            late_ticks = self.liveness.late_ticks(),
            "partition usage recorded"
        );
    }

    /// Each team's heaviness. The usage by team is computed anew from the machines' loads
    /// each time, so that no rounding adds up.
    pub fn team_heaviness(&mut self, fleet: Resources) -> BTreeMap<String, f64> {
        let mut usage = UsageByTeam::new(self.ownership.teams());
        for machine in self.machines.values() {
            usage.add(&machine.load, machine.spec.capacity);
        }
        self.usage = usage;
        let guarantees = self.settings.guarantees();
        let heaviness = |index: &usize| {
            let team = &self.settings.platform.teams[*index];
            let heaviness = self
                .usage
                .heaviness(*index, team.guarantee(), guarantees, fleet);
            (team.name.clone(), heaviness)
        };
        self.ownership.teams().iter().map(heaviness).collect()
    }
}
