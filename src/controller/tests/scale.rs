//! Scale: the costs of a large fleet and a large backlog stay within their bounds.
//!
//! The costs are the store's mutations, the size of its values, and comparisons of machines with
//! classes of tasks.

use super::simulation::{Simulation, TaskAttempt, secs};
use crate::jobs::tests::job_desc;
use crate::jobs::{JobState, Priority, tasks_per_page};
use serde_json::Value;

/// Interval at which an owner runs its scheduler, in microseconds.
const SCHEDULING_INTERVAL_US: u64 = 500_000;

/// Builds a cluster whose quotas are large enough for thousands of machines of 16 cores under one
/// owner.
fn cluster_for_thousands(controllers: usize, machines: usize) -> Simulation {
    Simulation::builder(controllers, machines)
        .whole_core()
        .team_quotas(15_000.0, 40_000.0)
        .build()
}

/// A machine in the stored machine records.
struct RecordedMachine {
    is_used: bool,
}

/// Returns the machines in the stored shards of all partitions.
fn recorded_machines(simulation: &Simulation) -> Vec<RecordedMachine> {
    simulation
        .store
        .machine_shards()
        .flat_map(|(_, shard)| shard.as_object().expect("a shard").values())
        .map(|record| RecordedMachine {
            is_used: record["u"] == Value::Bool(true),
        })
        .collect()
}

