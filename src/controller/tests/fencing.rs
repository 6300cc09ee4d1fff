//! Fencing tokens and agent epochs: a direct command that is late, or arrives once more, has
//! no effect.

use super::simulation::Simulation;
use crate::jobs::JobState;
use crate::jobs::tests::desc;

#[test]
fn delayed_direct_command_is_fenced() {
    let mut simulation = Simulation::started(1, 1);
    simulation.network.holds_commands = true;
    simulation.submit(&desc("j-1", 1));
    simulation.advance(3.0);
    assert_eq!(simulation.network.held_commands.len(), 1, "lost on its way");
    simulation.network.holds_commands = false;
    simulation.advance(2.5);
    assert_eq!(
        simulation.workers_running("j-1/0").len(),
        1,
        "launched by a heartbeat response instead"
    );
    simulation.finish_all();
    simulation.advance(6.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    let delayed = simulation.network.held_commands.remove(0);
    simulation.deliver_command(&delayed);
    assert_eq!(
        simulation.running_count(),
        0,
        "its token is lower than the highest that the worker has seen"
    );
}

/// Two workers that have sent many heartbeats, so that those of a restarted one would count
/// as outdated for long, and the index of the one that runs a task.
fn with_a_task_after_many_heartbeats() -> (Simulation, usize) {
    let mut simulation = Simulation::started(1, 2);
    for worker in &mut simulation.workers {
        worker.heartbeat_sequence += 1_000;
    }
    simulation.submit(&desc("j-1", 1));
    simulation.advance(3.0);
    let worker = simulation.workers_running("j-1/0")[0];
    (simulation, worker)
}

#[test]
fn restarted_worker_is_known_again_and_delayed_commands_do_no_harm() {
    let (mut simulation, worker) = with_a_task_after_many_heartbeats();
    // A launch that gets lost on its way there.
    simulation.network.holds_commands = true;
    simulation.submit(&desc("j-2", 1));
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
        "its heartbeats count again"
    );
    // Copies of the commands that were lost, and of those that were executed before.
    let lost = simulation.network.take_held_commands();
    let executed = simulation.network.delivered_commands.clone();
    for copy in lost.iter().chain(&executed) {
        simulation.deliver_command(copy);
        simulation.check_invariants();
    }
    simulation.advance(20.0);
    assert!(simulation.cloud.released.is_empty());
}

#[test]
fn copy_of_an_executed_launch_is_fenced_at_a_restarted_worker() {
    let (mut simulation, worker) = with_a_task_after_many_heartbeats();
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
        // Under the token from before the restart, it would run once more.
        simulation.deliver_command(copy);
        assert_eq!(simulation.running_count(), 0);
    }
}
