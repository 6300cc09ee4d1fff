//! Random orders of events at workers, drawn from a seed: restarts beside late heartbeats, lost
//! answers, direct commands that are held back, and copies of direct commands that were executed.
//!
//! All machines are new, so that a restarted worker soon counts past the known position, and the
//! cloud cannot release any. All invariants are checked after each step of the simulation, first of
//! all that no task runs on two machines. After the events, all jobs must end.
//!
//! `WORKER_HISTORIES=1000..9000 cargo test --release worker_histories` runs other seeds.

mod event;

use super::seeds::seeds;
use super::simulation::{ExitCause, Simulation, secs};
use crate::clock::Micros;
use crate::jobs::tests::job_desc;
use crate::workers::Heartbeat;
use event::{EVENT_WEIGHTS, Event, Fault};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Number of tests among which the seeds are divided, so that they run in parallel.
const PARTS: u64 = 4;
/// Range of seeds, end exclusive, that are run unless `WORKER_HISTORIES` is set.
const SEEDS: (u64, u64) = (0, 400);
/// Number of controllers.
const CONTROLLERS: usize = 2;
/// Number of machines.
const MACHINES: usize = 2;
/// Number of events of a history.
const EVENTS: usize = 60;
/// Probability that an event hits the same worker as the event before.
const SAME_WORKER: f64 = 0.7;
/// Times in seconds between two events, from which one is drawn.
const GAPS_S: [f64; 6] = [0.1, 0.3, 0.7, 1.5, 2.5, 8.0];
/// Durations in seconds of the faults of a worker, from which one is drawn.
const FAULT_DURATIONS_S: [f64; 4] = [1.0, 4.0, 12.0, 45.0];
/// Largest number of heartbeats that the network holds back before a worker restarts.
const MAX_HELD_HEARTBEATS: usize = 6;
/// Maximum time in seconds from the end of the faults until all jobs have ended: a worker lease, and
/// a heartbeat timeout for each of a few placements.
const MAX_SECONDS_TO_END: usize = 150;

/// A fault that lasts.
struct ActiveFault {
    fault: Fault,
    worker: usize,
    ends_at: Micros,
}

/// A simulation and the generator of its events.
struct WorkerHistory {
    simulation: Simulation,
    rng: StdRng,
    jobs: Vec<String>,
    faults: Vec<ActiveFault>,
    /// Heartbeats that were sent before a restart of their worker and have not arrived yet.
    held_heartbeats: Vec<Heartbeat>,
}

impl WorkerHistory {
    fn new(seed: u64) -> WorkerHistory {
        let mut simulation = Simulation::started(CONTROLLERS, 0);
        simulation.add_machines(MACHINES);
        // The machines are recorded before their workers send the first heartbeat.
        for worker in &mut simulation.workers {
            worker.next_heartbeat_at = simulation.now + secs(5.0);
        }
        simulation.network.copies_heartbeats = true;
        simulation.advance(7.0);
        simulation.cloud.is_unreachable = true;
        WorkerHistory {
            simulation,
            rng: StdRng::seed_from_u64(seed),
            jobs: Vec::new(),
            faults: Vec::new(),
            held_heartbeats: Vec::new(),
        }
    }

    fn run(&mut self) {
        let mut worker = 0;
        for _ in 0..EVENTS {
            if !self.rng.random_bool(SAME_WORKER) {
                worker = self.rng.random_range(0..MACHINES);
            }
            let drawn = EVENT_WEIGHTS.choose_weighted(&mut self.rng, |(_, weight)| *weight);
            let (event, _) = *drawn.expect("an event");
            println!("{:?} {event:?} worker {worker}", self.simulation.now);
            self.apply(event, worker);
            self.simulation.check_invariants();
            let gap_s = *GAPS_S.choose(&mut self.rng).expect("a gap");
            self.simulation.advance(gap_s);
            self.end_faults();
        }
        self.finish();
    }

    fn apply(&mut self, event: Event, index: usize) {
        match event {
            Event::WorkerRestart => self.restart_worker(index),
            Event::Fault(fault) => self.begin_fault(fault, index),
            Event::HeldCommands => {
                let network = &mut self.simulation.network;
                network.holds_commands = !network.holds_commands;
            }
            Event::LateCommand => self.deliver_late_command(),
            Event::CommandCopies => self.simulation.deliver_command_copies(index),
            Event::LateHeartbeat => self.deliver_late_heartbeat(),
            Event::Submission => self.submit(),
            Event::Cancellation => self.cancel(),
            Event::Completion => self.simulation.exit_all_on(index, ExitCause::Done),
            Event::Failure => self.simulation.exit_all_on(index, ExitCause::Error),
            Event::ControllerRestart => {
                let controller = self.rng.random_range(0..CONTROLLERS);
                self.simulation.restart_controller(controller);
            }
        }
    }

