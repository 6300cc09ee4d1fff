//! Direct commands: commands that are sent straight to a machine's worker instead of in the
//! response to a heartbeat.
//!
//! They carry stops that can't wait for the next heartbeat, make workers send the heartbeats that
//! launches wait for, probe machines that are late, and bring the fencing token to machines that
//! have not shown it. At most one direct command to
//! each machine, and a bounded number in all, is in flight at a time.

use super::command_log::{CommandMessage, CommandRoute};
use super::{Effect, OwnedPartition};
use crate::clock::Micros;
use crate::ids::MachineId;
use crate::workers::{DirectCommand, Heartbeat, Machine};
use std::collections::BTreeSet;

/// Shortest interval between two direct commands to one machine.
const MIN_COMMAND_INTERVAL: Micros = Micros::from_millis(150);
/// Time after a direct command that could not be sent until the next one to the same machine.
const SEND_RETRY_INTERVAL: Micros = Micros::from_millis(1_000);
/// Most direct commands in flight at a time, to all machines of the partition.
const MAX_COMMANDS_IN_FLIGHT: usize = 48;
/// Most direct commands that bring the fencing token to one machine after a failover. The first
/// one learns the worker's agent epoch, and the second one is sent under that epoch. Further ones
/// would only pile up behind a network partition, and the machine's next heartbeat has the same
/// effect.
const MAX_TOKEN_COMMANDS: u32 = 2;

/// Machines that may need a direct command, and how many commands are in flight.
#[derive(Default)]
pub(super) struct DirectCommandQueue {
    pending: BTreeSet<MachineId>,
    in_flight: usize,
}

impl DirectCommandQueue {
    /// Adds a machine that may need a direct command.
    pub(super) fn request(&mut self, machine: &MachineId) {
        self.pending.insert(machine.clone());
    }

    /// Returns the number of machines that may need a direct command.
    pub(super) fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Records that a direct command is no longer in flight: it was answered, or it will never be.
    fn complete(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
}

/// Decision about a machine that may need a direct command.
enum NextCommand {
    /// The machine needs none, and leaves the queue.
    Nothing,
    /// None can be sent now. The machine stays in the queue.
    Wait,
    /// This one is sent now.
    Send(DirectCommand),
}

impl OwnedPartition {
    /// Returns the direct commands that are to be sent now. A bounded number is in flight at a
    /// time, and none is sent during a hand-back.
    pub fn take_direct_commands(&mut self, now: Micros) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.is_being_handed_back() {
            return effects;
        }
        let heartbeat_timeout = self.heartbeat_timeout();
        let mut not_needed = Vec::new();
        for id in &self.direct_commands.pending {
            if self.direct_commands.in_flight + effects.len() >= MAX_COMMANDS_IN_FLIGHT {
                break;
            }
            let machine = self.machines.get_mut(id);
            let active = machine.filter(|machine| machine.is_active());
            let Some(machine) = active else {
                not_needed.push(id.clone());
                continue;
            };
            match next_command(machine, now, heartbeat_timeout) {
                NextCommand::Nothing => not_needed.push(id.clone()),
                NextCommand::Wait => {}
                NextCommand::Send(command) => {
                    let message = CommandMessage {
                        partition: self.ownership.partition(),
                        machine: id,
                        route: CommandRoute::Direct,
                        token: command.fencing_token,
                        agent_epoch: command.agent_epoch,
                    };
                    message.log(&command.commands);
                    let addr = machine.spec.addr.clone();
                    effects.push(Effect::SendDirectCommand(id.clone(), addr, command));
                }
            }
        }
        for id in not_needed {
            self.direct_commands.pending.remove(&id);
        }
        self.direct_commands.in_flight += effects.len();
        effects
    }

    /// Handles the reply to a direct command, which is a new heartbeat of the worker. `reply` is
    /// `None` if there was no reply: the command may still arrive.
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
        machine.record_direct_command_reply(&heartbeat);
        if machine.has_restarted(&heartbeat) {
            tracing::info!(partition = %self.ownership.partition(), machine = %id, "worker restarted");
            machine.record_restart(now, &heartbeat);
        } else if !machine.shows_term(&heartbeat) {
            machine.record_stale_heartbeat(&heartbeat);
            machine.cancel_probe();
        } else {
            if machine.order(&heartbeat).is_newer() {
                self.reconcile_heartbeat(now, &heartbeat);
            }
            if let Some(machine) = self.machines.get_mut(id) {
                machine.fence_heartbeats_unless_running(&heartbeat);
            }
        }
        self.direct_commands.request(id);
    }

    /// Handles the failure to send a direct command. The command can't arrive later, so nothing
    /// has to be fenced.
    pub fn handle_direct_command_not_sent(&mut self, now: Micros, id: &MachineId) {
        self.direct_commands.complete();
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        // The machine is unreachable. The tasks that were to start on it start elsewhere, and no
        // more are launched on it until it sends a heartbeat.
        machine.record_direct_command_not_sent(now + SEND_RETRY_INTERVAL);
        self.withdraw_unsent_launches(id);
    }

    /// Withdraws the launches that were sent to a machine in no message, and requeues their tasks.
    pub(super) fn withdraw_unsent_launches(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let withdrawn = machine.withdraw_unsent_launches();
        self.update_usage(id);
        for key in withdrawn {
            self.requeue(&key, id);
        }
    }
}

/// Decides whether a machine is sent a direct command now. If so, records on the machine that it
/// was sent.
fn next_command(machine: &mut Machine, now: Micros, heartbeat_timeout: Micros) -> NextCommand {
    let needs_token = machine.is_unconfirmed() && machine.token_commands() < MAX_TOKEN_COMMANDS;
    let is_reachable = machine.has_no_command_in_transit()
        && machine
            .last_contact_at()
            .is_some_and(|contact_at| now.since(contact_at) < heartbeat_timeout);
    let is_needed = machine.needs_direct_command(now)
        && (is_reachable && machine.has_known_agent_epoch() || machine.needs_probe());
    if !needs_token && !is_needed || machine.spec.addr.is_empty() {
        return if machine.has_direct_command_in_flight() || machine.has_unsent_launch() {
            NextCommand::Wait
        } else {
            NextCommand::Nothing
        };
    }
    if machine.has_direct_command_in_flight() || now < machine.next_direct_command_at() {
        return NextCommand::Wait;
    }
    machine.record_direct_command_sent(needs_token, now + MIN_COMMAND_INTERVAL);
    // Only reachable machines get worker commands. For the others, the direct command only
    // carries the fencing token or probes the worker.
    let commands = if is_reachable {
        machine.direct_commands(now)
    } else {
        Vec::new()
    };
    NextCommand::Send(DirectCommand {
        fencing_token: machine.fencing_token(),
        agent_epoch: machine.target_agent_epoch(),
        commands,
    })
}
