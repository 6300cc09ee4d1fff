//! The faults from which histories are drawn, and how each fault is injected and removed.

use crate::clock::Micros;
use crate::controller::tests::simulation::Simulation;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// A controller's requests do not reach the store.
    StoreCut,
    /// The store rejects the requests of one controller only.
    StoreRejection,
    /// The store rejects all requests.
    StoreOutage,
    /// A controller's transactions get no answer, and are committed when the fault ends.
    DelayedWrites,
    /// A controller's transactions are committed, but the store's answers are lost.
    LostWriteAnswers,
    /// A controller and its peers do not receive each other's messages.
    PeerCut,
    /// A controller and the workers do not receive each other's messages.
    WorkerCut,
    /// A controller is isolated from the store and its peers, but not from the workers.
    ControllerIsolation,
    /// A controller's process is paused.
    ProcessPause,
    /// A controller's process crashes, and starts again when the fault ends.
    ControllerCrash,
    /// All controllers crash, and start again when the fault ends.
    CrashOfAllControllers,
    /// A controller restarts immediately, both when the fault starts and when it ends.
    ControllerRestart,
    /// A controller loses its watch of the store and lists the whole store again, both when the
    /// fault starts and when it ends.
    WatchLoss,
    /// Messages from and to some workers are lost.
    WorkerIsolation,
    /// Messages from and to all workers of a zone are lost.
    ZoneIsolation,
    /// Heartbeats of some workers are lost.
    LostHeartbeats,
    /// Direct commands and heartbeat answers to some workers are lost.
    LostCommands,
    /// The processes of some workers are paused.
    WorkerPause,
    /// The processes of some workers restart immediately when the fault starts.
    WorkerRestart,
    /// Direct commands get no answer, and arrive when the fault ends.
    DelayedCommands,
    /// Heartbeats are copied, and the copies arrive late.
    LateHeartbeats,
    /// The cloud does not answer.
    CloudOutage,
    /// Users cancel all jobs when the fault starts.
    CancellationOfAll,
}

/// All faults. Their order determines which fault a seed draws.
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

/// A fault with its targets, start and end.
#[derive(Debug)]
pub struct PlannedFault {
    /// Kind of the fault.
    pub fault: Fault,
    /// Index of the target controller. Ignored if the fault has no single target controller.
    pub controller: usize,
    /// Indices of the target workers. Ignored if the fault does not target individual workers.
    pub workers: Vec<usize>,
    /// Start time of the fault.
    pub starts_at: Micros,
    /// End time of the fault.
    pub ends_at: Micros,
}

impl PlannedFault {
    /// Injects or removes the fault. The history itself performs the users' actions.
    pub fn set_active(&self, simulation: &mut Simulation, is_active: bool) {
        match self.fault {
            Fault::StoreOutage => simulation.store.is_down = is_active,
            Fault::CrashOfAllControllers if is_active => simulation.crash_all_controllers(),
            Fault::CrashOfAllControllers => simulation.start_all_controllers(),
            Fault::ZoneIsolation => simulation.set_current_workers_isolated("x", is_active),
            Fault::DelayedCommands => {
                simulation.network.holds_commands = is_active;
                for sent in simulation.network.take_held_commands() {
                    let machine = &simulation.workers[sent.worker].id;
                    if !simulation.cloud.is_released(machine) {
                        simulation.deliver_command(&sent);
                    }
                }
            }
            Fault::LateHeartbeats => simulation.network.copies_heartbeats = is_active,
            Fault::CloudOutage => simulation.cloud.is_unreachable = is_active,
            Fault::CancellationOfAll => {}
            Fault::WorkerIsolation
            | Fault::LostHeartbeats
            | Fault::LostCommands
            | Fault::WorkerPause
            | Fault::WorkerRestart => self.set_at_workers(simulation, is_active),
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
            | Fault::WatchLoss => self.set_at_controller(simulation, is_active),
        }
    }

    fn set_at_controller(&self, simulation: &mut Simulation, is_active: bool) {
        let index = self.controller;
        let controller = &mut simulation.controllers[index];
        match self.fault {
            Fault::StoreCut => controller.faults.is_cut_from_store = is_active,
            Fault::StoreRejection => controller.faults.is_rejected_by_store = is_active,
            Fault::DelayedWrites => {
                controller.faults.has_delayed_writes = is_active;
                if !is_active {
                    simulation.deliver_held_transactions();
                }
            }
            Fault::LostWriteAnswers => controller.faults.loses_write_answers = is_active,
            Fault::PeerCut => controller.faults.is_cut_from_peers = is_active,
            Fault::WorkerCut => controller.faults.is_cut_from_workers = is_active,
            Fault::ControllerIsolation => controller.set_isolated(is_active),
            Fault::ProcessPause => controller.faults.is_paused = is_active,
            Fault::ControllerCrash if is_active => simulation.crash_controller(index),
            Fault::ControllerCrash => simulation.start_controller(index),
            Fault::ControllerRestart => simulation.restart_controller(index),
            Fault::WatchLoss => controller.lose_watch(),
            fault => unreachable!("{fault:?} does not target a single controller"),
        }
    }

    fn set_at_workers(&self, simulation: &mut Simulation, is_active: bool) {
        let now = simulation.now;
        for index in &self.workers {
            let worker = &mut simulation.workers[*index];
            match self.fault {
                Fault::WorkerIsolation => worker.is_isolated = is_active,
                Fault::LostHeartbeats => worker.loses_heartbeats = is_active,
                Fault::LostCommands => worker.is_unreachable = is_active,
                Fault::WorkerPause => worker.is_paused = is_active,
                Fault::WorkerRestart if is_active => worker.restart(now),
                Fault::WorkerRestart => {}
                fault => unreachable!("{fault:?} does not target individual workers"),
            }
        }
    }
}
