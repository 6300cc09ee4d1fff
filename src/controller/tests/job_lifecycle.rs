//! The life cycle of a job from its launch to its stored end, also when transactions of the owner
//! are delayed or repeated.

use super::simulation::Simulation;
use crate::jobs::JobState;
use crate::jobs::tests::job_desc;
use crate::store::Reply;

/// A worker forgets a reaped task. If the owner had a task reaped before its end is stored and then
/// crashed, the end would be lost and the task would run again.
#[test]
fn ended_tasks_are_reaped_only_after_the_end_is_stored() {
    let mut simulation = Simulation::started(2, 1);
    simulation.submit(&job_desc("j-1", 3));
    simulation.advance(3.0);
    assert_eq!(simulation.running_count(), 3);
    simulation.network.holds_owner_transactions = true;
    simulation.finish_all();
    simulation.advance(3.0);
    assert_eq!(
        simulation.workers[0].tasks.len(),
        3,
        "no task is reaped before its end is stored"
    );
    simulation.network.holds_owner_transactions = false;
    simulation.advance(6.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    assert!(
        simulation.workers[0].tasks.is_empty(),
        "all tasks are reaped"
    );
}

/// A transaction of the owner is delayed until a retry has stored the end of the job. It must
/// conflict and must not overwrite the end.
#[test]
fn delayed_transaction_conflicts_and_the_job_stays_done() {
    let mut simulation = Simulation::started(1, 1);
    simulation.submit(&job_desc("j-1", 2));
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
            "the transaction must conflict, its revisions are outdated"
        );
    }
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
}

/// A transaction without an answer is retried although it was committed. Neither the retry nor a
/// repeated delivery of both may change the result.
#[test]
fn repeated_transaction_changes_nothing() {
    let mut simulation = Simulation::started(1, 1);
    simulation.network.holds_owner_transactions = true;
    simulation.submit(&job_desc("j-1", 1));
    simulation.advance(2.0);
    simulation.finish_all();
    simulation.advance(2.0);
    let held = simulation.network.take_held_transactions();
    simulation.network.holds_owner_transactions = false;
    // The first transaction and its retries reach the store late, and then all of them once more.
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
    assert!(
        simulation.workers[0].tasks.is_empty(),
        "all tasks are reaped"
    );
}

/// The write of a progress page is delayed, and a later write adds tasks that have ended since.
/// When the delayed write reaches the store, it must not undo the later one. A delayed page of a
/// job that has ended must not be restored, either.
#[test]
fn delayed_progress_page_undoes_nothing() {
    let mut simulation = Simulation::started(2, 2);
    simulation.submit(&job_desc("j-1", 4));
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
    // The job is cancelled while the write of its page is delayed.
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
