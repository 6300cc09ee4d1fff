//! Machines that are isolated in one direction or in both.
//!
//! Such a machine must get no new tasks and must be replaced. Its tasks may start elsewhere only
//! when they can no longer run there: after its release by the cloud or the expiry of its worker
//! lease.

use super::simulation::{Simulation, secs};
use crate::jobs::JobState;
use crate::jobs::tests::job_desc;

/// A task must not start on a second machine before the cloud has released the first one, because
/// it may still be running there.
#[test]
fn tasks_of_a_lost_machine_restart_once_the_cloud_has_released_it() {
    let mut simulation = Simulation::started(1, 3);
    simulation.submit(&job_desc("j-1", 1));
    simulation.advance(3.0);
    let isolated = simulation.workers_running("j-1/0")[0];
    simulation.workers[isolated].is_isolated = true;
    simulation.advance(6.0);
    assert_eq!(simulation.workers_running("j-1/0"), vec![isolated]);
    simulation.advance(10.0);
    assert!(
        simulation
            .cloud
            .is_released(&simulation.workers[isolated].id)
    );
    assert_eq!(simulation.workers_running("j-1/0").len(), 1);
    assert_ne!(simulation.workers_running("j-1/0"), vec![isolated]);
}

/// Heartbeats of a machine arrive, but answers and commands do not reach it. Tasks that are placed
/// on it would never start.
#[test]
fn unreachable_machine_gets_no_work_and_is_replaced() {
    let mut simulation = Simulation::started(1, 2);
    simulation.submit(&job_desc("j-1", 4));
    simulation.advance(3.0);
    let unreachable = simulation.workers_running("j-1/0")[0];
    simulation.workers[unreachable].is_unreachable = true;
    // Bin packing would prefer the unreachable machine, because it has less free capacity.
    simulation.submit(&job_desc("j-2", 2));
    simulation.advance(15.0);
    assert_eq!(
        simulation.workers_running("j-2/0"),
        vec![1 - unreachable],
        "the new job runs on the other machine"
    );
    assert!(
        simulation
            .cloud
            .is_released(&simulation.workers[unreachable].id),
        "the unreachable machine is released"
    );
    simulation.advance(3.0);
    assert_eq!(
        simulation.workers_running("j-1/0"),
        vec![1 - unreachable],
        "the tasks start again after the release"
    );
}

/// The cloud cannot release an unreachable machine, so its tasks end only when its worker lease
/// expires. Until then they may be running: they must not start elsewhere, and a cancellation must
/// still take effect in time.
#[test]
fn unreachable_machine_that_cant_be_released_ends_its_tasks_by_lease_expiry() {
    let mut simulation = Simulation::started(1, 2);
    simulation.cloud.is_unreachable = true;
    simulation.submit(&job_desc("j-1", 4));
    simulation.submit(&job_desc("j-2", 2));
    simulation.advance(3.0);
    let unreachable = simulation.workers_running("j-1/0")[0];
    simulation.workers[unreachable].is_unreachable = true;
    simulation.advance(10.0);
    assert_eq!(
        simulation.workers_running("j-1/0"),
        vec![unreachable],
        "the task may still run on the unreachable machine"
    );
    simulation.cancel("j-2");
    simulation.submit(&job_desc("j-3", 8));
    // The worker's lease expires, and its next heartbeat reports that by a new agent epoch.
    simulation.advance(simulation.cancel_timeout_s() - 12.0);
    assert!(
        simulation.workers_running("j-2/0").is_empty(),
        "the cancelled job's tasks ended in time"
    );
    assert_eq!(simulation.workers_running("j-1/0"), vec![1 - unreachable]);
}

/// Guards against a fault of an owner that had run out of sockets. Its workers could not connect,
/// but it reached them by direct commands. It judged by the age of the last answered heartbeat
/// whether an agent epoch had ended, and therefore counted each new agent epoch as ended, too.
#[test]
fn machine_known_by_direct_commands_alone_stays_valid_in_its_next_agent_epoch() {
    let mut simulation = Simulation::started(1, 2);
    simulation.submit(&job_desc("j-1", 4));
    simulation.advance(3.0);
    let silent = simulation.workers_running("j-1/0")[0];
    simulation.workers[silent].loses_heartbeats = true;
    // If the cloud could release the machine, it would be replaced after its first agent epoch.
    simulation.cloud.is_unreachable = true;
    // The other machine has no free capacity, so no task can move.
    simulation.submit(&job_desc("j-2", 8));
    simulation.advance(3.0);
    let lease_s = simulation.worker_lease_s();
    // The next agent epoch begins. No task may run on both machines.
    simulation.advance(lease_s + 15.0);
    assert_eq!(simulation.workers[silent].agent_epoch, 2);
    simulation.cancel("j-2");
    simulation.advance(2.0 * lease_s);
    assert_eq!(simulation.workers_running("j-1/0").len(), 1);
}

