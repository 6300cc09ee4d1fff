//! Heartbeats: who accepts them, and that late copies of them change nothing.

use super::simulation::Simulation;
use crate::api::ports::HeartbeatAnswer;
use crate::ids::{FencingToken, MachineId};
use crate::jobs::JobState;
use crate::jobs::tests::desc;

#[test]
fn only_the_partition_owner_accepts_a_heartbeat() {
    let mut simulation = Simulation::started(2, 1);
    let other = 1 - simulation.owner();
    let label = simulation.controllers[simulation.owner()]
        .settings
        .label
        .clone();
    assert_eq!(
        simulation.deliver_heartbeat_of(0, other),
        Some(HeartbeatAnswer::Redirect(label))
    );
    // A machine of no partition is answered by no controller.
    let mut heartbeat = simulation.workers[0].heartbeat();
    heartbeat.machine = MachineId::from("m-999999");
    assert_eq!(
        simulation.deliver_heartbeat(other, heartbeat),
        Some(HeartbeatAnswer::Unavailable)
    );
}

#[test]
fn late_heartbeat_copies_change_nothing() {
    let mut simulation = Simulation::started(2, 2);
    let blank = simulation.workers[0].heartbeat();
    simulation.submit(&desc("j-1", 4));
    simulation.advance(3.0);
    let worker = simulation.workers_running("j-1/0")[0];
    let owner = simulation.owner();
    let running = simulation.workers[worker].heartbeat();
    simulation.advance(2.0);
    // Seconds late: the tasks that it shows have ended since.
    simulation.finish_all();
    simulation.advance(5.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    assert_eq!(
        simulation.deliver_late_heartbeat(owner, &running),
        Some(HeartbeatAnswer::Unavailable)
    );
    simulation.advance(5.0);
    assert_eq!(simulation.running_count(), 0);
    // Late by more than a lease, from an earlier agent epoch: it is no sign of life.
    simulation.submit(&desc("j-2", 4));
    simulation.advance(3.0);
    let silent = simulation.workers_running("j-2/0")[0];
    simulation.workers[silent].is_isolated = true;
    simulation.cloud.is_unreachable = true;
    let mut copy = simulation.workers[silent].heartbeat();
    copy.heartbeat_sequence = 1;
    copy.tasks.clear();
    for _ in 0..20 {
        simulation.advance(2.0);
        simulation.deliver_late_heartbeat(owner, &copy);
        simulation.deliver_late_heartbeat(owner, &blank);
    }
    assert_ne!(
        simulation.workers_running("j-2/0"),
        vec![silent],
        "its lease has expired all the same"
    );
    assert_eq!(simulation.workers_running("j-2/0").len(), 1);
}

#[test]
fn late_heartbeat_copy_after_failover_confirms_nothing() {
    let mut simulation = Simulation::started(2, 2);
    simulation.submit(&desc("j-0", 1));
    simulation.advance(3.0);
    let worker = simulation.workers_running("j-0/0")[0];
    // Both machines run nothing but j-0, as copies will show them later.
    let copies = [
        simulation.workers[0].heartbeat(),
        simulation.workers[1].heartbeat(),
    ];
    simulation.submit(&desc("j-1", 4));
    simulation.advance(3.0);
    assert_eq!(simulation.workers_running("j-1/0").len(), 1);
    let previous_owner = simulation.owner();
    simulation.set_workers_isolated(true);
    simulation.cloud.is_unreachable = true;
    simulation.crash_controller(previous_owner);
    simulation.advance(22.0);
    let owner = simulation.owner();
    assert_ne!(owner, previous_owner);
    for mut copy in copies {
        // It is the first that the new owner receives from this machine.
        let answer = simulation.deliver_late_heartbeat(owner, &copy);
        assert!(
            matches!(answer, Some(HeartbeatAnswer::Accepted(response)) if response.commands.is_empty()),
            "it gets the fencing token at most"
        );
        // Not even a copy with the token of a lower term confirms anything.
        copy.fencing_token = FencingToken(copy.fencing_token.0 + 1);
        simulation.deliver_late_heartbeat(owner, &copy);
    }
    simulation.workers[1 - worker].is_isolated = false;
    // Had the copy counted, j-1 would be started once more on the other machine.
    simulation.advance(5.0);
    assert!(simulation.workers_running("j-1/0").len() <= 1);
}

#[test]
fn late_heartbeat_of_a_released_machine_records_no_machine() {
    let mut simulation = Simulation::started(1, 3);
    simulation.submit(&desc("j-1", 1));
    simulation.advance(3.0);
    let silent = simulation.workers_running("j-1/0")[0];
    let copy = simulation.workers[silent].heartbeat();
    simulation.workers[silent].is_isolated = true;
    simulation.advance(20.0);
    assert!(simulation.cloud.is_released(&simulation.workers[silent].id));
    assert_eq!(
        simulation.deliver_late_heartbeat(0, &copy),
        Some(HeartbeatAnswer::Unavailable)
    );
    simulation.advance(5.0);
    let id = simulation.workers[silent].id.to_string();
    assert!(
        !simulation
            .store
            .machine_shards()
            .any(|(_, shard)| shard.to_string().contains(&id))
    );
    assert_eq!(simulation.workers_running("j-1/0").len(), 1);
}
