//! Recovery after a failover, which is when this controller takes a partition over from an
//! earlier owner.
//!
//! A machine that the earlier owner used is unconfirmed until it has sent a heartbeat under this
//! owner's fencing token, or its worker's lease has expired. An unconfirmed machine may run any
//! task of the earlier owner. The failover is complete once no machine is unconfirmed.

use super::OwnedPartition;
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::placement::{FailoverRecovery, UnconfirmedMachineKind};
use crate::workers::Machine;

/// Progress of the recovery from a failover.
pub(super) struct FailoverState {
    /// Kinds of machines that are still unconfirmed. `None` if the failover is complete.
    recovery: Option<FailoverRecovery>,
    /// Whether machines were confirmed since the last count. Counting iterates over all machines
    /// of the partition, so it is done at most once per tick.
    recount_pending: bool,
    /// When the failover was completed. A machine's idle time counts from then.
    recovered_at: Micros,
}

impl FailoverState {
    pub(super) fn new(now: Micros) -> Self {
        FailoverState {
            recovery: None,
            recount_pending: false,
            recovered_at: now,
        }
    }

    pub(super) fn recovery(&self) -> Option<&FailoverRecovery> {
        self.recovery.as_ref()
    }

    pub(super) fn request_recount(&mut self) {
        self.recount_pending = true;
    }

    pub(super) fn take_recount(&mut self) -> bool {
        std::mem::take(&mut self.recount_pending)
    }

    /// Returns the time from which a machine's idle time counts. During a failover, jobs from
    /// before it may not start while machines are unconfirmed, so machines are idle although
    /// there is work for them. Guards against releasing machines that these jobs will use.
    pub(super) fn idle_from(&self, now: Micros) -> Micros {
        if self.recovery.is_some() {
            now
        } else {
            self.recovered_at
        }
    }

    /// Replaces the recovery, and returns whether that completes the failover.
    fn update(&mut self, now: Micros, recovery: Option<FailoverRecovery>) -> bool {
        let is_completed = self.recovery.is_some() && recovery.is_none();
        self.recovery = recovery;
        if is_completed {
            self.recovered_at = now;
        }
        is_completed
    }
}

impl OwnedPartition {
    /// Returns whether machines are still unconfirmed after a failover.
    pub fn is_recovering(&self) -> bool {
        self.failover.recovery().is_some()
    }

    /// Updates which kinds of machines are unconfirmed.
    pub(super) fn update_recovery(&mut self, now: Micros) {
        let unconfirmed = self.unconfirmed_kinds();
        let recovery = (!unconfirmed.is_empty()).then_some(FailoverRecovery {
            term: self.ownership.term(),
            granted_at: self.ownership.revision(),
            unconfirmed,
        });
        // With fewer unconfirmed kinds of machines, more jobs may start, since none of their
        // tasks can be running on an unconfirmed machine.
        let is_changed = recovery.as_ref() != self.failover.recovery();
        self.scheduling.request_pass_if(is_changed);
        if self.failover.update(now, recovery) {
            tracing::info!(partition = %self.id(), term = %self.term(), "failover completed");
        }
    }

    /// Returns each kind of unconfirmed machine once.
    fn unconfirmed_kinds(&self) -> Vec<UnconfirmedMachineKind> {
        let mut kinds: Vec<UnconfirmedMachineKind> = Vec::new();
        let unconfirmed = self.machines.values();
        for machine in unconfirmed.filter(|machine| machine.is_unconfirmed()) {
            let kind = kind_of(machine);
            if !kinds.contains(&kind) {
                kinds.push(kind);
            }
        }
        kinds
    }
}

fn kind_of(machine: &Machine) -> UnconfirmedMachineKind {
    let is_known = machine.spec.capacity != Resources::default();
    UnconfirmedMachineKind {
        machine_type: machine.spec.machine_type.clone(),
        zone: machine.spec.zone.clone(),
        spot: machine.spec.spot,
        capacity: is_known.then_some(machine.spec.capacity),
    }
}
