//! Commands that are sent straight to machines: what no answer to a heartbeat carried, probes,
//! and the fencing token to machines that have not seen it.

use super::{Effect, OwnedPartition};
use crate::clock::Micros;
use crate::ids::MachineId;
use crate::workers::{CommandRoute, DirectCommand, Heartbeat, Machine};
use std::collections::BTreeSet;

/// Between two direct commands to one machine.
const MIN_COMMAND_INTERVAL: Micros = Micros::from_millis(150);
/// After a direct command that could not be sent.
const SEND_RETRY_INTERVAL: Micros = Micros::from_millis(1_000);
/// Direct commands that are in flight at once.
const MAX_COMMANDS_IN_FLIGHT: usize = 48;
/// Direct commands that carry the fencing token after a failover: one to learn the agent
/// epoch, one under it. More would only pile up behind a network cut, and the machine's own
/// next heartbeat does as well.
const MAX_TOKEN_COMMANDS: u32 = 2;

/// Machines that may need a direct command, and how many commands are in flight.
#[derive(Default)]
pub(super) struct DirectCommandQueue {
    pending: BTreeSet<MachineId>,
    in_flight: usize,
}

impl DirectCommandQueue {
    /// A machine may need a direct command.
    pub(super) fn request(&mut self, machine: &MachineId) {
        self.pending.insert(machine.clone());
    }

    /// How many machines may need a direct command.
    pub(super) fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// A direct command was answered, or never will be.
    fn complete(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

/// What a machine that may need a direct command gets now.
enum NextCommand {
    /// Nothing, until it is requested again.
    Nothing,
    /// Perhaps one later.
    Wait,
    /// This one.
    Send(DirectCommand),
}

impl OwnedPartition {
    /// Direct commands that are to be sent now. A bounded number is in flight at a time.
    pub fn take_direct_commands(&mut self, now: Micros) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.is_being_handed_back() {
            return effects;
        }
        let heartbeat_timeout = self.heartbeat_timeout();
        let mut settled = Vec::new();
        for id in &self.direct_commands.pending {
            if self.direct_commands.in_flight + effects.len() >= MAX_COMMANDS_IN_FLIGHT {
                break;
            }
            let machine = self.machines.get_mut(id);
            let active = machine.filter(|machine| machine.is_active());
            let Some(machine) = active else {
                settled.push(id.clone());
                continue;
            };
            match next_command(machine, now, heartbeat_timeout) {
                NextCommand::Nothing => settled.push(id.clone()),
                NextCommand::Wait => {}
                NextCommand::Send(command) => {
                    let addr = machine.spec.addr.clone();
                    effects.push(Effect::SendDirectCommand(id.clone(), addr, command));
                }
            }
        }
        for id in settled {
            self.direct_commands.pending.remove(&id);
        }
        self.direct_commands.in_flight += effects.len();
        effects
    }

    /// The reply to a direct command, which is a fresh heartbeat; none: it had no answer.
    pub fn handle_direct_command_reply(
        &mut self,
        now: Micros,
        id: &MachineId,
        reply: Option<Heartbeat>,
    ) {
        self.direct_commands.complete();
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(heartbeat) = reply.filter(|heartbeat| heartbeat.machine == *id) else {
            machine.record_direct_command_lost();
            return;
        };
        machine.record_direct_command_reply();
        // Refused for its agent epoch: sent again under the right one. A higher token than
        // ours means that we are fenced, so not then.
        if heartbeat.fencing_token <= machine.fencing_token() {
            machine.resend_launches();
        }
        if machine.has_restarted(&heartbeat) {
            tracing::info!(partition = %self.ownership.partition(), machine = %id, "worker restarted");
            machine.record_restart(now, &heartbeat);
        } else if !machine.shows_term(&heartbeat) {
            machine.record_stale_heartbeat(&heartbeat);
            machine.cancel_probe();
        } else if machine.is_newer(&heartbeat) {
            self.reconcile_heartbeat(now, &heartbeat);
        }
        self.direct_commands.request(id);
    }

    /// A direct command surely did not go out: there is nothing to fence.
    pub fn handle_direct_command_not_sent(&mut self, now: Micros, id: &MachineId) {
        self.direct_commands.complete();
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        // It can't be reached: what was to start there starts elsewhere, and nothing
        // more is tried there until it sends a heartbeat.
        let abandoned = machine.record_direct_command_not_sent(now + SEND_RETRY_INTERVAL);
        self.update_usage(id);
        for key in abandoned {
            self.requeue(&key, id);
        }
    }
}

/// The direct command that a machine needs now, if any, recorded there as sent.
fn next_command(machine: &mut Machine, now: Micros, heartbeat_timeout: Micros) -> NextCommand {
    let needs_token = machine.is_unconfirmed() && machine.token_commands() < MAX_TOKEN_COMMANDS;
    let is_reachable = machine.has_no_command_in_transit()
        && machine
            .last_contact_at()
            .is_some_and(|heard_at| now.since(heard_at) < heartbeat_timeout);
    let is_needed = machine.needs_direct_command()
        && (is_reachable && machine.has_known_agent_epoch() || machine.needs_probe());
    if !needs_token && !is_needed || machine.spec.addr.is_empty() {
        return if machine.has_direct_command_in_flight() {
            NextCommand::Wait
        } else {
            NextCommand::Nothing
        };
    }
    if machine.has_direct_command_in_flight() || now < machine.next_direct_command_at() {
        return NextCommand::Wait;
    }
    machine.record_direct_command_sent(needs_token, now + MIN_COMMAND_INTERVAL);
    // A direct command goes out under the token that was shown; work only to machines
    // whose heartbeats count.
    let commands = if is_reachable {
        machine.commands(CommandRoute::Direct)
    } else {
        Vec::new()
    };
    NextCommand::Send(DirectCommand {
        fencing_token: machine.fencing_token(),
        agent_epoch: machine.target_agent_epoch(),
        commands,
    })
}