/// Heartbeats of a machine are lost, but direct commands reach it. Its answers to direct commands
/// report the end of its tasks, but they must not make it count as able to run new tasks.
#[test]
fn machine_without_heartbeats_gets_no_work_and_is_replaced_once_idle() {
    let mut simulation = Simulation::started(1, 3);
    simulation.task_duration = Some(secs(4.0));
    simulation.submit(&job_desc("j-1", 2));
    simulation.advance(3.0);
    let silent = simulation.workers_running("j-1/0")[0];
    simulation.workers[silent].loses_heartbeats = true;
    simulation.advance(6.0);
    assert_eq!(
        simulation.ended_state("j-1"),
        Some(JobState::Done),
        "the answers to direct commands report the end of the tasks"
    );
    // The first of these jobs is submitted just after a direct command was answered, the others at
    // other moments. All must run on other machines.
    simulation.task_duration = None;
    for number in 2..10 {
        let earlier = simulation.network.delivered_commands.len();
        while number == 2
            && simulation.network.delivered_commands[earlier..]
                .iter()
                .all(|sent| sent.worker != silent)
        {
            simulation.advance(0.1);
        }
        simulation.submit(&job_desc(&format!("j-{number}"), 1));
        simulation.advance(0.5);
        assert_eq!(simulation.workers[silent].running_tasks("").count(), 0);
    }
    assert_eq!(simulation.running_count(), 8);
    simulation.advance(15.0);
    assert_eq!(
        simulation.cloud.released,
        [simulation.workers[silent].id.clone()]
    );
}

/// A machine whose heartbeats are lost still runs its tasks until its worker lease expires.
/// Releasing it earlier would lose their work.
#[test]
fn machine_without_heartbeats_keeps_its_tasks_until_lease_expiry_and_is_replaced() {
    let mut simulation = Simulation::started(1, 3);
    simulation.submit(&job_desc("j-1", 2));
    simulation.advance(3.0);
    let silent = simulation.workers_running("j-1/0")[0];
    simulation.workers[silent].loses_heartbeats = true;
    simulation.advance(20.0);
    assert_eq!(
        simulation.workers_running("j-1/0"),
        [silent],
        "the task keeps running until the lease expires"
    );
    assert!(simulation.cloud.released.is_empty());
    simulation.advance(20.0);
    assert!(simulation.cloud.is_released(&simulation.workers[silent].id));
    assert_eq!(simulation.workers_running("j-1/0").len(), 1);
    assert_ne!(simulation.workers_running("j-1/0"), [silent]);
}

/// The owner and the workers of a zone are isolated for longer than the leases, and then
/// reconnected. Late heartbeats of these workers must not make a task of the zone run twice.
#[test]
fn zone_isolated_with_its_workers_beyond_the_lease_runs_no_task_twice() {
    let mut simulation = Simulation::started(3, 4);
    for worker in &mut simulation.workers[..2] {
        worker.zone = "y";
    }
    let mut single_zone = job_desc("j-1", 4);
    single_zone.single_zone = true;
    simulation.submit(&single_zone);
    simulation.advance(3.0);
    let zone = simulation.workers[simulation.workers_running("j-1/0")[0]].zone;
    simulation.cloud.is_unreachable = true;
    let previous_owner = simulation.owner();
    simulation.controllers[previous_owner].set_isolated(true);
    for worker in simulation
        .workers
        .iter_mut()
        .filter(|worker| worker.zone == zone)
    {
        worker.is_isolated = true;
    }
    simulation.network.copies_heartbeats = true;
    simulation.advance(50.0);
    // All tasks of the isolated zone run in the other zone now.
    assert_ne!(simulation.owner(), previous_owner);
    assert_eq!(simulation.running_count(), 4);
    simulation.set_workers_isolated(false);
    simulation.controllers[previous_owner].set_isolated(false);
    simulation.network.copies_heartbeats = false;
    let owner = simulation.owner();
    for copy in std::mem::take(&mut simulation.network.heartbeat_copies) {
        simulation.deliver_late_heartbeat(owner, &copy);
    }
    simulation.advance(10.0);
    assert_eq!(simulation.running_count(), 4);
}
