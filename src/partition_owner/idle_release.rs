//! Release of idle machines: which of them are released from the partition, and whether they are
//! moved to another partition or returned to the cloud.

use crate::clock::Micros;
use crate::ids::Revision;
use crate::partitions::{MachineRecord, ReleaseReason};
use crate::placement::{self, CapacityRequest};
use crate::policy::Policy;
use crate::workers::Machine;

/// Shortest time that the cloud charges for a machine.
const MIN_CHARGED_TIME: Micros = Micros::from_millis(60_000);
/// Idle time after which a machine may be moved to another partition.
const MIN_IDLE_BEFORE_MOVE: Micros = Micros::from_millis(1_000);

/// A capacity request of another partition, with the number of tasks for which no machine has
/// been released yet.
pub(super) struct UnmetRequest<'a> {
    request: &'a CapacityRequest,
    remaining: u32,
}

impl<'a> UnmetRequest<'a> {
    pub(super) fn new(request: &'a CapacityRequest) -> Self {
        UnmetRequest {
            request,
            remaining: request.count,
        }
    }
}

/// One round of releases of idle machines.
pub(super) struct IdleRelease<'a> {
    pub(super) now: Micros,
    pub(super) heartbeat_timeout: Micros,
    /// Time before which idle time does not count.
    pub(super) idle_from: Micros,
    pub(super) policy: &'a Policy,
    pub(super) own_requests: &'a [CapacityRequest],
    pub(super) unmet_requests: Vec<UnmetRequest<'a>>,
}

impl IdleRelease<'_> {
    /// Marks a machine as released in its record if it is to be released, and returns whether it
    /// is. `revision` is the revision of the machine's shard.
    pub(super) fn apply(
        &mut self,
        machine: &mut Machine,
        record: &mut MachineRecord,
        revision: Revision,
    ) -> bool {
        if machine.release_state().is_indeterminate() && machine.is_empty() {
            // An earlier release got no reply and may have been carried out: it is repeated.
            record.release_reason = Some(ReleaseReason::Return);
            machine.request_release(revision);
            return true;
        }
        let Some(reason) = self.reason(machine) else {
            return false;
        };
        record.release_reason = Some(reason);
        machine.request_release(revision);
        true
    }

    /// Returns why a machine is to be released, or `None` if the partition keeps it. A move
    /// reduces the unmet request of the partition that it serves.
    fn reason(&mut self, machine: &Machine) -> Option<ReleaseReason> {
        let accepts_tasks = placement::accepts_tasks(machine, self.now, self.heartbeat_timeout);
        if !accepts_tasks || !machine.is_empty() {
            return None;
        }
        let idle = self.now.since(machine.idle_since().max(self.idle_from));
        if idle >= self.max_idle(machine) && self.is_minimum_charge_paid(machine) {
            return Some(ReleaseReason::Return);
        }
        let is_wanted_here = || self.own_requests.iter().any(|own| fits(own, machine));
        if idle < MIN_IDLE_BEFORE_MOVE || is_wanted_here() {
            return None;
        }
        let unmet = self
            .unmet_requests
            .iter_mut()
            .find(|unmet| unmet.remaining > 0 && fits(unmet.request, machine))?;
        let tasks = unmet.request.request.times_in(&machine.spec.capacity);
        unmet.remaining = unmet.remaining.saturating_sub(tasks);
        Some(ReleaseReason::Move)
    }

    fn max_idle(&self, machine: &Machine) -> Micros {
        if machine.spec.spot {
            self.policy.spot_idle_timeout
        } else {
            self.policy.on_demand_idle_timeout
        }
    }

    /// Returns whether the machine has been used for the minimum time that is charged. Guards
    /// against counting that time again from each failover: no machine was then released during
    /// a rolling restart.
    fn is_minimum_charge_paid(&self, machine: &Machine) -> bool {
        machine.minimum_charge_paid || self.now.since(machine.added_at()) >= MIN_CHARGED_TIME
    }
}

fn fits(request: &CapacityRequest, machine: &Machine) -> bool {
    request.fits(
        &machine.spec.machine_type,
        &machine.spec.zone,
        machine.spec.spot,
        &machine.spec.capacity,
    )
}