    fn restart_worker(&mut self, index: usize) {
        let held = self.rng.random_range(0..=MAX_HELD_HEARTBEATS);
        let worker = &mut self.simulation.workers[index];
        self.held_heartbeats
            .extend((0..held).map(|_| worker.heartbeat()));
        self.simulation.restart_worker(index);
    }

    fn begin_fault(&mut self, fault: Fault, worker: usize) {
        let duration_s = *FAULT_DURATIONS_S.choose(&mut self.rng).expect("a duration");
        self.set_active(fault, worker, true);
        self.faults.push(ActiveFault {
            fault,
            worker,
            ends_at: self.simulation.now + secs(duration_s),
        });
    }

    fn end_faults(&mut self) {
        let now = self.simulation.now;
        let is_over = |active: &mut ActiveFault| active.ends_at <= now;
        let ended: Vec<ActiveFault> = self.faults.extract_if(.., is_over).collect();
        for active in ended {
            self.set_active(active.fault, active.worker, false);
        }
    }

    fn set_active(&mut self, fault: Fault, worker: usize, is_active: bool) {
        let worker = &mut self.simulation.workers[worker];
        match fault {
            Fault::Heartbeats => worker.loses_heartbeats = is_active,
            Fault::CommandAnswers => worker.loses_command_answers = is_active,
            Fault::Commands => worker.is_unreachable = is_active,
            Fault::Isolation => worker.is_isolated = is_active,
        }
    }

    fn deliver_late_command(&mut self) {
        let held = &mut self.simulation.network.held_commands;
        if held.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..held.len());
        let command = held.remove(index);
        self.simulation.deliver_command(&command);
    }

    fn deliver_late_heartbeat(&mut self) {
        let copies = if self.rng.random_bool(0.7) {
            &self.held_heartbeats
        } else {
            &self.simulation.network.heartbeat_copies
        };
        let Some(copy) = copies.choose(&mut self.rng).cloned() else {
            return;
        };
        for controller in 0..CONTROLLERS {
            self.simulation.deliver_late_heartbeat(controller, &copy);
        }
    }

    fn submit(&mut self) {
        let id = format!("j-{}", 100 + self.jobs.len());
        let mut job = job_desc(&id, *[1, 1, 2].choose(&mut self.rng).expect("a count"));
        job.cores = *[1.0, 1.0, 2.0, 8.0].choose(&mut self.rng).expect("a size");
        self.simulation.submit(&job);
        self.jobs.push(id);
    }

    fn cancel(&mut self) {
        let Some(id) = self.jobs.choose(&mut self.rng).cloned() else {
            return;
        };
        if self.simulation.ended_state(&id).is_none() {
            self.simulation.cancel(&id);
        }
    }

    /// Ends all faults and checks that all jobs end.
    fn finish(&mut self) {
        self.simulation.network.holds_commands = false;
        for active in std::mem::take(&mut self.faults) {
            self.set_active(active.fault, active.worker, false);
        }
        for _ in 0..MAX_SECONDS_TO_END {
            self.simulation.advance(1.0);
            self.simulation.finish_all();
        }
        for id in &self.jobs {
            let ended = self.simulation.ended_state(id);
            assert!(ended.is_some(), "{id} did not end");
        }
    }
}

/// Runs the seeds that belong to one part.
fn run_part(part: u64) {
    for seed in seeds("WORKER_HISTORIES", SEEDS).filter(|seed| seed % PARTS == part) {
        println!("seed {seed}");
        WorkerHistory::new(seed).run();
    }
}

/// Guards against `ran_twice` by any order of restarts, late heartbeats, lost answers and direct
/// commands, of which `worker_restarts` and `command_copies` have examples; parts 2 to 4 alike.
#[test]
fn random_worker_histories_break_no_invariant_part_1() {
    run_part(0);
}

#[test]
fn random_worker_histories_break_no_invariant_part_2() {
    run_part(1);
}

#[test]
fn random_worker_histories_break_no_invariant_part_3() {
    run_part(2);
}

#[test]
fn random_worker_histories_break_no_invariant_part_4() {
    run_part(3);
}
