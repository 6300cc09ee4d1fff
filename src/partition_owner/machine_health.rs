//! Health of the partition's machines: which of them are silent, unreachable or failing, and
//! which should be released for it.
//!
//! A fault of this controller must never lead to a mass release of healthy machines. Silence
//! therefore counts only while this controller's own ticks are on time.

use super::OwnedPartition;
use crate::clock::Micros;
use crate::ids::MachineId;
use crate::workers::{AttemptPhase, Machine};

/// Time since its last heartbeat after which a machine is sent no more tasks, in heartbeat
/// intervals.
const HEARTBEAT_TIMEOUT_INTERVALS: f64 = 2.2;
/// Time without contact after which a machine is silent, in heartbeat intervals. A heartbeat
/// may be late by a quarter of the interval, and takes some time to arrive.
pub(super) const SILENCE_INTERVALS: f64 = 1.4;
/// Shortest time without contact after which a machine is silent. Shorter gaps may be caused by
/// a brief overload.
pub(super) const MIN_SILENCE: Micros = Micros::from_millis(3_000);
/// Shortest time without contact after which a machine is silent if it has sent no heartbeat
/// since a failover. Its worker has to find the new owner first.
const MIN_SILENCE_AFTER_FAILOVER: Micros = Micros::from_millis(5_000);

/// Time after it was added within which a new machine must send its first heartbeat. After that
/// its boot counts as failed.
const BOOT_TIMEOUT: Micros = Micros::from_millis(180_000);
/// Shortest time since a failover after which a machine that is still unconfirmed is released.
const MIN_UNCONFIRMED_TIMEOUT: Micros = Micros::from_millis(6_000);
/// Time since a failover after which a machine that is still unconfirmed is released, in
/// heartbeat intervals.
const UNCONFIRMED_TIMEOUT_INTERVALS: f64 = 1.6;
/// Longest time without a heartbeat from any machine during which machines may be released.
/// After a longer gap, the fault is taken to be on this controller's side.
const MAX_HEARTBEAT_GAP: Micros = Micros::from_millis(4_000);
/// Machines that may be released at once, whatever the size of the partition.
const MIN_RELEASE_BATCH: usize = 2;
/// One more machine may be released at once for each of this many machines in the partition.
const MACHINES_PER_RELEASE: usize = 10;

/// Fewest machines that must have been in contact once before the owner can count as isolated.
const MIN_MACHINES_FOR_ISOLATION: usize = 2;
/// Shortest time without contact to any machine after which the owner counts as isolated.
const MIN_ISOLATION_TIMEOUT: Micros = Micros::from_millis(8_000);
/// Time without contact to any machine after which the owner counts as isolated, in heartbeat
/// intervals.
const ISOLATION_TIMEOUT_INTERVALS: f64 = 1.5;

impl OwnedPartition {
    /// Returns the duration of `count` heartbeat intervals.
    pub(super) fn heartbeat_intervals(&self, count: f64) -> Micros {
        Micros::from_secs(self.settings.platform.workers.heartbeat_interval_s * count)
    }

    /// Returns how long after its last heartbeat a machine may still be sent tasks.
    pub(super) fn heartbeat_timeout(&self) -> Micros {
        self.heartbeat_intervals(HEARTBEAT_TIMEOUT_INTERVALS)
    }

    /// Returns the time without contact after which a machine is released.
    pub(super) fn release_timeout(&self) -> Micros {
        self.policy.silence_timeout.max(self.heartbeat_timeout())
    }

    /// Returns the longest time without contact at which a machine is not silent yet.
    pub(super) fn max_contact_gap(&self) -> Micros {
        let regular = self.heartbeat_intervals(SILENCE_INTERVALS);
        regular.max(MIN_SILENCE)
    }

    /// Cordons machines that are to be released: they get no new tasks until they are in contact
    /// again.
    pub fn cordon(&mut self, releasable: &[MachineId]) {
        for id in releasable {
            let Some(machine) = self.machines.get_mut(id) else {
                continue;
            };
            // A machine that was never in contact may still be booting.
            if machine.last_contact_at().is_some() {
                machine.cordon();
            }
        }
    }

    /// Returns whether this owner is isolated: no machine of the partition is in contact any
    /// more, so the fault is on this side.
    pub fn is_isolated(&self, now: Micros) -> bool {
        let known = self.machines.values();
        let known = known.filter(|machine| machine.last_contact_at().is_some());
        let timeout =
            MIN_ISOLATION_TIMEOUT.max(self.heartbeat_intervals(ISOLATION_TIMEOUT_INTERVALS));
        known.count() >= MIN_MACHINES_FOR_ISOLATION
            && now.since(self.liveness.silent_since()) > timeout
    }

