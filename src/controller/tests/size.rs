//! At size: what grows with the fleet and the backlog, and what must not.

use super::world::{World, secs};
use crate::jobs::tests::desc;
use crate::jobs::{JobState, Priority, tasks_per_page};
use serde_json::Value;

/// Five controllers, and limits that two thousand machines of 16 cores need.
fn large(nodes: usize, machines: usize) -> World {
    World::with(nodes, machines, |v: &mut Value| {
        // One owner with a core of its own for all of them.
        v["settings"]["limits"]["cpu_share"] = 1.0.into();
        for team in v["settings"]["teams"].as_array_mut().expect("teams") {
            team["cpus"] = 15_000.0.into();
            team["cpus_max"] = 40_000.0.into();
        }
    })
}

fn recorded(w: &World) -> Vec<(String, bool)> {
    let shards = w
        .store
        .keys
        .iter()
        .filter(|(k, _)| k.contains("/machines/"));
    let mut all = Vec::new();
    for (_, (_, value, _)) in shards {
        for (id, rec) in value.as_object().expect("a shard") {
            all.push((id.clone(), rec["u"] == Value::Bool(true)));
        }
    }
    all
}

/// The scripted store refuses any transaction or value beyond the settings' limits.
#[test]
fn two_thousand_machines_fit_the_store_and_a_crash_between_two_writes_loses_none() {
    let mut w = large(5, 2_100);
    // The leader dies while the machines are being recorded, a few shards at a time.
    while recorded(&w).is_empty() {
        w.pass(0.1);
    }
    assert!(recorded(&w).len() < 2_100, "more than one write");
    let leader = (0..5).find(|i| {
        let label = w.nodes[*i].settings.label.as_str();
        w.store.keys["r/leader"].1["holder"] == label
    });
    w.crash(leader.expect("a leader"));
    w.pass(25.0);
    let all = recorded(&w);
    assert_eq!(all.len(), 2_100, "each once");
    assert!(all.iter().all(|(_, used)| *used));
    // A job of more tasks than a page of progress holds, all at once.
    w.submit(&desc("j-1", 16_000));
    w.pass(20.0);
    assert_eq!(w.all_running(), 16_000);
    let changes = w.store.changes;
    w.finish_all();
    w.pass(6.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
    let spent = w.store.changes - changes;
    assert!(spent < 200, "{spent} changes for the end of one job");
}

/// Seen at an owner whose machines each reported dozens of ended tasks: while tasks of
/// more pages than one write takes went on ending, none of them was reaped, until the
/// reports were too long to be read in time and 495 healthy machines were returned.
#[test]
fn ended_tasks_are_reaped_page_by_page_while_others_go_on_ending() {
    let mut w = World::new(1, 1);
    w.pass(6.0);
    let page = tasks_per_page(w.nodes[0].settings.platform.state.value_kb);
    let pages = 6;
    let mut array = desc("j-1", pages * page);
    (array.cores, array.memory_gb) = (0.003, 0.01);
    w.submit(&array);
    w.pass(10.0);
    assert_eq!(w.all_running(), (pages * page) as usize);
    let rounds = 20;
    for round in 0..rounds {
        // In every page, so that some are dirty after each write.
        for p in 0..pages {
            w.finish(&format!("j-1/{}", p * page + round));
        }
        w.pass(1.0);
    }
    let ended = |h: &&(u64, String, Option<String>)| h.1 == "exited";
    let left = w.workers[0].tasks.values().filter(ended).count();
    let all = (rounds * pages) as usize;
    assert!(left <= all / 3, "{left} of {all} are still reported");
}

/// Seen as jobs of one task that waited for minutes to be recorded as done: each took a
/// change to be shown as running and one more to clear that away.
#[test]
fn a_flood_of_small_jobs_costs_little_more_than_their_ends() {
    let mut w = World::with(1, 4, |v| {
        v["settings"]["state"]["write_rps"] = 20.0.into();
    });
    w.task_time = Some(secs(4.0));
    w.pass(6.0);
    let changes = w.store.changes;
    let jobs = 100;
    for i in 0..jobs {
        let mut probe = desc(&format!("j-{i}"), 1);
        (probe.cores, probe.memory_gb) = (0.1, 0.1);
        w.submit(&probe);
        w.pass(0.2);
    }
    w.pass(10.0);
    for i in 0..jobs {
        assert_eq!(w.ended(&format!("j-{i}")), Some(JobState::Done));
    }
    // One to be accepted, two to end.
    let spent = w.store.changes - changes;
    let least = 3 * jobs;
    assert!(spent <= least + least / 2, "{spent} for {jobs} jobs");
}

/// Seen at an owner that spent most of its processor time on it: work of the lowest rank
/// and no guarantee can stop nothing, and so needs no walk over the machines.
#[test]
fn what_may_stop_nothing_costs_no_walk_over_the_machines() {
    let spent = |rank: Priority| {
        let mut w = World::with(1, 4, |v| {
            let teams = v["settings"]["teams"].as_array_mut().expect("teams");
            teams.push(serde_json::json!({"name": "guests"}));
        });
        w.pass(6.0);
        for (id, team) in [("j-1", "red"), ("j-2", "blue")] {
            let mut all = desc(id, 100);
            (all.team, all.deadline_s) = (team.into(), None);
            w.submit(&all);
        }
        w.pass(3.0);
        let mut late = desc("j-3", 100);
        (late.team, late.priority, late.deadline_s) = ("guests".into(), rank, None);
        w.submit(&late);
        w.pass(15.0);
        let before = w.machines_compared();
        w.pass(5.0);
        w.machines_compared() - before
    };
    let (idle, production) = (spent(Priority::Idle), spent(Priority::Production));
    assert!(idle < production, "{idle} and {production}");
}

#[test]
fn check_ins_cost_nothing_more_where_nothing_waits_or_nothing_fits() {
    let machines_compared = |machines: usize, backlog: u32| {
        let mut w = World::with(1, machines, |v: &mut Value| {
            for team in v["settings"]["teams"].as_array_mut().expect("teams") {
                team["cpus_max"] = 100_000.0.into();
            }
        });
        w.pass(6.0);
        w.submit(&desc("j-1", 8 * machines as u32));
        w.pass(4.0);
        // All room is used, and jobs of one class wait for it.
        for i in 0..backlog {
            w.submit(&desc(&format!("j-{}", 100 + i), 4));
        }
        w.pass(2.0);
        let before = w.machines_compared();
        w.pass(4.0);
        let passes = secs(4.0).0 / 500_000;
        (w.machines_compared() - before) / passes as usize
    };
    // A class is compared with the most room of each kind of machine, and what does
    // not fit there is not compared with machines; the head job looks for one to hold.
    assert!(machines_compared(40, 10) <= 45);
    assert!(machines_compared(40, 100) <= 45, "not with the backlog");
}

/// Nothing fixed stands below this size: each machine is heard, used, and returned.
#[test]
fn four_thousand_machines_are_heard_used_and_returned() {
    let machines = 4_000;
    let mut w = large(2, machines);
    w.idle_return = secs(20.0);
    (0..2).for_each(|i| w.start(i));
    w.pass(18.0);
    let all = recorded(&w);
    assert_eq!(all.len(), machines, "each once");
    assert!(all.iter().all(|(_, used)| *used), "each is heard");
    // One task fills a machine, and no team may have all of them.
    for (id, team) in [("j-1", "red"), ("j-2", "blue")] {
        let mut job = desc(id, machines as u32 / 2);
        (job.cores, job.team) = (16.0, team.into());
        w.submit(&job);
    }
    w.pass(6.0);
    assert_eq!(w.all_running(), machines);
    w.finish_all();
    w.pass(6.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
    assert_eq!(w.ended("j-2"), Some(JobState::Done));
    // A minute is charged anyway.
    w.pass(50.0);
    assert_eq!(w.returned.len(), machines);
    assert_eq!(recorded(&w).len(), 0);
}
