//! Scale: what grows with the fleet and the backlog, and what must not.

use super::simulation::{Simulation, TaskAttempt, secs};
use crate::jobs::tests::desc;
use crate::jobs::{JobState, Priority, tasks_per_page};
use serde_json::Value;

/// The interval in microseconds at which an owner runs its scheduler.
const SCHEDULING_INTERVAL_US: u64 = 500_000;

/// Thousands of machines of 16 cores under one owner, with the quotas that they need.
fn thousands(controllers: usize, machines: usize) -> Simulation {
    Simulation::builder(controllers, machines)
        .whole_core()
        .team_quotas(15_000.0, 40_000.0)
        .build()
}

/// A machine in the store's records.
struct RecordedMachine {
    is_used: bool,
}

fn recorded(simulation: &Simulation) -> Vec<RecordedMachine> {
    simulation
        .store
        .machine_shards()
        .flat_map(|(_, shard)| shard.as_object().expect("a shard").values())
        .map(|record| RecordedMachine {
            is_used: record["u"] == Value::Bool(true),
        })
        .collect()
}

/// The simulated store panics at any transaction or value beyond the settings' limits.
#[test]
fn two_thousand_machines_fit_the_store_limits_and_a_leader_crash_loses_none() {
    let mut simulation = thousands(5, 2_100);
    // The leader crashes while the machines are being recorded, a few shards at a time.
    while recorded(&simulation).is_empty() {
        simulation.advance(0.1);
    }
    assert!(recorded(&simulation).len() < 2_100, "more than one write");
    let leader = simulation.leader().expect("a leader");
    simulation.crash_controller(leader);
    simulation.advance(25.0);
    let all = recorded(&simulation);
    assert_eq!(all.len(), 2_100, "each once");
    assert!(all.iter().all(|machine| machine.is_used));
    // A job of more tasks than a page of progress holds, all at once.
    simulation.submit(&desc("j-1", 16_000));
    simulation.advance(20.0);
    assert_eq!(simulation.running_count(), 16_000);
    let earlier = simulation.store.mutation_count;
    simulation.finish_all();
    simulation.advance(6.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    let spent = simulation.store.mutation_count - earlier;
    assert!(spent < 200, "{spent} mutations for the end of one job");
}

/// Guards against heartbeats with dozens of ended tasks: while tasks of more pages than one
/// write takes went on ending, none of them was reaped, until the heartbeats were too long to
/// be read in time and 495 healthy machines were released.
#[test]
fn ended_tasks_are_reaped_page_by_page_while_others_end() {
    let mut simulation = Simulation::new(1, 1);
    simulation.advance(6.0);
    let page = tasks_per_page(simulation.controllers[0].settings.platform.state.value_kb);
    let pages = 6;
    let mut array = desc("j-1", pages * page);
    (array.cores, array.memory_gb) = (0.003, 0.01);
    simulation.submit(&array);
    simulation.advance(10.0);
    assert_eq!(simulation.running_count(), (pages * page) as usize);
    let rounds = 20;
    for round in 0..rounds {
        // In every page, so that some are unwritten after each transaction.
        for page_number in 0..pages {
            simulation.finish(&format!("j-1/{}", page_number * page + round));
        }
        simulation.advance(1.0);
    }
    let has_exited = |task: &&TaskAttempt| !task.is_running();
    let left = simulation.workers[0]
        .tasks
        .values()
        .filter(has_exited)
        .count();
    let all = (rounds * pages) as usize;
    assert!(left <= all / 3, "{left} of {all} are still reported");
}

/// Guards against jobs of one task that waited for minutes to be recorded as done: each took a
/// mutation to be shown as running and one more to delete that.
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
        let mut probe = desc(&format!("j-{number}"), 1);
        (probe.cores, probe.memory_gb) = (0.1, 0.1);
        simulation.submit(&probe);
        simulation.advance(0.2);
    }
    simulation.advance(10.0);
    for number in 0..jobs {
        assert_eq!(
            simulation.ended_state(&format!("j-{number}")),
            Some(JobState::Done)
        );
    }
    // One to be accepted, two to end.
    let spent = simulation.store.mutation_count - earlier;
    let expected = 3 * jobs;
    assert!(spent <= expected + expected / 2, "{spent} for {jobs} jobs");
}

