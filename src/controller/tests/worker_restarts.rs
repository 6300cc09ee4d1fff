//! Restarts of workers: a restarted worker has lost its tasks, its fencing token and the count of
//! its heartbeats, and nothing in its messages names the restart.

use super::simulation::Simulation;
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
