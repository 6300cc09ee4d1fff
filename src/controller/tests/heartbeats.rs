//! Heartbeats: only the partition's owner accepts them, and late copies of them have no effect.

use super::simulation::Simulation;
use crate::api::channels::HeartbeatAnswer;
use crate::ids::{FencingToken, MachineId};
use crate::jobs::JobState;
use crate::jobs::tests::job_desc;

/// A controller that is not the owner must redirect a worker to the owner. If it answered the
/// heartbeat itself, the worker would renew its lease while the owner counts it as silent.
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
    // No controller accepts the heartbeat of a machine that no partition records.
    let mut heartbeat = simulation.workers[0].heartbeat();
    heartbeat.machine = MachineId::from("m-999999");
    assert_eq!(
        simulation.deliver_heartbeat(other, heartbeat),
        Some(HeartbeatAnswer::Unavailable)
    );
}

/// A late copy of a heartbeat shows an outdated state. It must not restore ended tasks, and a copy
/// from an earlier agent epoch must not renew the worker's lease at the owner.
#[test]
fn late_heartbeat_copies_change_nothing() {
    let mut simulation = Simulation::started(2, 2);
    let without_tasks = simulation.workers[0].heartbeat();
    simulation.submit(&job_desc("j-1", 4));
    simulation.advance(3.0);
    let worker = simulation.workers_running("j-1/0")[0];
    let owner = simulation.owner();
    let running = simulation.workers[worker].heartbeat();
    simulation.advance(2.0);
    // This copy arrives seconds late: the tasks that it reports as running have ended since.
    simulation.finish_all();
    simulation.advance(5.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    assert_eq!(
        simulation.deliver_late_heartbeat(owner, &running),
        Some(HeartbeatAnswer::Unavailable)
    );
    simulation.advance(5.0);
    assert_eq!(simulation.running_count(), 0);
    // These copies arrive later than a worker lease: they do not show that the worker is alive.
    simulation.submit(&job_desc("j-2", 4));
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
        simulation.deliver_late_heartbeat(owner, &without_tasks);
    }
    assert_ne!(
        simulation.workers_running("j-2/0"),
        vec![silent],
        "the worker's lease expires in spite of the late copies"
    );
    assert_eq!(simulation.workers_running("j-2/0").len(), 1);
}

/// A new owner has received no heartbeat from a machine. A copy from before the failover must not
/// count as the machine's current state: the owner would start tasks elsewhere that still run
/// there.
#[test]
fn late_heartbeat_copy_after_failover_confirms_nothing() {
    let mut simulation = Simulation::started(2, 2);
    simulation.submit(&job_desc("j-0", 1));
    simulation.advance(3.0);
    let worker = simulation.workers_running("j-0/0")[0];
    // According to these copies, the machines run no task but that of j-0.
    let copies = [
        simulation.workers[0].heartbeat(),
        simulation.workers[1].heartbeat(),
    ];
    simulation.submit(&job_desc("j-1", 4));
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
        // The copy is the first heartbeat that the new owner receives from this machine.
        let answer = simulation.deliver_late_heartbeat(owner, &copy);
        assert!(
            matches!(answer, Some(HeartbeatAnswer::Accepted(response)) if response.commands.is_empty()),
            "the answer has the fencing token at most, and no command"
        );
        // A copy with a higher token, but still of a lower term, confirms nothing either.
        copy.fencing_token = FencingToken(copy.fencing_token.0 + 1);
        simulation.deliver_late_heartbeat(owner, &copy);
    }
    simulation.workers[1 - worker].is_isolated = false;
    // If the copy counted, j-1 would be started a second time on the other machine.
    simulation.advance(5.0);
    assert!(simulation.workers_running("j-1/0").len() <= 1);
}

/// A late heartbeat of a released machine must not add the machine to the stored records again,
/// because tasks would be placed on it.
#[test]
fn late_heartbeat_of_a_released_machine_records_no_machine() {
    let mut simulation = Simulation::started(1, 3);
    simulation.submit(&job_desc("j-1", 1));
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