/// Guards against an owner that spent most of its processor time on it: a job of the lowest
/// priority and without a guarantee can preempt nothing, and so needs no walk over the machines.
#[test]
fn job_that_may_preempt_nothing_is_compared_with_fewer_machines() {
    let comparisons = |priority: Priority| {
        let mut simulation = Simulation::builder(1, 4).guest_team().started();
        for (id, team) in [("j-1", "red"), ("j-2", "blue")] {
            let mut all = desc(id, 100);
            (all.team, all.deadline_s) = (team.into(), None);
            simulation.submit(&all);
        }
        simulation.advance(3.0);
        let mut late = desc("j-3", 100);
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
    assert!(idle < production, "{idle} and {production}");
}

#[test]
fn machine_comparisons_dont_grow_with_a_backlog_that_fits_nowhere() {
    let comparisons_per_run = |machines: usize, backlog: u32| {
        let mut simulation = Simulation::builder(1, machines)
            .team_limits(100_000.0)
            .started();
        simulation.submit(&desc("j-1", 8 * machines as u32));
        simulation.advance(4.0);
        // All capacity is used, and jobs of one class wait for it.
        for number in 0..backlog {
            simulation.submit(&desc(&format!("j-{}", 100 + number), 4));
        }
        simulation.advance(2.0);
        let before = simulation.machines_compared();
        simulation.advance(4.0);
        let runs = secs(4.0).0 / SCHEDULING_INTERVAL_US;
        (simulation.machines_compared() - before) / runs as usize
    };
    // A class is compared with the largest free capacity of each machine type, and what does
    // not fit there is not compared with machines; the first job searches one to reserve.
    assert!(comparisons_per_run(40, 10) <= 45);
    assert!(comparisons_per_run(40, 100) <= 45, "not with the backlog");
}

/// No fixed bound is below this size: each machine is adopted, used, and released.
#[test]
fn four_thousand_machines_are_adopted_used_and_released() {
    let machines = 4_000;
    let mut simulation = thousands(2, machines);
    simulation.idle_release_after = secs(20.0);
    simulation.start_all_controllers();
    simulation.advance(18.0);
    let all = recorded(&simulation);
    assert_eq!(all.len(), machines, "each once");
    assert!(all.iter().all(|machine| machine.is_used), "each is adopted");
    // One task fills a machine, and no team may have all of them.
    for (id, team) in [("j-1", "red"), ("j-2", "blue")] {
        let mut job = desc(id, machines as u32 / 2);
        (job.cores, job.team) = (16.0, team.into());
        simulation.submit(&job);
    }
    simulation.advance(6.0);
    assert_eq!(simulation.running_count(), machines);
    simulation.finish_all();
    simulation.advance(6.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    assert_eq!(simulation.ended_state("j-2"), Some(JobState::Done));
    // The minimum charge is a minute.
    simulation.advance(50.0);
    assert_eq!(simulation.cloud.released.len(), machines);
    assert_eq!(recorded(&simulation).len(), 0);
}

/// Hundreds of machines under one owner, adopted.
fn hundreds(controllers: usize, machines: usize) -> Simulation {
    let mut simulation = Simulation::builder(controllers, machines)
        .whole_core()
        .team_quotas(1_000.0, 6_000.0)
        .build();
    simulation.advance(8.0);
    simulation
}

#[test]
fn a_hundred_machines_isolated_during_a_failover_keep_their_tasks() {
    let mut simulation = hundreds(3, 300);
    simulation.submit(&desc("j-1", 1_200));
    simulation.advance(6.0);
    assert_eq!(simulation.running_count(), 1_200);
    // The cloud can release none, and their leases are valid: each task must stay.
    simulation.cloud.is_unreachable = true;
    for worker in simulation.workers.iter_mut().take(100) {
        worker.is_isolated = true;
    }
    let before = simulation.crash_owner();
    simulation.advance(24.0);
    assert_ne!(simulation.owner(), before);
    simulation.submit(&desc("j-2", 100));
    simulation.advance(2.0);
    for worker in simulation.workers.iter_mut().take(100) {
        worker.is_isolated = false;
    }
    simulation.advance(8.0);
    assert_eq!(
        simulation.running_count(),
        1_300,
        "and the new job runs beside them"
    );
    simulation.cloud.is_unreachable = false;
    simulation.advance(8.0);
    assert!(
        simulation.cloud.released.is_empty(),
        "no machine is released for a past silence"
    );
}

#[test]
fn after_two_restarts_of_all_in_outages_jobs_start_within_seconds() {
    let mut simulation = hundreds(5, 100);
    simulation.submit(&desc("j-1", 100));
    simulation.advance(4.0);
    for round in 0..2 {
        simulation.store.is_down = true;
        simulation.advance(8.0);
        simulation.crash_all_controllers();
        simulation.store.is_down = false;
        simulation.advance(0.5);
        simulation.start_all_controllers();
        // A lease whose time to live an outage renewed is revoked by the next incarnation.
        simulation.advance(3.0);
        simulation.submit(&desc(&format!("j-{}", 10 + round), 50));
        simulation.advance(4.0);
        assert_eq!(simulation.running_count(), 100 + 50 * (round + 1));
    }
    simulation.finish_all();
    simulation.advance(6.0);
    for id in ["j-1", "j-10", "j-11"] {
        assert_eq!(simulation.ended_state(id), Some(JobState::Done));
    }
}
