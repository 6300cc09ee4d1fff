//! Failover of a partition: the next owner adopts what runs, starts nothing twice, and waits
//! for silent machines only as long as their tasks may still run.

use super::simulation::Simulation;
use crate::ids::AttemptId;
use crate::jobs::JobState;
use crate::jobs::tests::desc;

#[test]
fn failover_adopts_running_tasks_and_starts_none_twice() {
    let mut simulation = Simulation::started(2, 2);
    simulation.submit(&desc("j-1", 4));
    simulation.advance(3.0);
    assert_eq!(simulation.running_count(), 4);
    let previous_owner = simulation.crash_owner();
    simulation.advance(40.0);
    assert_ne!(simulation.owner(), previous_owner);
    for index in 0..4 {
        assert_eq!(simulation.workers_running(&format!("j-1/{index}")).len(), 1);
    }
    simulation.finish_all();
    simulation.advance(4.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
}

#[test]
fn after_failover_older_jobs_wait_for_silent_machines() {
    let mut simulation = Simulation::started(2, 2);
    simulation.submit(&desc("j-1", 4));
    simulation.advance(3.0);
    let silent = simulation.workers_running("j-1/0")[0];
    simulation.workers[silent].is_isolated = true;
    simulation.cloud.is_unreachable = true;
    let previous_owner = simulation.crash_owner();
    // The previous owner's lease has expired, but not yet the worker's.
    simulation.advance(25.0);
    assert_ne!(simulation.owner(), previous_owner);
    simulation.submit(&desc("j-2", 1));
    simulation.advance(3.0);
    assert_eq!(
        simulation.workers_running("j-1/0"),
        vec![silent],
        "it may still run on the isolated machine"
    );
    assert!(
        simulation.workers_running("j-2/0").is_empty(),
        "the silent machine may use up the whole limit"
    );
    simulation.advance(40.0);
    assert_eq!(simulation.workers_running("j-1/0").len(), 1);
    assert_ne!(
        simulation.workers_running("j-1/0"),
        vec![silent],
        "the worker's lease has expired"
    );
}

#[test]
fn attempt_numbers_never_repeat_after_failover() {
    let mut simulation = Simulation::started(2, 1);
    simulation.submit(&desc("j-1", 1));
    simulation.advance(3.0);
    let first = simulation.workers[0].tasks["j-1/0"].attempt;
    simulation.crash_owner();
    simulation.advance(25.0);
    simulation.finish_all();
    simulation.submit(&desc("j-2", 1));
    simulation.advance(4.0);
    let second = simulation.workers[0].tasks["j-2/0"].attempt;
    assert!(AttemptId(second) > AttemptId(first));
}

#[test]
fn after_failover_a_job_waits_only_for_machines_that_it_may_run_on() {
    let mut simulation = Simulation::builder(2, 4).team_limits(64.0).build();
    simulation.workers[0].zone = "y";
    simulation.advance(6.0);
    // The one machine in the other zone gets isolated, and all controllers end. Both jobs
    // are older than the failover, so the next owner must assume that they were started.
    simulation.workers[0].is_isolated = true;
    simulation.cloud.is_unreachable = true;
    simulation.crash_all_controllers();
    let mut bound = desc("j-1", 2);
    bound.zone = Some("x".into());
    simulation.submit(&bound);
    simulation.submit(&desc("j-2", 2));
    simulation.advance(1.0);
    simulation.start_all_controllers();
    simulation.advance(8.0);
    assert_eq!(
        simulation.workers_running("j-1/0").len(),
        1,
        "it can't run in the other zone"
    );
    assert!(
        simulation.workers_running("j-2/0").is_empty(),
        "it can, so it waits"
    );
    simulation.advance(40.0);
    assert_eq!(
        simulation.running_count(),
        4,
        "until that worker's lease has expired"
    );
}

#[test]
fn job_whose_tasks_end_around_a_failover_is_done_once() {
    let mut simulation = Simulation::started(3, 2);
    simulation.submit(&desc("j-1", 3));
    simulation.advance(3.0);
    simulation.finish("j-1/0");
    simulation.advance(4.0);
    // The second task ends while the owner's writes get no answer; then the owner crashes.
    let previous_owner = simulation.owner();
    simulation.controllers[previous_owner]
        .faults
        .has_delayed_writes = true;
    simulation.finish("j-1/1");
    simulation.advance(3.0);
    simulation.controllers[previous_owner]
        .faults
        .has_delayed_writes = false;
    simulation.crash_controller(previous_owner);
    simulation.advance(30.0);
    simulation.deliver_held_transactions();
    assert_eq!(simulation.ended_state("j-1"), None);
    simulation.advance(5.0);
    assert!(
        simulation.workers_running("j-1/0").is_empty(),
        "known to be done"
    );
    simulation.finish("j-1/2");
    simulation.advance(6.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
}
