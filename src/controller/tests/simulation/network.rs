//! Faults of the network and of processes: links that are cut, and messages that are held
//! back, lost or copied.
//!
//! This module owns the messages in transit. It never changes the content of a message.

use super::Simulation;
use crate::api::channels::HeartbeatAnswer;
use crate::controller::messages::{DirectAnswer, Input, StoreOperation};
use crate::ids::MachineId;
use crate::store::{Compare, Mutation, Reply, Request};
use crate::workers::{DirectCommand, Heartbeat};
use std::collections::BTreeSet;

/// Request identifier of late heartbeat copies, which no worker waits to be answered.
const LATE_HEARTBEAT_REQUEST: u64 = 9;

/// Active faults of one controller and its links.
#[derive(Default)]
pub struct ControllerFaults {
    /// Requests of the controller do not reach the store.
    pub is_cut_from_store: bool,
    /// The store rejects the requests of this controller only.
    pub is_rejected_by_store: bool,
    /// Transactions of the controller get no answer, and are committed only when the fault ends.
    pub has_delayed_writes: bool,
    /// Transactions of the controller are committed, but the store's answers are lost.
    pub loses_write_answers: bool,
    /// The controller and its peers do not receive each other's messages.
    pub is_cut_from_peers: bool,
    /// The controller and the workers do not receive each other's messages.
    pub is_cut_from_workers: bool,
    /// The controller's process is paused while its clock advances.
    pub is_paused: bool,
}

/// A transaction in transit.
#[derive(Debug, Clone)]
pub struct HeldTransaction {
    /// Key revisions that the transaction requires.
    pub compares: Vec<Compare>,
    /// Mutations that the transaction commits.
    pub mutations: Vec<Mutation>,
}

/// A direct command in transit to a worker.
#[derive(Clone)]
pub struct SentCommand {
    /// Index of the worker.
    pub worker: usize,
    /// The command.
    pub command: DirectCommand,
}

/// Messages that are held back or copied in transit, and the faults that apply to them.
#[derive(Default)]
pub struct NetworkFaults {
    /// Transactions that got no answer and have not reached the store yet.
    pub held_transactions: Vec<HeldTransaction>,
    /// Whether the transactions of partition owners are held back.
    pub holds_owner_transactions: bool,
    /// Direct commands that got no answer and have not reached their worker yet.
    pub held_commands: Vec<SentCommand>,
    /// Whether direct commands are held back.
    pub holds_commands: bool,
    /// Direct commands that reached their worker, in its present process or in an earlier one. A
    /// test may deliver copies of them again.
    pub delivered_commands: Vec<SentCommand>,
    /// Whether heartbeats are copied for late delivery. Heartbeats that an isolated worker could
    /// not send are copied, too.
    pub copies_heartbeats: bool,
    /// Copies of heartbeats that have not been delivered yet.
    pub heartbeat_copies: Vec<Heartbeat>,
    /// Isolated zones. Machines that are added to them later are isolated, too.
    pub isolated_zones: BTreeSet<&'static str>,
}

impl NetworkFaults {
    fn hold_transaction(&mut self, request: &Request) -> bool {
        let Request::CompareAndSwap {
            compares,
            mutations,
        } = request
        else {
            return false;
        };
        self.held_transactions.push(HeldTransaction {
            compares: compares.clone(),
            mutations: mutations.clone(),
        });
        true
    }

    /// Removes and returns the transactions that are held back.
    pub fn take_held_transactions(&mut self) -> Vec<HeldTransaction> {
        std::mem::take(&mut self.held_transactions)
    }

    /// Removes and returns the direct commands that are held back.
    pub fn take_held_commands(&mut self) -> Vec<SentCommand> {
        std::mem::take(&mut self.held_commands)
    }

    /// Keeps a copy of a heartbeat if `copies_heartbeats` is set.
    pub fn copy_heartbeat(&mut self, heartbeat: &Heartbeat) {
        if self.copies_heartbeats {
            self.heartbeat_copies.push(heartbeat.clone());
        }
    }
}

