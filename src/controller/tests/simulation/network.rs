//! Faults of the network and of processes: what is cut, held back, lost or copied on its
//! way. It owns the messages in transit, and must never change one.

use super::Simulation;
use crate::api::ports::HeartbeatAnswer;
use crate::controller::messages::{DirectAnswer, Input, StoreOperation};
use crate::ids::MachineId;
use crate::store::{Compare, Mutation, Reply, Request};
use crate::workers::{DirectCommand, Heartbeat};
use std::collections::BTreeSet;

/// The request identifier of heartbeats whose answer nobody reads.
const LATE_HEARTBEAT_REQUEST: u64 = 9;

/// Faults of one controller and its links.
#[derive(Default)]
pub struct ControllerFaults {
    /// It does not reach the store.
    pub is_cut_from_store: bool,
    /// The store rejects its requests alone.
    pub is_rejected_by_store: bool,
    /// Its transactions get no answer and are committed once this ends.
    pub has_delayed_writes: bool,
    /// Its transactions are committed, but their answers are lost.
    pub loses_write_answers: bool,
    /// It does not reach the other controllers.
    pub is_cut_from_peers: bool,
    /// It does not reach the workers, nor they it.
    pub is_cut_from_workers: bool,
    /// Its process is paused while its clock runs on.
    pub is_paused: bool,
}

/// A transaction in transit.
#[derive(Debug, Clone)]
pub struct HeldTransaction {
    /// Its conditions.
    pub compares: Vec<Compare>,
    /// Its changes.
    pub mutations: Vec<Mutation>,
}

/// A direct command on its way to a worker.
#[derive(Clone)]
pub struct SentCommand {
    /// The index of the worker.
    pub worker: usize,
    /// The command.
    pub command: DirectCommand,
}

/// Messages that are held back or copied.
#[derive(Default)]
pub struct NetworkFaults {
    /// Transactions without an answer, to be committed later.
    pub held_transactions: Vec<HeldTransaction>,
    /// Transactions of partition owners are held back.
    pub holds_owner_transactions: bool,
    /// Direct commands that were held back.
    pub held_commands: Vec<SentCommand>,
    /// Direct commands are held back.
    pub holds_commands: bool,
    /// Those that were executed: a copy of any may arrive again.
    pub delivered_commands: Vec<SentCommand>,
    /// Heartbeats are copied, and those that a cut stops are kept, to arrive late.
    pub copies_heartbeats: bool,
    /// The copies so far.
    pub heartbeat_copies: Vec<Heartbeat>,
    /// Machines that are added to these zones are isolated, too.
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

    /// The transactions held back so far, which are held no longer.
    pub fn take_held_transactions(&mut self) -> Vec<HeldTransaction> {
        std::mem::take(&mut self.held_transactions)
    }

    /// The direct commands held back so far, which are held no longer.
    pub fn take_held_commands(&mut self) -> Vec<SentCommand> {
        std::mem::take(&mut self.held_commands)
    }

    /// Keeps a copy of a heartbeat if they are copied.
    pub fn copy_heartbeat(&mut self, heartbeat: &Heartbeat) {
        if self.copies_heartbeats {
            self.heartbeat_copies.push(heartbeat.clone());
        }
    }
}

impl Simulation {
    /// Carries a request of a controller to the store, as far as the faults allow.
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

    /// Carries a direct command to a worker, as far as the faults allow.
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
        DirectAnswer::Heartbeat(worker.handle_command(&command))
    }

    /// The transactions held back so far reach the store; its replies are lost.
    pub fn deliver_held_transactions(&mut self) {
        let held = self.network.take_held_transactions();
        self.deliver_transactions(held);
    }

    /// Delayed transactions reach the store; its replies are lost.
    pub fn deliver_transactions(&mut self, transactions: Vec<HeldTransaction>) {
        for held in transactions {
            self.store.compare_and_swap(&held.compares, held.mutations);
        }
    }

    /// A direct command reaches its worker late, or once more.
    pub fn deliver_command(&mut self, sent: &SentCommand) {
        self.workers[sent.worker].handle_command(&sent.command);
    }

    /// A copy of a heartbeat reaches a controller late.
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

    /// Cuts all workers of a zone off, those that are added later too, or connects them.
    pub fn set_zone_isolated(&mut self, zone: &'static str, is_isolated: bool) {
        if is_isolated {
            self.network.isolated_zones.insert(zone);
        } else {
            self.network.isolated_zones.remove(zone);
        }
        self.set_current_workers_isolated(zone, is_isolated);
    }

    /// Cuts the workers of a zone off that are there now, or connects them.
    pub fn set_current_workers_isolated(&mut self, zone: &str, is_isolated: bool) {
        for worker in self.workers.iter_mut().filter(|worker| worker.zone == zone) {
            worker.is_isolated = is_isolated;
        }
    }

    /// Cuts all workers off, or connects them.
    pub fn set_workers_isolated(&mut self, is_isolated: bool) {
        for worker in &mut self.workers {
            worker.is_isolated = is_isolated;
        }
    }
}
