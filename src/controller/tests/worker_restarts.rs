//! Restarts of workers: a restarted worker has lost its tasks, its fencing token and the count of
//! its heartbeats, and nothing in its messages names the restart.

use super::simulation::{Simulation, secs};
use crate::ids::FencingToken;
use crate::jobs::tests::job_desc;

/// Guards against `ran_twice`: heartbeats that the network held back across a restart of their
/// workers arrive while a task runs there. Their outdated task lists must not count as the newest.
#[test]
fn heartbeat_held_back_across_a_worker_restart_ends_no_task() {
    let mut simulation = Simulation::started(1, 2);
    simulation.advance(40.0);
    let held = [0, 1].map(|index| simulation.workers[index].heartbeat());
    for worker in &mut simulation.workers {
        worker.restart(simulation.now);
    }
    simulation.advance(5.0);
    simulation.submit(&job_desc("j-1", 1));
    simulation.advance(3.0);
    let running = simulation.workers_running("j-1/0");
    assert_eq!(running.len(), 1);
    let worker = &simulation.workers[running[0]];
    assert!(worker.heartbeat_sequence < held[running[0]].heartbeat_sequence);
    for heartbeat in &held {
        simulation.deliver_late_heartbeat(0, heartbeat);
        simulation.check_invariants();
    }
    // The simulation checks in every step that no task runs on two machines.
    simulation.advance(10.0);
    assert_eq!(simulation.workers_running("j-1/0"), running);
    assert_eq!(simulation.running_count(), 1);
    assert!(simulation.cloud.released.is_empty());
}

/// Starts a cluster with two new machines whose workers restart unnoticed: their heartbeats reach
/// no controller after the first accepted one, and after the restart they have counted past it
/// before a direct command reaches them. Then submits a job, whose task no direct command starts,
/// and lets heartbeats arrive until the response to one of them starts it; from then on, they are
/// lost again. Returns the simulation and the index of the worker that runs the task.
fn start_task_after_unnoticed_restarts(loses_command_answers: bool) -> (Simulation, usize) {
    let mut simulation = Simulation::started(1, 0);
    simulation.add_machines(2);
    // The machines are recorded before their workers send the first heartbeat.
    for worker in &mut simulation.workers {
        worker.next_heartbeat_at = simulation.now + secs(5.0);
    }
    simulation.advance_until(20.0, |simulation| {
        let mut workers = simulation.workers.iter();
        workers.all(|worker| worker.last_sent_token > FencingToken(0))
    });
    simulation.cloud.is_unreachable = true;
    for worker in &mut simulation.workers {
        worker.loses_heartbeats = true;
    }
    simulation.advance(2.2);
    for worker in &mut simulation.workers {
        worker.restart(simulation.now);
    }
    simulation.advance(3.1);
    for worker in &mut simulation.workers {
        worker.loses_command_answers = loses_command_answers;
    }
    simulation.submit(&job_desc("j-1", 1));
    simulation.advance(0.5);
    assert_eq!(simulation.running_count(), 0, "no heartbeat was answered");
    for worker in &mut simulation.workers {
        worker.loses_heartbeats = false;
    }
    simulation.advance_until(10.0, |simulation| simulation.running_count() == 1);
    for worker in &mut simulation.workers {
        worker.loses_heartbeats = true;
    }
    let running = simulation.workers_running("j-1/0");
    (simulation, running[0])
}

/// Lets the heartbeats of the other worker arrive again, and checks that the task starts there once
/// the lease of the worker that runs it has expired, and not before. The simulation checks in every
/// step that no task runs on two machines.
fn check_that_task_moves_after_the_lease(mut simulation: Simulation, first: usize) {
    let other = &mut simulation.workers[1 - first];
    other.loses_heartbeats = false;
    other.loses_command_answers = false;
    simulation.advance(simulation.worker_lease_s() + 10.0);
    assert_eq!(simulation.workers_running("j-1/0"), [1 - first]);
}

/// Guards against `ran_twice`: a worker restarts unnoticed while its heartbeats reach no controller,
/// and is then given a task. The worker's lease counts from its restart or from the answer that
/// started the task, so the task must not be started elsewhere a lease after an earlier heartbeat.
#[test]
fn lease_counts_from_an_unnoticed_worker_restart() {
    let (simulation, worker) = start_task_after_unnoticed_restarts(false);
    check_that_task_moves_after_the_lease(simulation, worker);
}

/// Guards against the same fault if the answers to direct commands are lost as well.
#[test]
fn lease_counts_from_an_unnoticed_worker_restart_if_the_answer_to_the_launch_is_lost() {
    let (simulation, worker) = start_task_after_unnoticed_restarts(true);
    check_that_task_moves_after_the_lease(simulation, worker);
}