/// The records of a large fleet must fit the store's limits: the simulated store panics at a
/// transaction or value that exceeds them. A leader that crashes while it records machines must
/// lose none of them.
#[test]
fn two_thousand_machines_fit_the_store_limits_and_a_leader_crash_loses_none() {
    let mut simulation = cluster_for_thousands(5, 2_100);
    // The leader records the machines a few shards at a time, and crashes after the first write.
    while recorded_machines(&simulation).is_empty() {
        simulation.advance(0.1);
    }
    assert!(
        recorded_machines(&simulation).len() < 2_100,
        "one write does not record all machines"
    );
    let leader = simulation.leader().expect("a leader");
    simulation.crash_controller(leader);
    simulation.advance(25.0);
    let all = recorded_machines(&simulation);
    assert_eq!(all.len(), 2_100, "each machine is recorded once");
    assert!(all.iter().all(|machine| machine.is_used));
    // The job has more tasks than a progress page covers, and all of them start at the same time.
    simulation.submit(&job_desc("j-1", 16_000));
    simulation.advance(20.0);
    assert_eq!(simulation.running_count(), 16_000);
    let earlier = simulation.store.mutation_count;
    simulation.finish_all();
    simulation.advance(6.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    let spent = simulation.store.mutation_count - earlier;
    assert!(spent < 200, "{spent} mutations for the end of one job");
}

/// Guards against heartbeats with dozens of ended tasks. Tasks kept ending on more progress pages
/// than one write includes, and none of the tasks was reaped. The heartbeats became too long to be
/// read in time, and 495 healthy machines were released.
#[test]
fn ended_tasks_are_reaped_page_by_page_while_others_end() {
    let mut simulation = Simulation::new(1, 1);
    simulation.advance(6.0);
    let page = tasks_per_page(simulation.controllers[0].settings.platform.state.value_kb);
    let pages = 6;
    let mut array = job_desc("j-1", pages * page);
    (array.cores, array.memory_gb) = (0.003, 0.01);
    simulation.submit(&array);
    simulation.advance(10.0);
    assert_eq!(simulation.running_count(), (pages * page) as usize);
    let rounds = 20;
    for round in 0..rounds {
        // One task ends on every page, so some pages are still unwritten after each transaction.
        for page_number in 0..pages {
            simulation.finish(&format!("j-1/{}", page_number * page + round));
        }
        simulation.advance(1.0);
    }
    let has_exited = |task: &&TaskAttempt| !task.is_running();
    let unreaped = simulation.workers[0]
        .tasks
        .values()
        .filter(has_exited)
        .count();
    let all = (rounds * pages) as usize;
    assert!(
        unreaped <= all / 3,
        "{unreaped} of {all} ended tasks are still reported"
    );
}

/// Guards against jobs of one task whose end was recorded only minutes later. Each job took one
/// mutation to be recorded as running and another one to delete that record.
#[test]
fn many_small_jobs_cost_few_mutations_beyond_their_ends() {
    let mut simulation = Simulation::builder(1, 4)
        .settings(|settings| settings["settings"]["state"]["write_rps"] = 20.0.into())
        .build();
    simulation.task_duration = Some(secs(4.0));
    simulation.advance(6.0);
    let earlier = simulation.store.mutation_count;
    let jobs = 100;
    for number in 0..jobs {
        let mut small = job_desc(&format!("j-{number}"), 1);
        (small.cores, small.memory_gb) = (0.1, 0.1);
        simulation.submit(&small);
        simulation.advance(0.2);
    }
    simulation.advance(10.0);
    for number in 0..jobs {
        assert_eq!(
            simulation.ended_state(&format!("j-{number}")),
            Some(JobState::Done)
        );
    }
    // A job takes one mutation to be accepted and two to end.
    let spent = simulation.store.mutation_count - earlier;
    let expected = 3 * jobs;
    assert!(
        spent <= expected + expected / 2,
        "{spent} mutations for {jobs} jobs"
    );
}

/// Guards against an owner that spent most of its processor time on comparisons without effect: a
/// job of the lowest priority whose team has no guarantee can preempt nothing. Such a job must not
/// be compared with all machines.
#[test]
fn job_that_may_preempt_nothing_is_compared_with_fewer_machines() {
    let comparisons = |priority: Priority| {
        let mut simulation = Simulation::builder(1, 4).guest_team().started();
        for (id, team) in [("j-1", "red"), ("j-2", "blue")] {
            let mut all = job_desc(id, 100);
            (all.team, all.deadline_s) = (team.into(), None);
            simulation.submit(&all);
        }
        simulation.advance(3.0);
        let mut late = job_desc("j-3", 100);
        (late.team, late.priority, late.deadline_s) = ("guests".into(), priority, None);
        simulation.submit(&late);
        simulation.advance(15.0);
        let before = simulation.machines_compared();
        simulation.advance(5.0);
        simulation.machines_compared() - before
    };
    let (idle, production) = (
        comparisons(Priority::Idle),
        comparisons(Priority::Production),
    );
    assert!(
        idle < production,
        "comparisons: idle {idle}, production {production}"
    );
}

/// Jobs of one class wait while all capacity is used. The number of comparisons in a scheduler run
/// must depend on the number of machines, not on the number of waiting jobs.
#[test]
fn machine_comparisons_dont_grow_with_a_backlog_that_fits_nowhere() {
    let comparisons_per_run = |machines: usize, backlog: u32| {
        let mut simulation = Simulation::builder(1, machines)
            .team_limits(100_000.0)
            .started();
        simulation.submit(&job_desc("j-1", 8 * machines as u32));
        simulation.advance(4.0);
        // All capacity is used, so these jobs of one class wait.
        for number in 0..backlog {
            simulation.submit(&job_desc(&format!("j-{}", 100 + number), 4));
        }
        simulation.advance(2.0);
        let before = simulation.machines_compared();
        simulation.advance(4.0);
        let runs = secs(4.0).0 / SCHEDULING_INTERVAL_US;
        (simulation.machines_compared() - before) / runs as usize
    };
    // A class is compared with the largest free capacity of each machine type. A class that does
    // not fit there is not compared with single machines. Only the first job is, to reserve a
    // machine.
    assert!(comparisons_per_run(40, 10) <= 45);
    assert!(
        comparisons_per_run(40, 100) <= 45,
        "comparisons must not grow with the backlog"
    );
}

/// Guards against a fixed bound that is below 4,000 machines: each machine is adopted, used and
/// released.
#[test]
fn four_thousand_machines_are_adopted_used_and_released() {
    let machines = 4_000;
    let mut simulation = cluster_for_thousands(2, machines);
    simulation.idle_release_after = secs(20.0);
    simulation.start_all_controllers();
    simulation.advance(18.0);
    let all = recorded_machines(&simulation);
    assert_eq!(all.len(), machines, "each machine is recorded once");
    assert!(
        all.iter().all(|machine| machine.is_used),
        "each machine is adopted"
    );
    // One task fills a machine. Two teams share the machines, because the quota limit of one team
    // is lower.
    for (id, team) in [("j-1", "red"), ("j-2", "blue")] {
        let mut job = job_desc(id, machines as u32 / 2);
        (job.cores, job.team) = (16.0, team.into());
        simulation.submit(&job);
    }
    simulation.advance(6.0);
    assert_eq!(simulation.running_count(), machines);
    simulation.finish_all();
    simulation.advance(6.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    assert_eq!(simulation.ended_state("j-2"), Some(JobState::Done));
    // Machines are kept for the minimum charge of one minute.
    simulation.advance(50.0);
    assert_eq!(simulation.cloud.released.len(), machines);
    assert_eq!(recorded_machines(&simulation).len(), 0);
}

/// Builds a cluster for hundreds of machines under one owner and advances it until they are
/// adopted.
fn cluster_for_hundreds(controllers: usize, machines: usize) -> Simulation {
    let mut simulation = Simulation::builder(controllers, machines)
        .whole_core()
        .team_quotas(1_000.0, 6_000.0)
        .build();
    simulation.advance(8.0);
    simulation
}

/// The owner crashes while a hundred machines are isolated. Their leases are valid, so the next
/// owner must neither start their tasks elsewhere nor release the machines after the reconnection.
#[test]
fn a_hundred_machines_isolated_during_a_failover_keep_their_tasks() {
    let mut simulation = cluster_for_hundreds(3, 300);
    simulation.submit(&job_desc("j-1", 1_200));
    simulation.advance(6.0);
    assert_eq!(simulation.running_count(), 1_200);
    // The cloud can release no machine, and the worker leases are valid: each task must stay.
    simulation.cloud.is_unreachable = true;
    for worker in simulation.workers.iter_mut().take(100) {
        worker.is_isolated = true;
    }
    let before = simulation.crash_owner();
    simulation.advance(24.0);
    assert_ne!(simulation.owner(), before);
    simulation.submit(&job_desc("j-2", 100));
    simulation.advance(2.0);
    for worker in simulation.workers.iter_mut().take(100) {
        worker.is_isolated = false;
    }
    simulation.advance(8.0);
    assert_eq!(
        simulation.running_count(),
        1_300,
        "the earlier tasks and the new job's tasks run"
    );
    simulation.cloud.is_unreachable = false;
    simulation.advance(8.0);
    assert!(
        simulation.cloud.released.is_empty(),
        "no machine is released for heartbeats that were missing before"
    );
}

/// All controllers restart during an outage of the store, twice. The controllers' leases from
/// before a restart must not delay the next owner: new jobs must start within seconds.
#[test]
fn after_two_restarts_of_all_controllers_in_outages_jobs_start_within_seconds() {
    let mut simulation = cluster_for_hundreds(5, 100);
    simulation.submit(&job_desc("j-1", 100));
    simulation.advance(4.0);
    for round in 0..2 {
        simulation.store.is_down = true;
        simulation.advance(8.0);
        simulation.crash_all_controllers();
        simulation.store.is_down = false;
        simulation.advance(0.5);
        simulation.start_all_controllers();
        // The next incarnation of a controller revokes the lease of the previous one, whose time to
        // live the outage has renewed.
        simulation.advance(3.0);
        simulation.submit(&job_desc(&format!("j-{}", 10 + round), 50));
        simulation.advance(4.0);
        assert_eq!(simulation.running_count(), 100 + 50 * (round + 1));
    }
    simulation.finish_all();
    simulation.advance(6.0);
    for id in ["j-1", "j-10", "j-11"] {
        assert_eq!(simulation.ended_state(id), Some(JobState::Done));
    }
}
