//! Machines that are cut off in one direction or both: they get no work, are replaced, and
//! their tasks start elsewhere only once they can't run there any more.

use super::simulation::{Simulation, secs};
use crate::jobs::JobState;
use crate::jobs::tests::desc;

#[test]
fn tasks_of_a_lost_machine_restart_once_the_cloud_has_released_it() {
    let mut simulation = Simulation::started(1, 3);
    simulation.submit(&desc("j-1", 1));
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

#[test]
fn unreachable_machine_gets_no_work_and_is_replaced() {
    let mut simulation = Simulation::started(1, 2);
    simulation.submit(&desc("j-1", 4));
    simulation.advance(3.0);
    let unreachable = simulation.workers_running("j-1/0")[0];
    simulation.workers[unreachable].is_unreachable = true;
    // It has less free capacity, so bin packing would prefer it.
    simulation.submit(&desc("j-2", 2));
    simulation.advance(15.0);
    assert_eq!(
        simulation.workers_running("j-2/0"),
        vec![1 - unreachable],
        "work goes elsewhere"
    );
    assert!(
        simulation
            .cloud
            .is_released(&simulation.workers[unreachable].id),
        "unreachable, so released"
    );
    simulation.advance(3.0);
    assert_eq!(
        simulation.workers_running("j-1/0"),
        vec![1 - unreachable],
        "and only then they start again"
    );
}

#[test]
fn unreachable_machine_that_cant_be_released_ends_its_tasks_by_lease_expiry() {
    let mut simulation = Simulation::started(1, 2);
    simulation.cloud.is_unreachable = true;
    simulation.submit(&desc("j-1", 4));
    simulation.submit(&desc("j-2", 2));
    simulation.advance(3.0);
    let unreachable = simulation.workers_running("j-1/0")[0];
    simulation.workers[unreachable].is_unreachable = true;
    simulation.advance(10.0);
    assert_eq!(
        simulation.workers_running("j-1/0"),
        vec![unreachable],
        "it may still run there"
    );
    simulation.cancel("j-2");
    simulation.submit(&desc("j-3", 8));
    // Its lease expires, and its next heartbeat shows that by a new agent epoch.
    simulation.advance(simulation.cancel_timeout_s() - 12.0);
    assert!(
        simulation.workers_running("j-2/0").is_empty(),
        "cancelled in time"
    );
    assert_eq!(simulation.workers_running("j-1/0"), vec![1 - unreachable]);
}

/// Guards against an owner out of sockets: its workers could not connect, but it reached them
/// by direct commands, and counted each agent epoch as ended by the age of the last answered
/// heartbeat.
#[test]
fn machine_known_by_direct_commands_alone_stays_valid_in_its_next_agent_epoch() {
    let mut simulation = Simulation::started(1, 2);
    simulation.submit(&desc("j-1", 4));
    simulation.advance(3.0);
    let silent = simulation.workers_running("j-1/0")[0];
    simulation.workers[silent].loses_heartbeats = true;
    // Otherwise it would be replaced after its first agent epoch.
    simulation.cloud.is_unreachable = true;
    // The other has no free capacity, so every task stays where it is.
    simulation.submit(&desc("j-2", 8));
    simulation.advance(3.0);
    let lease_s = simulation.worker_lease_s();
    // Its next agent epoch begins; no task may run on both machines.
    simulation.advance(lease_s + 15.0);
    assert_eq!(simulation.workers[silent].agent_epoch, 2);
    simulation.cancel("j-2");
    simulation.advance(2.0 * lease_s);
    assert_eq!(simulation.workers_running("j-1/0").len(), 1);
}

/// Its heartbeats reach no controller, while direct commands reach it.
#[test]
fn machine_without_heartbeats_gets_no_work_and_is_replaced_once_idle() {
    let mut simulation = Simulation::started(1, 3);
    simulation.task_duration = Some(secs(4.0));
    simulation.submit(&desc("j-1", 2));
    simulation.advance(3.0);
    let silent = simulation.workers_running("j-1/0")[0];
    simulation.workers[silent].loses_heartbeats = true;
    simulation.advance(6.0);
    assert_eq!(
        simulation.ended_state("j-1"),
        Some(JobState::Done),
        "its answers to direct commands report the end"
    );
    // It answers a direct command now and then: jobs submitted at any time still go
    // elsewhere.
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
        simulation.submit(&desc(&format!("j-{number}"), 1));
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

#[test]
fn machine_without_heartbeats_keeps_its_tasks_until_lease_expiry_and_is_replaced() {
    let mut simulation = Simulation::started(1, 3);
    simulation.submit(&desc("j-1", 2));
    simulation.advance(3.0);
    let silent = simulation.workers_running("j-1/0")[0];
    simulation.workers[silent].loses_heartbeats = true;
    simulation.advance(20.0);
    assert_eq!(
        simulation.workers_running("j-1/0"),
        [silent],
        "nothing is lost before"
    );
    assert!(simulation.cloud.released.is_empty());
    simulation.advance(20.0);
    assert!(simulation.cloud.is_released(&simulation.workers[silent].id));
    assert_eq!(simulation.workers_running("j-1/0").len(), 1);
    assert_ne!(simulation.workers_running("j-1/0"), [silent]);
}

#[test]
fn zone_isolated_with_its_workers_beyond_the_lease_runs_no_task_twice() {
    let mut simulation = Simulation::started(3, 4);
    for worker in &mut simulation.workers[..2] {
        worker.zone = "y";
    }
    let mut bound = desc("j-1", 4);
    bound.single_zone = true;
    simulation.submit(&bound);
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
    // All of its tasks run in the other zone now.
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
