//! Copies of direct commands that were executed and answered before. They arrive once more, at any
//! later time, and nobody waits for their answers.

use super::simulation::{ExitCause, Simulation};
use crate::jobs::tests::job_desc;
use crate::jobs::{JobDesc, Priority};
use crate::workers::WorkerCommand;

/// Maximum time in seconds until a task that lost its attempt runs again.
const REPLACEMENT_TIMEOUT_S: f64 = 30.0;
/// Maximum time in seconds until an attempt that has exited has been reaped.
const REAP_TIMEOUT_S: f64 = 10.0;
/// Time in seconds from a launch until a heartbeat has shown the attempt.
const HEARTBEAT_AFTER_LAUNCH_S: f64 = 1.0;
/// Cores of the machines.
const MACHINE_CORES: f64 = 16.0;

/// Describes a job of one long task without a deadline.
fn patient_job(id: &str) -> JobDesc {
    let mut job = job_desc(id, 1);
    job.deadline_s = None;
    job.estimated_run_time_s = 600.0;
    job
}

/// Submits a job of one task, for whose launch a direct command is sent, and advances until a
/// heartbeat has shown the attempt. Returns the index of its worker.
fn submit_one_task(simulation: &mut Simulation) -> usize {
    simulation.submit(&patient_job("j-1"));
    simulation.advance_until(3.0, |simulation| simulation.running_count_of("j-1/") == 1);
    let worker = simulation.workers_running("j-1/0")[0];
    let commands = &simulation.network.delivered_commands;
    let launches = |command: &[_]| command.iter().any(WorkerCommand::is_launch);
    assert!(
        commands
            .iter()
            .any(|sent| sent.worker == worker && launches(&sent.command.commands)),
        "a direct command contains a launch"
    );
    simulation.advance(HEARTBEAT_AFTER_LAUNCH_S);
    worker
}

/// Advances until `j-1/0` runs on another worker than before, which has forgotten it.
fn advance_until_moved(simulation: &mut Simulation, from: usize) {
    simulation.advance_until(REPLACEMENT_TIMEOUT_S, |simulation| {
        let running = simulation.workers_running("j-1/0");
        running.iter().any(|worker| *worker != from)
            && !simulation.workers[from].tasks.contains_key("j-1/0")
    });
}

/// Advances until a worker has forgotten a task.
fn advance_until_reaped(simulation: &mut Simulation, worker: usize, task: &str) {
    simulation.advance_until(REAP_TIMEOUT_S, |simulation| {
        !simulation.workers[worker].tasks.contains_key(task)
    });
}

/// Starts a task, lets it fail, and advances until it runs on another machine. Returns the index of
/// the first worker.
fn start_task_that_fails_and_moves(simulation: &mut Simulation) -> usize {
    let worker = submit_one_task(simulation);
    simulation.exit_all_of("j-1/", ExitCause::Error);
    advance_until_moved(simulation, worker);
    worker
}

/// Guards against `ran_twice`.
#[test]
fn copy_of_an_executed_launch_does_not_run_a_failed_task_on_two_machines() {
    let mut simulation = Simulation::started(1, 2);
    let worker = start_task_that_fails_and_moves(&mut simulation);
    simulation.deliver_command_copies(worker);
    simulation.advance(REAP_TIMEOUT_S);
    assert_eq!(simulation.workers_running("j-1/0"), [1 - worker]);
}

/// Guards against `ran_twice`.
#[test]
fn copy_of_an_executed_launch_does_not_run_a_preempted_task_on_two_machines() {
    let mut simulation = Simulation::builder(1, 2).team_limits(100.0).started();
    let mut other = job_desc("j-0", 1);
    other.cores = MACHINE_CORES;
    other.priority = Priority::Production;
    other.team = "blue".into();
    simulation.submit(&other);
    simulation.advance(3.0);
    let worker = submit_one_task(&mut simulation);
    let mut urgent = patient_job("j-2");
    urgent.cores = MACHINE_CORES;
    urgent.priority = Priority::Production;
    simulation.submit(&urgent);
    simulation.advance_until(REPLACEMENT_TIMEOUT_S, |simulation| {
        simulation.workers_running("j-2/0") == [worker]
    });
    simulation.exit_all_of("j-0/", ExitCause::Done);
    advance_until_moved(&mut simulation, worker);
    simulation.deliver_command_copies(worker);
    simulation.advance(REAP_TIMEOUT_S);
    assert_eq!(simulation.workers_running("j-1/0"), [1 - worker]);
}