    /// Returns whether a machine has been without contact for too long. Time before this owner's
    /// ticks were on time does not count.
    pub(super) fn is_silent(&self, now: Micros, machine: &Machine) -> bool {
        let max_gap = self.max_contact_gap();
        let on_time_since = self.liveness.on_time_since();
        match machine.last_contact_at() {
            Some(contact_at) => {
                now.since(contact_at.max(on_time_since).max(machine.added_at())) > max_gap
            }
            None => {
                let max_gap = max_gap.max(MIN_SILENCE_AFTER_FAILOVER);
                machine.is_unconfirmed()
                    && now.since(machine.added_at().max(on_time_since)) > max_gap
            }
        }
    }

    /// Returns the machines that should be released: silent ones, those that neither responses
    /// nor direct commands reach, and idle ones that may not be given tasks. The number is
    /// bounded. Empty if the fault may be this controller's own.
    pub fn releasable_machines(&self, now: Micros) -> Vec<MachineId> {
        let since_last_heartbeat = self.liveness.since_last_heartbeat(now);
        if self.machines.len() > 1 && since_last_heartbeat > MAX_HEARTBEAT_GAP {
            return Vec::new();
        }
        // If many machines are silent at once, only some are released at first. They show
        // whether the machines are at fault.
        let max_released = MIN_RELEASE_BATCH + self.machines.len() / MACHINES_PER_RELEASE;
        // If more machines than that are unreachable, the fault is on this controller's side.
        let unreachable = self
            .machines
            .values()
            .filter(|machine| machine.is_unreachable());
        let is_machine_fault = unreachable.count() <= max_released;
        let is_releasable = |id: &MachineId, machine: &Machine| {
            let is_lost = self.is_contact_lost(now, machine)
                || self.are_heartbeats_lost(now, machine)
                || is_machine_fault && machine.is_unreachable();
            is_lost && !self.is_retained_with_zone(now, id, machine)
                || !machine.is_schedulable() && is_idle(machine)
        };
        let machines = self.machines.iter();
        let releasable = machines.filter(|(id, machine)| is_releasable(id, machine));
        let ids = releasable.map(|(id, _)| id.clone());
        ids.take(max_released).collect()
    }

    /// Returns whether a machine has been without contact for so long that it is released.
    /// Guards against a mass release after a pause of this controller: after the pause, each
    /// machine has its full time to be in contact again.
    fn is_contact_lost(&self, now: Micros, machine: &Machine) -> bool {
        let on_time_since = self.liveness.on_time_since();
        match machine.last_contact_at() {
            Some(contact_at) => {
                let since = contact_at.max(on_time_since).max(machine.added_at());
                now.since(since) > self.release_timeout()
            }
            // A short timeout is enough: a live worker replies to a direct command at once, and
            // jobs from before the failover wait until the machine is confirmed or released.
            None if machine.is_unconfirmed() => {
                let timeout = MIN_UNCONFIRMED_TIMEOUT
                    .max(self.heartbeat_intervals(UNCONFIRMED_TIMEOUT_INTERVALS));
                now.since(machine.added_at().max(on_time_since)) > timeout
            }
            None => now.since(machine.added_at()) > BOOT_TIMEOUT,
        }
    }

    /// Returns whether a machine is to be released because its heartbeats reach no controller,
    /// although its replies to direct commands show that it is alive. The machine keeps its
    /// attempts until its worker's lease expires. It is released once it is idle, or once the
    /// lease has expired and its attempts can't complete any more.
    fn are_heartbeats_lost(&self, now: Micros, machine: &Machine) -> bool {
        if machine.last_contact_at().is_none() {
            return false;
        }
        let since = machine
            .last_heartbeat_at()
            .unwrap_or(machine.added_at())
            .max(machine.added_at())
            .max(self.liveness.on_time_since());
        let lease = Micros::from_secs(self.settings.platform.workers.lease_s);
        let has_nothing = is_idle(machine) && machine.has_no_command_in_transit();
        now.since(since) > self.release_timeout()
            && (has_nothing || now.since(machine.lease_started_at()) > lease)
    }

    /// Returns whether a silent machine is not released for now because its zone is suspect,
    /// lost, or down by this owner's counts. Machines of lost zones are released in waves. A
    /// machine that fails while its zone is healthy is not retained.
    fn is_retained_with_zone(&self, now: Micros, id: &MachineId, machine: &Machine) -> bool {
        let evacuation = self.zone_evacuation.as_ref();
        evacuation.is_some_and(|evacuation| evacuation.retains(now, id, &machine.spec.zone))
            && self.is_silent(now, machine)
    }
}

fn is_idle(machine: &Machine) -> bool {
    let mut attempts = machine.attempts.values();
    attempts.all(|attempt| attempt.phase == AttemptPhase::Exited)
}