impl Simulation {
    /// Sends a controller's request to the store, subject to the active faults, and returns the
    /// reply that the controller receives.
    pub(super) fn send_to_store(
        &mut self,
        controller: usize,
        operation: &StoreOperation,
        request: Request,
    ) -> Reply {
        let faults = &self.controllers[controller].faults;
        if faults.is_cut_from_store {
            return Reply::Indeterminate;
        }
        if faults.is_rejected_by_store {
            return Reply::Rejected;
        }
        if faults.has_delayed_writes && self.network.hold_transaction(&request) {
            return Reply::Indeterminate;
        }
        if faults.loses_write_answers && matches!(request, Request::CompareAndSwap { .. }) {
            self.store.handle_request(self.now, request);
            return Reply::Indeterminate;
        }
        if self.network.holds_owner_transactions
            && matches!(operation, StoreOperation::PartitionWrite { .. })
            && self.network.hold_transaction(&request)
        {
            return Reply::Indeterminate;
        }
        self.store.handle_request(self.now, request)
    }

    /// Sends a direct command to a worker, subject to the active faults, and returns the answer
    /// that the controller receives.
    pub(super) fn send_command(
        &mut self,
        machine: &MachineId,
        command: DirectCommand,
    ) -> DirectAnswer {
        let Some(index) = self.workers.iter().position(|worker| worker.id == *machine) else {
            return DirectAnswer::NotSent;
        };
        if self.network.holds_commands {
            self.network.held_commands.push(SentCommand {
                worker: index,
                command,
            });
            return DirectAnswer::Indeterminate;
        }
        let worker = &mut self.workers[index];
        if worker.is_isolated || worker.is_unreachable || self.cloud.is_released(machine) {
            return DirectAnswer::NotSent;
        }
        if worker.is_paused {
            worker.queue_command(command);
            return DirectAnswer::Indeterminate;
        }
        self.network.delivered_commands.push(SentCommand {
            worker: index,
            command: command.clone(),
        });
        let answer = worker.handle_command(self.now, &command);
        if worker.loses_command_answers {
            return DirectAnswer::Indeterminate;
        }
        DirectAnswer::Heartbeat(answer)
    }

    /// Delivers the transactions that are held back to the store and discards its replies.
    pub fn deliver_held_transactions(&mut self) {
        let held = self.network.take_held_transactions();
        self.deliver_transactions(held);
    }

    /// Delivers delayed transactions to the store and discards its replies.
    pub fn deliver_transactions(&mut self, transactions: Vec<HeldTransaction>) {
        for held in transactions {
            self.store.compare_and_swap(&held.compares, held.mutations);
        }
    }

    /// Delivers a direct command to its worker, late or for a second time.
    pub fn deliver_command(&mut self, sent: &SentCommand) {
        self.workers[sent.worker].handle_command(self.now, &sent.command);
    }

    /// Delivers copies of all direct commands that ever reached a worker, and checks all
    /// invariants after each of them.
    pub fn deliver_command_copies(&mut self, worker: usize) {
        let copies = self.network.delivered_commands.clone();
        for copy in copies.iter().filter(|copy| copy.worker == worker) {
            self.deliver_command(copy);
            self.check_invariants();
        }
    }

    /// Restarts a worker's process. The direct commands that were held back on their way to the old
    /// process are lost, because its connections end with it. Copies of those that it executed may
    /// still reach the new process.
    pub fn restart_worker(&mut self, index: usize) {
        self.workers[index].restart(self.now);
        self.network
            .held_commands
            .retain(|sent| sent.worker != index);
    }

    /// Delivers a late copy of a heartbeat to a controller and returns its answer. Returns `None`
    /// if the controller is not running.
    pub fn deliver_late_heartbeat(
        &mut self,
        controller: usize,
        heartbeat: &Heartbeat,
    ) -> Option<HeartbeatAnswer> {
        let input = Input::Heartbeat {
            heartbeat: heartbeat.clone(),
            request_id: LATE_HEARTBEAT_REQUEST,
        };
        self.handle_input(controller, input)
    }

    /// Isolates or reconnects all workers of a zone, including workers that are added later.
    pub fn set_zone_isolated(&mut self, zone: &'static str, is_isolated: bool) {
        if is_isolated {
            self.network.isolated_zones.insert(zone);
        } else {
            self.network.isolated_zones.remove(zone);
        }
        self.set_current_workers_isolated(zone, is_isolated);
    }

    /// Isolates or reconnects the current workers of a zone. Workers that are added later are not
    /// affected.
    pub fn set_current_workers_isolated(&mut self, zone: &str, is_isolated: bool) {
        for worker in self.workers.iter_mut().filter(|worker| worker.zone == zone) {
            worker.is_isolated = is_isolated;
        }
    }

    /// Isolates or reconnects all current workers.
    pub fn set_workers_isolated(&mut self, is_isolated: bool) {
        for worker in &mut self.workers {
            worker.is_isolated = is_isolated;
        }
    }
}
