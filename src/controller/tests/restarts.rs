//! Restarts and crashes of controllers: all at the same time, immediately, or repeatedly.

use super::simulation::{Simulation, secs};
use crate::api::channels::HeartbeatAnswer;
use crate::jobs::JobState;
use crate::jobs::tests::job_desc;
use crate::store::{Reply, keys};
use std::collections::BTreeMap;

/// After a restart of all controllers, the new owner must adopt the tasks that kept running on the
/// machines and record their end.
#[test]
fn restart_of_all_controllers_adopts_running_tasks() {
    let mut simulation = Simulation::started(3, 2);
    simulation.submit(&job_desc("j-1", 4));
    simulation.advance(3.0);
    let last_term = |simulation: &Simulation| simulation.store.value(keys::TERM)["last"].as_u64();
    let first = last_term(&simulation);
    simulation.crash_all_controllers();
    simulation.advance(2.0);
    simulation.start_all_controllers();
    simulation.advance(6.0);
    assert!(
        last_term(&simulation) > first,
        "a new grant of the partition has a new term"
    );
    assert_eq!(simulation.running_count(), 4);
    simulation.finish_all();
    simulation.advance(4.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
}

/// Controllers restart several times within seconds while transactions of the first owner are
/// delayed. A delayed transaction must conflict, no attempt number may be used again, and the owner
/// and member records of earlier incarnations must be gone.
#[test]
fn rapid_controller_restarts_leave_no_stale_records() {
    let mut simulation = Simulation::started(3, 2);
    simulation.submit(&job_desc("j-1", 4));
    simulation.advance(3.0);
    let attempts = |simulation: &Simulation| -> Vec<u64> {
        let tasks = simulation
            .workers
            .iter()
            .flat_map(|worker| worker.tasks.values());
        tasks.map(|task| task.attempt).collect()
    };
    let first = attempts(&simulation);
    simulation.network.holds_owner_transactions = true;
    simulation.finish_all();
    simulation.advance(2.5);
    simulation.network.holds_owner_transactions = false;
    // Two of the three controllers restart in each round, also while a new leader is elected.
    for round in 0..6 {
        for controller in (0..3).filter(|controller| round % 3 != *controller) {
            simulation.restart_controller(controller);
        }
        simulation.advance(0.3);
    }
    let delayed = simulation.network.take_held_transactions();
    assert!(!delayed.is_empty());
    for transaction in delayed {
        let reply = simulation
            .store
            .compare_and_swap(&transaction.compares, transaction.mutations);
        assert!(
            matches!(reply, Reply::Conflict(_)),
            "a transaction of an earlier incarnation must conflict"
        );
    }
    simulation.advance(12.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    simulation.submit(&job_desc("j-2", 4));
    simulation.advance(4.0);
    assert_eq!(simulation.running_count(), 4);
    assert!(
        attempts(&simulation)
            .iter()
            .all(|attempt| !first.contains(attempt))
    );
    let owners = simulation
        .store
        .keys
        .keys()
        .filter(|key| key.ends_with("/holder"));
    assert_eq!(owners.count(), 1);
    let members = simulation
        .store
        .keys
        .keys()
        .filter(|key| key.starts_with("r/members/"));
    assert_eq!(members.count(), 3, "every controller is a member");
}

/// All controllers are down for longer than a worker lease, so every worker ends its tasks. The
/// next owner must start the tasks again, and must not accept late heartbeats that still show them
/// as running.
#[test]
fn all_controllers_down_for_longer_than_a_worker_lease_run_jobs_again() {
    let mut simulation = Simulation::started(3, 3);
    simulation.submit(&job_desc("j-1", 8));
    simulation.advance(3.0);
    let copies: Vec<_> = simulation
        .workers
        .iter_mut()
        .map(|worker| worker.heartbeat())
        .collect();
    simulation.crash_all_controllers();
    let lease_s = simulation.worker_lease_s();
    simulation.advance(lease_s + 5.0);
    assert_eq!(simulation.running_count(), 0);
    simulation.start_all_controllers();
    simulation.advance(4.0);
    // The copies are from an agent epoch that has ended.
    let owner = simulation.owner();
    for copy in &copies {
        assert_eq!(
            simulation.deliver_late_heartbeat(owner, copy),
            Some(HeartbeatAnswer::Unavailable)
        );
    }
    simulation.advance(8.0);
    assert_eq!(simulation.running_count(), 8);
    simulation.finish_all();
    simulation.advance(4.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
}

/// The leader crashes ten times in two minutes, some of the time during an outage of the store. A
/// term must never be granted to two owners or incarnations, and the jobs must finish.
#[test]
fn ten_leader_changes_in_two_minutes_with_an_outage_grant_each_term_once() {
    let mut simulation = Simulation::started(3, 3);
    simulation.task_duration = Some(secs(9.0));
    // The owner and incarnation to which the partition was granted, by term.
    let mut grants = BTreeMap::new();
    for round in 0..10 {
        let grant = simulation.store.value("r/blocks/0/holder").clone();
        let owner = (grant["holder"].clone(), grant["incarnation"].clone());
        let term = grant["term"].as_u64().expect("a term");
        let first_owner = grants.entry(term).or_insert(owner.clone());
        assert_eq!(*first_owner, owner, "term {term}");
        let id = format!("j-{round}");
        if !simulation.store.is_down {
            simulation.submit(&job_desc(&id, 3));
        }
        let leader = simulation.leader().unwrap_or(round % 3);
        simulation.crash_controller(leader);
        simulation.store.is_down = (4..7).contains(&round);
        simulation.advance(if round % 2 == 0 { 0.3 } else { 6.0 });
        simulation.start_controller(leader);
        simulation.advance(8.0);
    }
    simulation.advance(60.0);
    for round in (0..10).filter(|round| !(5..=7).contains(round)) {
        assert_eq!(
            simulation.ended_state(&format!("j-{round}")),
            Some(JobState::Done),
            "job j-{round} is done"
        );
    }
}