/// Guards against `ran_cancelled`.
#[test]
fn copy_of_an_executed_launch_starts_no_task_after_the_cancellation_timeout() {
    let mut simulation = Simulation::started(1, 2);
    let worker = submit_one_task(&mut simulation);
    simulation.cancel("j-1");
    simulation.advance(simulation.cancel_timeout_s() + 1.0);
    advance_until_reaped(&mut simulation, worker, "j-1/0");
    simulation.deliver_command_copies(worker);
    assert_eq!(simulation.running_count(), 0);
}

/// Guards against `quota`.
#[test]
fn copy_of_an_executed_launch_does_not_exceed_the_limit_of_a_team() {
    let mut simulation = Simulation::started(1, 2);
    let mut other = job_desc("j-0", 1);
    other.cores = 14.0;
    other.team = "blue".into();
    simulation.submit(&other);
    simulation.advance(3.0);
    let worker = submit_one_task(&mut simulation);
    assert_eq!(simulation.workers_running("j-0/0"), [worker]);
    simulation.cancel("j-1");
    advance_until_reaped(&mut simulation, worker, "j-1/0");
    // The limit is 16 cores, and 8 tasks of 2 cores use it up.
    simulation.submit(&job_desc("j-2", 8));
    simulation.advance(3.0);
    assert_eq!(simulation.running_count_of("j-2/"), 8);
    simulation.deliver_command_copies(worker);
    assert_eq!(simulation.running_count(), 9);
}

/// Guards against `ran_twice`.
#[test]
fn copy_of_an_executed_launch_does_not_run_a_task_twice_after_its_controller_restarted() {
    let mut simulation = Simulation::started(1, 2);
    let worker = start_task_that_fails_and_moves(&mut simulation);
    simulation.restart_controller(0);
    simulation.deliver_command_copies(worker);
    simulation.advance(REPLACEMENT_TIMEOUT_S);
    assert_eq!(simulation.workers_running("j-1/0"), [1 - worker]);
}

/// Guards against `ran_twice`.
#[test]
fn copy_of_an_executed_launch_does_not_run_a_task_twice_that_failed_under_an_earlier_owner() {
    let mut simulation = Simulation::started(1, 2);
    let worker = submit_one_task(&mut simulation);
    simulation.exit_all_of("j-1/", ExitCause::Error);
    simulation.restart_controller(0);
    advance_until_moved(&mut simulation, worker);
    simulation.deliver_command_copies(worker);
    simulation.advance(REAP_TIMEOUT_S);
    assert_eq!(simulation.workers_running("j-1/0"), [1 - worker]);
}

/// Guards against `ran_twice`.
#[test]
fn copy_of_an_executed_launch_does_not_run_a_task_twice_after_its_worker_restarted() {
    let mut simulation = Simulation::started(1, 2);
    let worker = start_task_that_fails_and_moves(&mut simulation);
    simulation.workers[worker].restart(simulation.now);
    simulation.deliver_command_copies(worker);
    simulation.advance(REAP_TIMEOUT_S);
    assert_eq!(simulation.workers_running("j-1/0"), [1 - worker]);
}

/// Guards against `ran_cancelled`.
#[test]
fn copy_of_an_executed_launch_starts_no_cancelled_task_after_its_worker_restarted() {
    let mut simulation = Simulation::started(1, 2);
    let worker = submit_one_task(&mut simulation);
    simulation.cancel("j-1");
    simulation.advance(simulation.cancel_timeout_s() + 1.0);
    simulation.workers[worker].restart(simulation.now);
    simulation.deliver_command_copies(worker);
    assert_eq!(simulation.running_count(), 0);
}

/// Guards against `ran_twice` if a restart of the worker, not a reap, made it forget the attempt.
#[test]
fn copy_of_an_executed_launch_does_not_run_a_task_twice_that_a_worker_restart_ended() {
    let mut simulation = Simulation::started(1, 2);
    let worker = submit_one_task(&mut simulation);
    simulation.workers[worker].restart(simulation.now);
    simulation.workers[worker].loses_heartbeats = true;
    advance_until_moved(&mut simulation, worker);
    simulation.deliver_command_copies(worker);
    simulation.advance(REAP_TIMEOUT_S);
    assert_eq!(simulation.workers_running("j-1/0"), [1 - worker]);
}
