//! Handling of workers' heartbeats: which heartbeats are accepted, how they update the owner's
//! state, and how they are answered.
//!
//! A heartbeat is accepted only if it is known to be newer than all accepted ones and shows a
//! fencing token of this owner's term.

use super::OwnedPartition;
use super::command_log::{CommandMessage, CommandRoute};
use super::direct_commands::DirectCommandQueue;
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::PartitionId;
use crate::workers::{Heartbeat, HeartbeatOrder, HeartbeatResponse, Machine};

/// Result of checking a heartbeat.
#[derive(Clone, Copy, PartialEq, Eq)]
enum HeartbeatVerdict {
    /// The heartbeat must not get a valid response.
    Rejected,
    /// The heartbeat does not show this owner's term yet, or a lower token than an accepted
    /// heartbeat although its position is higher. The response carries a raised fencing token
    /// and no commands, so that the next heartbeat is known to be newer.
    TokenOutdated,
    /// The heartbeat was reconciled. The response carries commands.
    Accepted,
}

impl OwnedPartition {
    /// Handles a worker's heartbeat and returns the response, which renews the worker's lease.
    /// The response must not be sent from `valid_until` on, because this owner's own lease may
    /// have expired by then. Returns `None` if the worker must not get a valid response from
    /// this owner.
    pub fn handle_heartbeat(
        &mut self,
        now: Micros,
        wall_clock: Micros,
        fleet: Resources,
        valid_until: Micros,
        heartbeat: &Heartbeat,
    ) -> Option<HeartbeatResponse> {
        if self.is_being_handed_back() {
            return None;
        }
        let is_accepted = match self.receive_heartbeat(now, heartbeat) {
            HeartbeatVerdict::Rejected => return None,
            HeartbeatVerdict::TokenOutdated => false,
            HeartbeatVerdict::Accepted => true,
        };
        if is_accepted {
            self.refill_machine(now, wall_clock, fleet, &heartbeat.machine);
        }
        let machine = self.machines.get_mut(&heartbeat.machine)?;
        let commands = if is_accepted {
            machine.response_commands()
        } else {
            machine.raise_token_for_response();
            Vec::new()
        };
        machine.record_response(now, heartbeat);
        let token = machine.fencing_token();
        let message = CommandMessage {
            partition: self.ownership.partition(),
            machine: &heartbeat.machine,
            route: CommandRoute::Response,
            token,
            agent_epoch: heartbeat.agent_epoch,
        };
        message.log(&commands);
        Some(HeartbeatResponse {
            fencing_token: token,
            commands,
            valid_until,
        })
    }

    /// Checks a heartbeat and updates the state from it.
    fn receive_heartbeat(&mut self, now: Micros, heartbeat: &Heartbeat) -> HeartbeatVerdict {
        let machine = self.machines.get_mut(&heartbeat.machine);
        let Some(machine) = machine.filter(|machine| machine.is_active()) else {
            return HeartbeatVerdict::Rejected;
        };
        let order = machine.order(heartbeat);
        let verdict = verdict(machine, order, heartbeat);
        if order == HeartbeatOrder::Stale || verdict == HeartbeatVerdict::TokenOutdated {
            record_stale(machine, &mut self.direct_commands, heartbeat);
        }
        if verdict == HeartbeatVerdict::Rejected {
            return verdict;
        }
        if !machine.used {
            self.machine_writes.request_use_write();
        }
        log_restart(self.ownership.partition(), order, heartbeat);
        if verdict == HeartbeatVerdict::Accepted {
            machine.record_heartbeat(now);
            self.liveness.record_heartbeat(now);
            self.reconcile_heartbeat(now, heartbeat);
        }
        verdict
    }

    /// Updates the state from an accepted heartbeat or an accepted reply to a direct command.
    pub(super) fn reconcile_heartbeat(&mut self, now: Micros, heartbeat: &Heartbeat) {
        self.liveness.record_contact(now);
        let Some(machine) = self.machines.get_mut(&heartbeat.machine) else {
            return;
        };
        let was_unconfirmed = machine.is_unconfirmed();
        let events = machine.reconcile(now, heartbeat);
        let is_changed = was_unconfirmed || !events.is_empty();
        for event in events {
            self.handle_attempt_event(now, &heartbeat.machine, event);
        }
        if is_changed {
            self.update_usage(&heartbeat.machine);
        }
        if was_unconfirmed {
            self.failover.request_recount();
        }
    }
}

/// Decides whether a heartbeat of an active machine is accepted.
fn verdict(machine: &Machine, order: HeartbeatOrder, heartbeat: &Heartbeat) -> HeartbeatVerdict {
    if order == HeartbeatOrder::Stale {
        // A delayed or duplicated heartbeat does not even show that the machine is alive.
        return HeartbeatVerdict::Rejected;
    }
    if heartbeat.fencing_token > machine.fencing_token() {
        // Another controller owns this machine under a higher term. The worker would drop this
        // owner's response, but keep sending its heartbeats here until its lease expires.
        return HeartbeatVerdict::Rejected;
    }
    if order.is_newer() && machine.shows_term(heartbeat) {
        HeartbeatVerdict::Accepted
    } else {
        HeartbeatVerdict::TokenOutdated
    }
}

/// Logs a heartbeat that a restart of the worker explains.
fn log_restart(partition: PartitionId, order: HeartbeatOrder, heartbeat: &Heartbeat) {
    let machine = &heartbeat.machine;
    match order {
        HeartbeatOrder::NewerAfterRestart => {
            tracing::info!(%partition, %machine, "worker restarted");
        }
        HeartbeatOrder::Ambiguous => {
            tracing::info!(%partition, %machine, "heartbeat of a restarted worker or from before its restart");
        }
        HeartbeatOrder::Newer | HeartbeatOrder::Stale => {}
    }
}

/// Records a stale heartbeat, and requests a direct command if one is needed to find out the state
/// of the worker.
fn record_stale(machine: &mut Machine, queue: &mut DirectCommandQueue, heartbeat: &Heartbeat) {
    machine.record_stale_heartbeat(heartbeat);
    if machine.needs_probe() {
        queue.request(&heartbeat.machine);
    }
}
