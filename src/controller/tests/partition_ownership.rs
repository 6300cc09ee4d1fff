//! Ownership of partitions: an owner hands a partition back, the leader grants it to a member, and
//! each machine is recorded in exactly one partition.

use super::simulation::{HeldTransaction, Simulation};
use crate::api::channels::HeartbeatAnswer;
use crate::ids::MachineId;
use crate::jobs::tests::job_desc;
use crate::partitions::ShardRecord;
use std::collections::BTreeMap;

/// Store key of the first partition's owner record.
const OWNER_KEY: &str = "r/blocks/0/holder";

/// An owner that reaches neither its workers nor its peers cannot serve its partition. It must
/// hand the partition back, and the leader must grant it to another controller.
#[test]
fn owner_without_machines_and_peers_hands_back_its_partition() {
    let mut simulation = Simulation::started(3, 3);
    let previous_owner = simulation.owner();
    // No controller reaches a peer, but the other controllers reach the workers.
    for controller in &mut simulation.controllers {
        controller.faults.is_cut_from_peers = true;
    }
    simulation.controllers[previous_owner]
        .faults
        .is_cut_from_workers = true;
    simulation.advance(25.0);
    assert_ne!(
        simulation.owner(),
        previous_owner,
        "the partition is not granted to the same controller again"
    );
    simulation.submit(&job_desc("j-1", 4));
    simulation.advance(12.0);
    assert_eq!(simulation.running_count(), 4);
}

/// Builds a cluster whose quotas are so large that it has two partitions, and advances it until
/// they have owners.
fn two_partition_cluster(controllers: usize, machines: usize) -> Simulation {
    let mut simulation = Simulation::builder(controllers, machines)
        .team_quotas(4_000.0, 4_000.0)
        .build();
    simulation.advance(8.0);
    simulation
}

/// After a restart of all controllers, the first one registers a little earlier than the others.
/// The leader must not grant it all partitions.
#[test]
fn after_a_restart_of_all_controllers_the_first_member_does_not_get_every_partition() {
    let mut simulation = two_partition_cluster(3, 4);
    let owners = |simulation: &Simulation| {
        [0, 1].map(|partition| {
            let key = format!("r/blocks/{partition}/holder");
            simulation.store.value(&key)["holder"].clone()
        })
    };
    let [first, second] = owners(&simulation);
    assert_ne!(first, second);
    simulation.crash_all_controllers();
    simulation.advance(25.0);
    // The first controller starts 1.7 s before the others.
    simulation.start_controller(0);
    simulation.advance(1.7);
    simulation.start_controller(1);
    simulation.start_controller(2);
    simulation.advance(3.0);
    let [first, second] = owners(&simulation);
    assert_ne!(first, second);
}

/// An owner gets no answer to the hand-back of its partition, and then loses its watch, so it does
/// not learn of the next grant. It must answer no heartbeat after the hand-back: the next owner
/// counts the leases of silent workers from its own grant, and an answer would renew a lease after
/// that.
#[test]
fn owner_that_handed_back_its_partition_answers_no_heartbeat() {
    let mut simulation = Simulation::started(3, 2);
    simulation.submit(&job_desc("j-1", 8));
    simulation.advance(3.0);
    let previous_owner = simulation.owner();
    simulation.controllers[previous_owner]
        .faults
        .is_cut_from_workers = true;
    simulation.controllers[previous_owner]
        .faults
        .loses_write_answers = true;
    // The owner receives no heartbeat, so it hands the partition back. The write is committed, but
    // the owner does not receive the answer.
    let owner = |simulation: &Simulation| simulation.store.value(OWNER_KEY)["holder"].clone();
    let recorded_owner = owner(&simulation);
    for _ in 0..300 {
        simulation.advance(0.1);
        if simulation.store.value(OWNER_KEY)["incarnation"] == 0
            || owner(&simulation) != recorded_owner
        {
            break;
        }
    }
    simulation.controllers[previous_owner]
        .faults
        .is_cut_from_store = true;
    simulation.controllers[previous_owner]
        .faults
        .is_cut_from_workers = false;
    let answer = simulation.deliver_heartbeat_of(0, previous_owner);
    assert!(
        !matches!(answer, Some(HeartbeatAnswer::Accepted(_))),
        "unexpected answer to the heartbeat: {answer:?}"
    );
    simulation.advance(60.0);
    assert_ne!(simulation.owner(), previous_owner);
    assert_eq!(simulation.running_count(), 8);
}

