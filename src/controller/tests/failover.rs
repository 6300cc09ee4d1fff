//! Failover of a partition: the next owner adopts running tasks, starts no task twice, and waits
//! for silent machines only as long as tasks may still run there.

use super::simulation::Simulation;
use crate::ids::AttemptId;
use crate::jobs::JobState;
use crate::jobs::tests::job_desc;

/// The next owner must adopt the running tasks of a crashed owner. It must not start them again,
/// and must record their end.
#[test]
fn failover_adopts_running_tasks_and_starts_none_twice() {
    let mut simulation = Simulation::started(2, 2);
    simulation.submit(&job_desc("j-1", 4));
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

/// A machine is silent after a failover, so the new owner does not know which tasks run there.
/// Until the worker's lease has expired, it must not start tasks that may run there, and must count
/// the machine against the team's limit.
#[test]
fn after_failover_older_jobs_wait_for_silent_machines() {
    let mut simulation = Simulation::started(2, 2);
    simulation.submit(&job_desc("j-1", 4));
    simulation.advance(3.0);
    let silent = simulation.workers_running("j-1/0")[0];
    simulation.workers[silent].is_isolated = true;
    simulation.cloud.is_unreachable = true;
    let previous_owner = simulation.crash_owner();
    // The previous owner's lease has expired, but not yet the worker's.
    simulation.advance(25.0);
    assert_ne!(simulation.owner(), previous_owner);
    simulation.submit(&job_desc("j-2", 1));
    simulation.advance(3.0);
    assert_eq!(
        simulation.workers_running("j-1/0"),
        vec![silent],
        "the task may still run on the isolated machine"
    );
    assert!(
        simulation.workers_running("j-2/0").is_empty(),
        "tasks on the silent machine may use the whole limit of the team"
    );
    simulation.advance(40.0);
    assert_eq!(simulation.workers_running("j-1/0").len(), 1);
    assert_ne!(
        simulation.workers_running("j-1/0"),
        vec![silent],
        "the worker's lease has expired"
    );
}

/// A worker identifies an attempt by its number. If a new owner used a number again, a late command
/// for the old attempt would apply to the new one.
#[test]
fn attempt_numbers_never_repeat_after_failover() {
    let mut simulation = Simulation::started(2, 1);
    simulation.submit(&job_desc("j-1", 1));
    simulation.advance(3.0);
    let first = simulation.workers[0].tasks["j-1/0"].attempt;
    simulation.crash_owner();
    simulation.advance(25.0);
    simulation.finish_all();
    simulation.submit(&job_desc("j-2", 1));
    simulation.advance(4.0);
    let second = simulation.workers[0].tasks["j-2/0"].attempt;
    assert!(AttemptId(second) > AttemptId(first));
}

/// After a failover, a job waits for silent machines because its tasks may already run there. A job
/// that is bound to another zone cannot run there, so it must not wait.
#[test]
fn after_failover_a_job_waits_only_for_machines_that_it_may_run_on() {
    let mut simulation = Simulation::builder(2, 4).team_limits(64.0).build();
    simulation.workers[0].zone = "y";
    simulation.advance(6.0);
    // The only machine in the other zone is isolated, and all controllers crash. Both jobs are
    // older than the failover, so the next owner must assume that they were started.
    simulation.workers[0].is_isolated = true;
    simulation.cloud.is_unreachable = true;
    simulation.crash_all_controllers();
    let mut zone_bound = job_desc("j-1", 2);
    zone_bound.zone = Some("x".into());
    simulation.submit(&zone_bound);
    simulation.submit(&job_desc("j-2", 2));
    simulation.advance(1.0);
    simulation.start_all_controllers();
    simulation.advance(8.0);
    assert_eq!(
        simulation.workers_running("j-1/0").len(),
        1,
        "j-1 cannot run in the zone of the silent machine"
    );
    assert!(
        simulation.workers_running("j-2/0").is_empty(),
        "j-2 may run on the silent machine, so it waits"
    );
    simulation.advance(40.0);
    assert_eq!(
        simulation.running_count(),
        4,
        "j-2 starts once the silent worker's lease has expired"
    );
}

/// Tasks of a job end shortly before and after the owner crashes, and the owner's last write is
/// delayed. The job must be recorded as done once, and tasks that were done must not run again.
#[test]
fn job_whose_tasks_end_around_a_failover_is_done_once() {
    let mut simulation = Simulation::started(3, 2);
    simulation.submit(&job_desc("j-1", 3));
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
        "the task that was done does not run again"
    );
    simulation.finish("j-1/2");
    simulation.advance(6.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
}
