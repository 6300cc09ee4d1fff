//! The partition's capacity: requests for capacity that waiting tasks lack, the usage log line
//! for operators, and the teams' heaviness.

use super::OwnedPartition;
use crate::clock::Micros;
use crate::fairness::{Resources, UsageByTeam};
use crate::placement::{self, CapacityRequest, PendingMachines};
use crate::workers::Machine;
use std::collections::BTreeMap;

impl OwnedPartition {
    /// Returns requests for the capacity that waiting tasks lack.
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

    /// Returns the machines that are expected to come up, counted by kind. Machines in lost
    /// zones are excluded.
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

    /// Logs one line for operators about the use of the partition.
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
        let raised_tokens: u64 = machines().map(Machine::raised_tokens).sum();
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
            raised_tokens,
            reappeared_attempts = self.reappeared_attempts,
            "partition usage recorded"
        );
    }

    /// Returns each team's heaviness by the team's name. Recomputes the usage of each team from
    /// the machines' loads, so that rounding errors do not accumulate.
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
