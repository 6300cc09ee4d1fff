//! Recovery after a failover: until a machine of the earlier owner has sent a heartbeat under
//! our fencing token, or its lease has expired, it may run anything.

use super::OwnedPartition;
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::placement::{FailoverRecovery, SilentMachines};
use crate::workers::Machine;

/// How far the recovery from a failover has got.
pub(super) struct FailoverState {
    /// The kinds of machines that are still unconfirmed; none: the failover is complete.
    recovery: Option<FailoverRecovery>,
    /// A machine of the failover was confirmed: counted once for all that are in a tick, since
    /// counting walks over the partition.
    recount_pending: bool,
    /// Since when all machines of the failover are confirmed: idleness counts from there.
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

    /// From when on a machine's idleness counts. Guards against releasing what old jobs will
    /// use once they may start: while the failover waits for silent machines, nothing is idle
    /// by choice.
    pub(super) fn idle_from(&self, now: Micros) -> Micros {
        if self.recovery.is_some() {
            now
        } else {
            self.recovered_at
        }
    }

    /// Whether the failover is completed by this.
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
    /// Whether machines of the failover are still unconfirmed.
    pub fn is_recovering(&self) -> bool {
        self.failover.recovery().is_some()
    }

    /// Counts anew which kinds of machines are unconfirmed.
    pub(super) fn update_recovery(&mut self, now: Micros) {
        let silent = self.unconfirmed_kinds();
        let recovery = (!silent.is_empty()).then_some(FailoverRecovery {
            term: self.ownership.term(),
            granted: self.ownership.revision(),
            silent,
        });
        // Fewer kinds that are silent: more jobs that can't be there.
        let is_changed = recovery.as_ref() != self.failover.recovery();
        self.scheduling.request_pass_if(is_changed);
        if self.failover.update(now, recovery) {
            tracing::info!(partition = %self.id(), term = %self.term(), "failover completed");
        }
    }

    fn unconfirmed_kinds(&self) -> Vec<SilentMachines> {
        let mut kinds: Vec<SilentMachines> = Vec::new();
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

fn kind_of(machine: &Machine) -> SilentMachines {
    let is_known = machine.spec.capacity != Resources::default();
    SilentMachines {
        machine_type: machine.spec.machine_type.clone(),
        zone: machine.spec.zone.clone(),
        spot: machine.spec.spot,
        capacity: is_known.then_some(machine.spec.capacity),
    }
}
