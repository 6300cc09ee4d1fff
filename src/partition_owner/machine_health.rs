//! Which machines are silent, can't be reached or fail, and whether the fault is ours.

use super::OwnedPartition;
use crate::clock::Micros;
use crate::ids::MachineId;
use crate::workers::{AttemptPhase, Machine};

/// So many heartbeat intervals after its last heartbeat a machine gets no more tasks.
const HEARTBEAT_TIMEOUT_INTERVALS: f64 = 2.2;
/// Heartbeats come within a quarter of their interval; a machine that is later than that, and
/// the time that a heartbeat takes, is silent. In heartbeat intervals.
pub(super) const SILENCE_INTERVALS: f64 = 1.4;
/// Shorter silence than this may be a busy moment.
pub(super) const MIN_SILENCE: Micros = Micros::from_millis(3_000);
/// A machine that has not sent a heartbeat since a failover has to find its new owner first.
const MIN_SILENCE_AFTER_FAILOVER: Micros = Micros::from_millis(5_000);

/// A machine that sends no heartbeat for so long after it was added does not come up.
const BOOT_TIMEOUT: Micros = Micros::from_millis(180_000);
/// A machine of a failover that stays silent for at least so long, and for so many heartbeat
/// intervals, is released.
const MIN_UNCONFIRMED_TIMEOUT: Micros = Micros::from_millis(6_000);
const UNCONFIRMED_TIMEOUT_INTERVALS: f64 = 1.6;
/// If no machine has sent a heartbeat for so long, the fault is ours and not theirs.
const MAX_HEARTBEAT_GAP: Micros = Micros::from_millis(4_000);
/// Machines that are released at once: so many, and one of each so many.
const MIN_RELEASE_BATCH: usize = 2;
const MACHINES_PER_RELEASE: usize = 10;

/// We are isolated if none of at least so many machines is in contact for at least so long, and
/// for so many heartbeat intervals.
const MIN_MACHINES_FOR_ISOLATION: usize = 2;
const MIN_ISOLATION_TIMEOUT: Micros = Micros::from_millis(8_000);
const ISOLATION_TIMEOUT_INTERVALS: f64 = 1.5;

impl OwnedPartition {
    /// The time of so many heartbeats of one machine.
    pub(super) fn heartbeat_intervals(&self, count: f64) -> Micros {
        Micros::from_secs(self.settings.platform.workers.heartbeat_interval_s * count)
    }

    /// How long after its last heartbeat a machine may still be sent tasks.
    pub(super) fn heartbeat_timeout(&self) -> Micros {
        self.heartbeat_intervals(HEARTBEAT_TIMEOUT_INTERVALS)
    }

    /// After this silence a machine is released.
    pub(super) fn release_timeout(&self) -> Micros {
        self.policy.silence_timeout.max(self.heartbeat_timeout())
    }

    /// How long a machine that sends heartbeats regularly may be without contact.
    pub(super) fn max_contact_gap(&self) -> Micros {
        let regular = self.heartbeat_intervals(SILENCE_INTERVALS);
        regular.max(MIN_SILENCE)
    }

    /// Machines that are to be released get nothing more to do until they are in contact again.
    pub fn cordon(&mut self, releasable: &[MachineId]) {
        for id in releasable {
            let Some(machine) = self.machines.get_mut(id) else {
                continue;
            };
            // What was never in contact may still be booting.
            if machine.last_contact_at().is_some() {
                machine.cordon();
            }
        }
    }

    /// Whether no machine of the partition is in contact any more: it is we who are isolated.
    pub fn is_isolated(&self, now: Micros) -> bool {
        let known = self.machines.values();
        let known = known.filter(|machine| machine.last_contact_at().is_some());
        let timeout =
            MIN_ISOLATION_TIMEOUT.max(self.heartbeat_intervals(ISOLATION_TIMEOUT_INTERVALS));
        known.count() >= MIN_MACHINES_FOR_ISOLATION
            && now.since(self.liveness.silent_since()) > timeout
    }

    /// Whether a machine is silent for longer than it should be.
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

    /// Machines that should be released: silent ones, those that our answers don't reach, and
    /// quarantined ones that are idle.
    pub fn releasable_machines(&self, now: Micros) -> Vec<MachineId> {
        let since_last_heartbeat = self.liveness.since_last_heartbeat(now);
        if self.machines.len() > 1 && since_last_heartbeat > MAX_HEARTBEAT_GAP {
            return Vec::new();
        }
        // Should so many be silent at once, the first to be released show whether it is them.
        let max_released = MIN_RELEASE_BATCH + self.machines.len() / MACHINES_PER_RELEASE;
        // And if our answers don't reach so many, it is ours that get lost.
        let unreachable = self
            .machines
            .values()
            .filter(|machine| machine.is_unreachable());
        let is_fault_theirs = unreachable.count() <= max_released;
        let is_releasable = |id: &MachineId, machine: &Machine| {
            let is_lost = self.is_contact_lost(now, machine)
                || self.are_heartbeats_lost(now, machine)
                || is_fault_theirs && machine.is_unreachable();
            is_lost && !self.is_retained_with_zone(now, id, machine)
                || !machine.is_schedulable() && is_idle(machine)
        };
        let machines = self.machines.iter();
        let releasable = machines.filter(|(id, machine)| is_releasable(id, machine));
        let ids = releasable.map(|(id, _)| id.clone());
        ids.take(max_released).collect()
    }

    /// Whether a machine was without contact for so long that it is released. Guards against a
    /// mass release after a pause of our own: each machine has its full time to be in contact
    /// from then on.
    fn is_contact_lost(&self, now: Micros, machine: &Machine) -> bool {
        let on_time_since = self.liveness.on_time_since();
        match machine.last_contact_at() {
            Some(contact_at) => {
                let since = contact_at.max(on_time_since).max(machine.added_at());
                now.since(since) > self.release_timeout()
            }
            // Old jobs wait for it, and a live one answers our direct command at once.
            None if machine.is_unconfirmed() => {
                let timeout = MIN_UNCONFIRMED_TIMEOUT
                    .max(self.heartbeat_intervals(UNCONFIRMED_TIMEOUT_INTERVALS));
                now.since(machine.added_at().max(on_time_since)) > timeout
            }
            None => now.since(machine.added_at()) > BOOT_TIMEOUT,
        }
    }

    /// Whether a machine is alive, as the replies to direct commands show, but its heartbeats
    /// reach no controller: it keeps what it has until its lease expires, and is replaced as
    /// soon as it has nothing, or nothing to come of it.
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

    /// Whether a machine that is silent with its zone waits for the zone's turn. Those that
    /// fail by themselves do not.
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
