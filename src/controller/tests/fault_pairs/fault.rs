//! The faults that histories draw from, and how each begins and ends.

use crate::clock::Micros;
use crate::controller::tests::simulation::Simulation;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// A controller does not reach the store.
    StoreCut,
    /// The store rejects a controller alone.
    StoreRejection,
    /// The store is down for all.
    StoreOutage,
    /// A controller's transactions get no answer and are committed at the end.
    DelayedWrites,
    /// A controller's transactions are committed, but their answers are lost.
    LostWriteAnswers,
    /// A controller does not reach its peers.
    PeerCut,
    /// A controller does not reach the workers, nor they it.
    WorkerCut,
    /// A controller loses the store and its peers, not its workers.
    ControllerIsolation,
    /// A controller's process is paused.
    ProcessPause,
    /// A controller is down.
    ControllerCrash,
    /// All controllers are down.
    CrashOfAllControllers,
    /// A controller restarts at once, at the beginning and at the end.
    ControllerRestart,
    /// A controller's watch fell behind: it lists everything again.
    WatchLoss,
    /// Workers are cut off in both directions.
    WorkerIsolation,
    /// All workers of a zone are cut off in both directions.
    ZoneIsolation,
    /// Heartbeats of workers are lost.
    LostHeartbeats,
    /// Direct commands and answers to workers are lost.
    LostCommands,
    /// Workers are paused.
    WorkerPause,
    /// Workers restart at once.
    WorkerRestart,
    /// Direct commands arrive late.
    DelayedCommands,
    /// Copies of heartbeats arrive late.
    LateHeartbeats,
    /// The cloud gives no answer.
    CloudOutage,
    /// Users cancel all jobs.
    CancellationOfAll,
}

/// All faults, in the order that seeds draw from.
pub const FAULTS: [Fault; 23] = [
    Fault::StoreCut,
    Fault::StoreRejection,
    Fault::StoreOutage,
    Fault::DelayedWrites,
    Fault::LostWriteAnswers,
    Fault::PeerCut,
    Fault::WorkerCut,
    Fault::ControllerIsolation,
    Fault::ProcessPause,
    Fault::ControllerCrash,
    Fault::CrashOfAllControllers,
    Fault::ControllerRestart,
    Fault::WatchLoss,
    Fault::WorkerIsolation,
    Fault::ZoneIsolation,
    Fault::LostHeartbeats,
    Fault::LostCommands,
    Fault::WorkerPause,
    Fault::WorkerRestart,
    Fault::DelayedCommands,
    Fault::LateHeartbeats,
    Fault::CloudOutage,
    Fault::CancellationOfAll,
];

/// A fault with whom it hits and when.
#[derive(Debug)]
pub struct PlannedFault {
    /// The kind.
    pub fault: Fault,
    /// The controller that it hits, if it hits one.
    pub controller: usize,
    /// The workers that it hits, if it hits any.
    pub workers: Vec<usize>,
    /// When it begins.
    pub starts_at: Micros,
    /// When it ends.
    pub ends_at: Micros,
}

impl PlannedFault {
    /// Begins or ends the fault. What users do is up to the history.
    pub fn set(&self, simulation: &mut Simulation, is_on: bool) {
        match self.fault {
            Fault::StoreOutage => simulation.store.is_down = is_on,
            Fault::CrashOfAllControllers if is_on => simulation.crash_all_controllers(),
            Fault::CrashOfAllControllers => simulation.start_all_controllers(),
            Fault::ZoneIsolation => simulation.set_current_workers_isolated("x", is_on),
            Fault::DelayedCommands => {
                simulation.network.holds_commands = is_on;
                for sent in simulation.network.take_held_commands() {
                    let machine = &simulation.workers[sent.worker].id;
                    if !simulation.cloud.is_released(machine) {
                        simulation.deliver_command(&sent);
                    }
                }
            }
            Fault::LateHeartbeats => simulation.network.copies_heartbeats = is_on,
            Fault::CloudOutage => simulation.cloud.is_unreachable = is_on,
            Fault::CancellationOfAll => {}
            Fault::WorkerIsolation
            | Fault::LostHeartbeats
            | Fault::LostCommands
            | Fault::WorkerPause
            | Fault::WorkerRestart => self.set_at_workers(simulation, is_on),
            Fault::StoreCut
            | Fault::StoreRejection
            | Fault::DelayedWrites
            | Fault::LostWriteAnswers
            | Fault::PeerCut
            | Fault::WorkerCut
            | Fault::ControllerIsolation
            | Fault::ProcessPause
            | Fault::ControllerCrash
            | Fault::ControllerRestart
            | Fault::WatchLoss => self.set_at_controller(simulation, is_on),
        }
    }

    fn set_at_controller(&self, simulation: &mut Simulation, is_on: bool) {
        let index = self.controller;
        let controller = &mut simulation.controllers[index];
        match self.fault {
            Fault::StoreCut => controller.faults.is_cut_from_store = is_on,
            Fault::StoreRejection => controller.faults.is_rejected_by_store = is_on,
            Fault::DelayedWrites => {
                controller.faults.has_delayed_writes = is_on;
                if !is_on {
                    simulation.deliver_held_transactions();
                }
            }
            Fault::LostWriteAnswers => controller.faults.loses_write_answers = is_on,
            Fault::PeerCut => controller.faults.is_cut_from_peers = is_on,
            Fault::WorkerCut => controller.faults.is_cut_from_workers = is_on,
            Fault::ControllerIsolation => controller.set_isolated(is_on),
            Fault::ProcessPause => controller.faults.is_paused = is_on,
            Fault::ControllerCrash if is_on => simulation.crash_controller(index),
            Fault::ControllerCrash => simulation.start_controller(index),
            Fault::ControllerRestart => simulation.restart_controller(index),
            Fault::WatchLoss => controller.lose_watch(),
            fault => unreachable!("{fault:?} hits no controller alone"),
        }
    }

    fn set_at_workers(&self, simulation: &mut Simulation, is_on: bool) {
        let now = simulation.now;
        for index in &self.workers {
            let worker = &mut simulation.workers[*index];
            match self.fault {
                Fault::WorkerIsolation => worker.is_isolated = is_on,
                Fault::LostHeartbeats => worker.loses_heartbeats = is_on,
                Fault::LostCommands => worker.is_unreachable = is_on,
                Fault::WorkerPause => worker.is_paused = is_on,
                Fault::WorkerRestart if is_on => worker.restart(now),
                Fault::WorkerRestart => {}
                fault => unreachable!("{fault:?} hits no workers"),
            }
        }
    }
}
