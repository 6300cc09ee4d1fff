//! Heartbeats of workers: which of them are accepted, what follows from them, and the answer.

use super::OwnedPartition;
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::workers::{CommandRoute, Heartbeat, HeartbeatResponse};

/// What becomes of a heartbeat.
#[derive(Clone, Copy, PartialEq, Eq)]
enum HeartbeatVerdict {
    /// It must not be answered as valid.
    Rejected,
    /// It does not show our term yet: it is answered with the fencing token and nothing else,
    /// and the next one will show it.
    BeforeTerm,
    /// It was taken in, and is answered with commands.
    Accepted,
}

impl OwnedPartition {
    /// Takes in a worker's heartbeat, which holds its lease until then. None: it gets no valid
    /// answer from us.
    pub fn handle_heartbeat(
        &mut self,
        now: Micros,
        wall_clock: Micros,
        fleet: Resources,
        until: Micros,
        heartbeat: &Heartbeat,
    ) -> Option<HeartbeatResponse> {
        if self.is_being_handed_back() {
            return None;
        }
        let is_accepted = match self.receive_heartbeat(now, heartbeat) {
            HeartbeatVerdict::Rejected => return None,
            HeartbeatVerdict::BeforeTerm => false,
            HeartbeatVerdict::Accepted => true,
        };
        if is_accepted {
            self.refill_machine(now, wall_clock, fleet, &heartbeat.machine);
        }
        let machine = self.machines.get_mut(&heartbeat.machine)?;
        machine.record_response(now, heartbeat);
        let commands = if is_accepted {
            machine.commands(CommandRoute::Response)
        } else {
            Vec::new()
        };
        Some(HeartbeatResponse {
            fencing_token: machine.fencing_token(),
            commands,
            valid_until: until,
        })
    }

    fn receive_heartbeat(&mut self, now: Micros, heartbeat: &Heartbeat) -> HeartbeatVerdict {
        let machine = self.machines.get_mut(&heartbeat.machine);
        let Some(machine) = machine.filter(|machine| machine.is_active()) else {
            return HeartbeatVerdict::Rejected;
        };
        if !machine.is_newer(heartbeat) {
            // A late copy is older than what is known: it says nothing, not even
            // that the machine lives.
            machine.record_stale_heartbeat(heartbeat);
            if machine.needs_probe() {
                self.direct_commands.request(&heartbeat.machine);
            }
            return HeartbeatVerdict::Rejected;
        }
        if heartbeat.fencing_token > machine.fencing_token() {
            // Another controller owns this machine under a higher term: the worker would drop
            // our answer, and stay here while its lease expires.
            return HeartbeatVerdict::Rejected;
        }
        if !machine.used {
            self.machine_writes.request_use_write();
        }
        if !machine.shows_term(heartbeat) {
            machine.record_stale_heartbeat(heartbeat);
            return HeartbeatVerdict::BeforeTerm;
        }
        machine.record_heartbeat(now);
        self.liveness.record_heartbeat(now);
        self.reconcile_heartbeat(now, heartbeat);
        HeartbeatVerdict::Accepted
    }

    /// Takes in an accepted heartbeat, or an accepted reply to a direct command.
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