/// The store rejects the hand-back of a partition. The owner still owns it and must go on answering
/// heartbeats.
#[test]
fn rejected_hand_back_of_a_partition_changes_nothing() {
    let mut simulation = Simulation::started(3, 2);
    simulation.submit(&job_desc("j-1", 4));
    simulation.advance(3.0);
    let owner = simulation.owner();
    simulation.controllers[owner].faults.is_cut_from_workers = true;
    simulation.advance(5.0);
    simulation.controllers[owner].faults.is_rejected_by_store = true;
    simulation.advance(6.0);
    simulation.controllers[owner].faults.is_cut_from_workers = false;
    simulation.advance(2.0);
    let answer = simulation.deliver_heartbeat_of(0, owner);
    assert!(
        matches!(answer, Some(HeartbeatAnswer::Accepted(_))),
        "unexpected answer to the heartbeat: {answer:?}"
    );
}

/// Returns the keys of the shards that record each machine.
fn shards_by_machine(simulation: &Simulation) -> BTreeMap<MachineId, Vec<String>> {
    let mut shards: BTreeMap<MachineId, Vec<String>> = BTreeMap::new();
    for (key, value) in simulation.store.machine_shards() {
        let record: ShardRecord = serde_json::from_value(value.clone()).expect("a shard");
        for id in record.0.keys() {
            shards.entry(id.clone()).or_default().push(key.clone());
        }
    }
    shards
}

/// The leader's write that adds machines to a partition is delayed, so the leader adds them to
/// another partition. When the first write reaches the store, no machine may be recorded in both.
#[test]
fn delayed_machine_records_put_no_machine_into_two_partitions() {
    let mut simulation = two_partition_cluster(2, 2);
    let leader = simulation.leader().expect("a leader");
    // New machines are running while the leader's writes are delayed.
    simulation.controllers[leader].faults.has_delayed_writes = true;
    simulation.add_machines(4);
    let adds_machine =
        |held: &&HeldTransaction| format!("{:?}", held.mutations).contains("m-000002");
    let delayed = |simulation: &Simulation| {
        let held = &simulation.network.held_transactions;
        held.iter().find(adds_machine).cloned()
    };
    let mut steps = 0;
    while delayed(&simulation).is_none() {
        simulation.advance(0.1);
        steps += 1;
        assert!(
            steps < 100,
            "the leader sends the write that adds the new machines"
        );
    }
    let delayed = delayed(&simulation).expect("the write");
    // A job of the other partition's team lacks capacity, so the leader adds the new machines
    // there.
    let is_first_partition = format!("{delayed:?}").contains("r/blocks/0/machines");
    let mut job = job_desc("j-1", 40);
    job.team = ["red", "blue"][usize::from(is_first_partition)].into();
    simulation.submit_to(&job, u64::from(is_first_partition));
    simulation.advance(3.0);
    simulation.controllers[leader].faults.has_delayed_writes = false;
    let mut steps = 0;
    while !shards_by_machine(&simulation).contains_key(&MachineId::from("m-000002")) {
        simulation.advance(0.1);
        steps += 1;
        assert!(
            steps < 100,
            "the new machines are recorded without the delayed write"
        );
    }
    simulation.deliver_transactions(vec![delayed]);
    for (id, shards) in shards_by_machine(&simulation) {
        assert_eq!(
            shards.len(),
            1,
            "{id} is recorded in several shards: {shards:?}"
        );
    }
}
