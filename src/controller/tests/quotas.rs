//! Quotas and placement constraints: no team exceeds its quota limit, including tasks that silent
//! machines may still run, and unused capacity is lent to other teams.

use super::simulation::{Simulation, secs};
use crate::jobs::JobState;
use crate::jobs::tests::{job_desc, machine_types};

/// After a failover the new owner does not know which tasks a silent machine runs. It must assume
/// that the machine uses up the team's limit, or the team would exceed it.
#[test]
fn silent_machine_counts_against_the_team_limit() {
    let mut simulation = Simulation::started(2, 3);
    // The limit is 16 cores, and 8 tasks of 2 cores use it up.
    simulation.submit(&job_desc("j-1", 8));
    simulation.advance(3.0);
    assert_eq!(simulation.running_count(), 8);
    for worker in simulation.workers_running("j-1/0") {
        simulation.workers[worker].is_isolated = true;
    }
    simulation.cloud.is_unreachable = true;
    simulation.crash_owner();
    simulation.advance(25.0);
    simulation.submit(&job_desc("j-2", 8));
    simulation.advance(3.0);
    assert!(
        simulation.running_count() <= 8,
        "{} tasks of 2 cores run, the limit is 16 cores",
        simulation.running_count()
    );
}

/// Each task of a large job must keep to the team's limit and to the job's placement constraint,
/// not only the job's first tasks.
#[test]
fn anti_affinity_and_team_limits_hold_for_every_task() {
    let mut simulation = Simulation::started(1, 3);
    let mut single_zone = job_desc("j-1", 100);
    single_zone.single_zone = true;
    simulation.submit(&single_zone);
    let mut anti_affinity = job_desc("j-2", 5);
    anti_affinity.anti_affinity = true;
    anti_affinity.team = "blue".into();
    simulation.submit(&anti_affinity);
    simulation.advance(4.0);
    let task_count = |prefix: &str| {
        simulation
            .workers
            .iter()
            .map(|worker| {
                let tasks = worker.tasks.keys();
                tasks.filter(|task| task.starts_with(prefix)).count()
            })
            .sum::<usize>()
    };
    assert_eq!(
        task_count("j-1/"),
        8,
        "8 tasks of 2 cores use the limit of 16 cores"
    );
    // All machines are in one zone, which may run at most half of the five tasks, rounded up.
    assert_eq!(task_count("j-2/"), 3);
}

/// A team without a guaranteed quota comes last, and its limit of 0 means that it has no limit. It
/// may use capacity that other teams leave unused.
#[test]
fn guest_team_without_quotas_is_served_with_unused_capacity() {
    let mut simulation = Simulation::builder(1, 3).guest_team().build();
    simulation.task_duration = Some(secs(4.0));
    simulation.advance(6.0);
    let mut array = job_desc("j-1", 400);
    array.team = "guests".into();
    array.cores = 0.25;
    array.memory_gb = 0.5;
    let settings = &simulation.controllers[0].settings;
    assert_eq!(array.admissible(settings, &machine_types()), Ok(()));
    simulation.submit(&array);
    simulation.advance(2.0);
    assert_eq!(
        simulation.running_count(),
        192,
        "the tasks use the whole capacity, four tasks on each core"
    );
    // Freed capacity goes first to a team that is below its guaranteed quota.
    simulation.submit(&job_desc("j-2", 4));
    simulation.advance(6.0);
    assert_eq!(
        simulation.workers_running("j-2/0").len()
            + usize::from(simulation.ended_state("j-2").is_some()),
        1
    );
    simulation.advance(20.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
}

/// A cancelled job no longer has a job record, but its tasks run until their worker receives the
/// stop command. Until then they must count against the limit of their own team, and of no other
/// team.
#[test]
fn tasks_of_a_cancelled_job_count_against_its_team_limit_after_failover() {
    let mut simulation = Simulation::started(2, 3);
    simulation.submit(&job_desc("j-1", 8));
    simulation.advance(3.0);
    let worker = simulation.workers_running("j-1/0")[0];
    assert_eq!(
        simulation.running_count(),
        8,
        "the tasks use the whole limit of the team"
    );
    simulation.cloud.is_unreachable = true;
    simulation.crash_owner();
    simulation.cancel("j-1");
    // The worker receives the new fencing token, and no answer or command after that.
    let first_token = simulation.workers[worker].fencing_token;
    while simulation.workers[worker].fencing_token == first_token {
        simulation.advance(0.1);
    }
    simulation.workers[worker].is_unreachable = true;
    simulation.submit(&job_desc("j-2", 8));
    let mut other_team = job_desc("j-3", 8);
    other_team.team = "blue".into();
    simulation.submit(&other_team);
    simulation.advance(12.0);
    assert!(
        simulation.workers[worker].running_tasks("j-1/").count() > 0,
        "the cancelled tasks keep running"
    );
    assert_eq!(
        simulation.workers_running("j-3/0").len(),
        1,
        "the job of the other team starts"
    );
    let lease_s = simulation.worker_lease_s();
    simulation.advance(lease_s);
    assert_eq!(
        simulation.workers_running("j-2/7").len(),
        1,
        "the last task starts once the worker's lease has expired"
    );
}

/// The record of a cancelled job was written by an earlier version and names no team. Its running
/// tasks may belong to any team, so they must count against the limit of each team.
#[test]
fn cancelled_job_without_footprint_counts_as_the_worst_case() {
    let mut simulation = Simulation::started(2, 3);
    simulation.submit(&job_desc("j-1", 8));
    simulation.advance(3.0);
    let worker = simulation.workers_running("j-1/0")[0];
    simulation.cloud.is_unreachable = true;
    simulation.crash_owner();
    simulation.cancel("j-1");
    let ended = simulation
        .store
        .keys
        .get_mut("ended/j-1")
        .expect("a record");
    ended
        .value
        .as_object_mut()
        .expect("an object")
        .remove("footprint");
    let first_token = simulation.workers[worker].fencing_token;
    while simulation.workers[worker].fencing_token == first_token {
        simulation.advance(0.1);
    }
    simulation.workers[worker].is_unreachable = true;
    simulation.submit(&job_desc("j-2", 8));
    simulation.advance(12.0);
    assert!(simulation.workers[worker].running_tasks("j-1/").count() > 0);
    let lease_s = simulation.worker_lease_s();
    simulation.advance(lease_s);
    assert_eq!(simulation.workers_running("j-2/7").len(), 1);
}

/// A job is cancelled during a failover while its machines are isolated. Its tasks must count
/// against the team's limit until they have ended, and no longer.
#[test]
fn team_limit_holds_in_a_failover_with_a_cancellation() {
    let mut simulation = Simulation::started(2, 4);
    simulation.submit(&job_desc("j-1", 4));
    simulation.submit(&job_desc("j-2", 4));
    simulation.advance(3.0);
    assert_eq!(
        simulation.running_count(),
        8,
        "8 tasks of 2 cores use the limit of 16 cores"
    );
    simulation.cloud.is_unreachable = true;
    for worker in simulation.workers_running("j-1/0") {
        simulation.workers[worker].is_isolated = true;
    }
    simulation.crash_owner();
    simulation.advance(21.0);
    simulation.cancel("j-1");
    simulation.submit(&job_desc("j-3", 8));
    simulation.advance(50.0);
    simulation.set_workers_isolated(false);
    simulation.advance(12.0);
    assert!(
        simulation.has_started("j-3"),
        "the cancelled tasks no longer count against the limit"
    );
}
