//! The life of a job from its launch to the recorded end, also when the owner's transactions
//! are delayed or repeated.

use super::simulation::Simulation;
use crate::jobs::JobState;
use crate::jobs::tests::desc;
use crate::store::Reply;

#[test]
fn ended_tasks_are_reaped_only_after_the_end_is_stored() {
    let mut simulation = Simulation::started(2, 1);
    simulation.submit(&desc("j-1", 3));
    simulation.advance(3.0);
    assert_eq!(simulation.running_count(), 3);
    simulation.network.holds_owner_transactions = true;
    simulation.finish_all();
    simulation.advance(3.0);
    assert_eq!(
        simulation.workers[0].tasks.len(),
        3,
        "not reaped before its end is stored"
    );
    simulation.network.holds_owner_transactions = false;
    simulation.advance(6.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    assert!(simulation.workers[0].tasks.is_empty(), "reaped");
}

#[test]
fn delayed_transaction_conflicts_and_the_job_stays_done() {
    let mut simulation = Simulation::started(1, 1);
    simulation.submit(&desc("j-1", 2));
    simulation.advance(3.0);
    simulation.network.holds_owner_transactions = true;
    simulation.finish_all();
    simulation.advance(3.0);
    simulation.network.holds_owner_transactions = false;
    simulation.advance(5.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    for delayed in simulation.network.take_held_transactions() {
        let reply = simulation
            .store
            .compare_and_swap(&delayed.compares, delayed.mutations);
        assert!(
            matches!(reply, Reply::Conflict(_)),
            "its revisions are outdated"
        );
    }
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
}

#[test]
fn repeated_transaction_changes_nothing() {
    let mut simulation = Simulation::started(1, 1);
    simulation.network.holds_owner_transactions = true;
    simulation.submit(&desc("j-1", 1));
    simulation.advance(2.0);
    simulation.finish_all();
    simulation.advance(2.0);
    let held = simulation.network.take_held_transactions();
    simulation.network.holds_owner_transactions = false;
    // The first is committed late, without an answer; then its retries, and all once more.
    for _ in 0..2 {
        for transaction in &held {
            let mutations = transaction.mutations.clone();
            simulation
                .store
                .compare_and_swap(&transaction.compares, mutations);
        }
    }
    simulation.advance(3.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    assert!(simulation.workers[0].tasks.is_empty(), "reaped");
}

/// A page of progress is written without an answer, once more with the tasks that have ended
/// since, and then the first write is committed.
#[test]
fn delayed_progress_page_undoes_nothing() {
    let mut simulation = Simulation::started(2, 2);
    simulation.submit(&desc("j-1", 4));
    simulation.advance(3.0);
    let owner = simulation.owner();
    simulation.controllers[owner].faults.has_delayed_writes = true;
    simulation.finish("j-1/0");
    simulation.advance(3.0);
    simulation.controllers[owner].faults.has_delayed_writes = false;
    let delayed = simulation.network.take_held_transactions();
    assert!(!delayed.is_empty());
    simulation.finish("j-1/1");
    simulation.advance(6.0);
    let done = |simulation: &Simulation| simulation.store.value("r/done/j-1/0000")["done"].clone();
    let both_done = done(&simulation);
    simulation.deliver_transactions(delayed);
    assert_eq!(done(&simulation), both_done);
    // Nor does a page of a job that has ended meanwhile restore anything.
    simulation.controllers[owner].faults.has_delayed_writes = true;
    simulation.finish("j-1/2");
    simulation.advance(3.0);
    simulation.controllers[owner].faults.has_delayed_writes = false;
    let delayed = simulation.network.take_held_transactions();
    simulation.cancel("j-1");
    simulation.advance(20.0);
    simulation.deliver_transactions(delayed);
    assert!(
        !simulation
            .store
            .keys
            .keys()
            .any(|key| key.starts_with("r/done/j-1/"))
    );
}
