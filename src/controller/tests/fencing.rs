//! Fencing tokens and agent epochs: a direct command that arrives late or for a second time has no
//! effect.

use super::simulation::Simulation;
use crate::jobs::JobState;
use crate::jobs::tests::job_desc;

/// A direct command that launches a task is delayed until the task has ended. It must not start the
/// task again.
#[test]
fn delayed_direct_command_is_fenced() {
    let mut simulation = Simulation::started(1, 1);
    simulation.network.holds_commands = true;
    simulation.submit(&job_desc("j-1", 1));
    simulation.advance(3.0);
    assert_eq!(
        simulation.network.held_commands.len(),
        1,
        "the launch is held back"
    );
    simulation.network.holds_commands = false;
    simulation.advance(2.5);
    assert_eq!(
        simulation.workers_running("j-1/0").len(),
        1,
        "a heartbeat response launches the task instead"
    );
    simulation.finish_all();
    simulation.advance(6.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    let delayed = simulation.network.held_commands.remove(0);
    simulation.deliver_command(&delayed);
    assert_eq!(
        simulation.running_count(),
        0,
        "the command's token is lower than the highest token that the worker has accepted"
    );
}

/// Starts a cluster of two workers with high heartbeat sequence numbers and a task. Returns the
/// simulation and the index of the worker that runs the task.
///
/// A restarted worker begins its sequence numbers anew, so its heartbeats would count as outdated
/// for a long time if only the numbers were compared.
fn start_with_high_heartbeat_sequence() -> (Simulation, usize) {
    let mut simulation = Simulation::started(1, 2);
    for worker in &mut simulation.workers {
        worker.heartbeat_sequence += 1_000;
    }
    simulation.submit(&job_desc("j-1", 1));
    simulation.advance(3.0);
    let worker = simulation.workers_running("j-1/0")[0];
    (simulation, worker)
}

/// A worker restarts and loses its state while a launch is on its way to it. Its heartbeats must
/// count again within seconds, and late commands must start no task a second time.
#[test]
fn restarted_worker_is_known_again_and_delayed_commands_do_no_harm() {
    let (mut simulation, worker) = start_with_high_heartbeat_sequence();
    // The launch of j-2 is held back.
    simulation.network.holds_commands = true;
    simulation.submit(&job_desc("j-2", 1));
    simulation.advance(0.2);
    assert_eq!(simulation.network.held_commands.len(), 1);
    simulation.network.holds_commands = false;
    simulation.workers[worker].restart(simulation.now);
    simulation.advance(10.0);
    assert_eq!(
        (
            simulation.workers_running("j-1/0").len(),
            simulation.workers_running("j-2/0").len()
        ),
        (1, 1)
    );
    assert!(
        simulation.cloud.released.is_empty(),
        "no machine is released, since the heartbeats of the restarted worker count"
    );
    // Copies arrive of the command that was held back and of the commands that were executed
    // before.
    let held = simulation.network.take_held_commands();
    let executed = simulation.network.delivered_commands.clone();
    for copy in held.iter().chain(&executed) {
        simulation.deliver_command(copy);
        simulation.check_invariants();
    }
    simulation.advance(20.0);
    assert!(simulation.cloud.released.is_empty());
}

/// A restarted worker has lost its fencing token, so it would accept a copy of a launch from before
/// the restart. The owner must raise the token first.
#[test]
fn copy_of_an_executed_launch_is_fenced_at_a_restarted_worker() {
    let (mut simulation, worker) = start_with_high_heartbeat_sequence();
    let launches = simulation.network.delivered_commands.clone();
    assert!(
        launches
            .iter()
            .any(|sent| sent.worker == worker && !sent.command.commands.is_empty())
    );
    simulation.workers[worker].restart(simulation.now);
    simulation.advance(5.0);
    assert_eq!(simulation.workers_running("j-1/0").len(), 1);
    simulation.cancel("j-1");
    simulation.advance(5.0);
    for copy in &launches {
        // With the fencing token from before the restart, the worker would run the task again.
        simulation.deliver_command(copy);
        assert_eq!(simulation.running_count(), 0);
    }
}
