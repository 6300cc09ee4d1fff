//! Which idle machines leave the partition, and why.

use crate::clock::Micros;
use crate::ids::Revision;
use crate::partitions::{MachineRecord, ReleaseReason};
use crate::placement::{self, CapacityRequest};
use crate::policy::Policy;
use crate::workers::Machine;

/// Less than a minute is charged as a minute.
const MIN_CHARGED_TIME: Micros = Micros::from_millis(60_000);
/// A machine moves to another partition only after it was idle for this long.
const MIN_IDLE_BEFORE_MOVE: Micros = Micros::from_millis(1_000);

/// A request of another partition, as far as no machine was released for it yet.
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

/// One round of releasing idle machines.
pub(super) struct IdleRelease<'a> {
    pub(super) now: Micros,
    pub(super) heartbeat_timeout: Micros,
    /// Idleness before this does not count.
    pub(super) idle_from: Micros,
    pub(super) policy: &'a Policy,
    pub(super) own_requests: &'a [CapacityRequest],
    pub(super) unmet_requests: Vec<UnmetRequest<'a>>,
}

impl IdleRelease<'_> {
    /// Releases a machine in its record, if it is to go; whether it is. `revision`: of its shard.
    pub(super) fn apply(
        &mut self,
        machine: &mut Machine,
        record: &mut MachineRecord,
        revision: Revision,
    ) -> bool {
        if machine.release_state().is_indeterminate() && machine.is_empty() {
            // Tried before without an answer: again, since it may be done.
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

    /// Guards against counting the minimum charge from each failover anew: under a roll of
    /// restarts nothing was released.
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
