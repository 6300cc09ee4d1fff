//! Whole days in small. Each test names the failure that it guards against.

mod added;
mod characterization;
mod dependencies;
mod fleet;
mod formats;
mod loopback;
mod meetings;
mod pairs;
mod size;
mod state_limits;
mod world;
mod zones;

use super::messages::Input;
use crate::api::ports::HeartbeatAnswer;
use crate::cloud::MachineType;
use crate::ids::{AttemptId, MachineId};
use crate::jobs::JobState;
use crate::jobs::tests::{desc, types};
use crate::settings::tests::settings;
use crate::store::{Reply, keys};
use world::{World, secs};

fn started(nodes: usize, machines: usize) -> World {
    let mut w = World::new(nodes, machines);
    w.pass(6.0);
    w
}

#[test]
fn a_job_runs_is_recorded_and_only_then_forgotten_by_its_worker() {
    let mut w = started(2, 1);
    w.submit(&desc("j-1", 3));
    w.pass(3.0);
    assert_eq!(w.all_running(), 3);
    w.hold_job_txns = true;
    w.finish_all();
    w.pass(3.0);
    assert_eq!(
        w.workers[0].tasks.len(),
        3,
        "not reaped before its end is stored"
    );
    w.hold_job_txns = false;
    w.pass(6.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
    assert!(w.workers[0].tasks.is_empty(), "reaped");
}

#[test]
fn a_late_transaction_changes_nothing_and_done_stays_done() {
    let mut w = started(1, 1);
    w.submit(&desc("j-1", 2));
    w.pass(3.0);
    w.hold_job_txns = true;
    w.finish_all();
    w.pass(3.0);
    w.hold_job_txns = false;
    w.pass(5.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
    for (compares, mutations) in std::mem::take(&mut w.held_txns) {
        assert!(
            matches!(w.store.txn(&compares, mutations), Reply::Conflict(_)),
            "its revisions have moved on"
        );
    }
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
}

#[test]
fn a_failover_adopts_what_runs_and_starts_nothing_twice() {
    let mut w = started(2, 2);
    w.submit(&desc("j-1", 4));
    w.pass(3.0);
    assert_eq!(w.all_running(), 4);
    let before = w.owner();
    w.crash(before);
    w.pass(40.0);
    assert_ne!(w.owner(), before);
    for i in 0..4 {
        assert_eq!(w.running(&format!("j-1/{i}")).len(), 1);
    }
    w.finish_all();
    w.pass(4.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
}

#[test]
fn after_a_failover_old_jobs_wait_for_silent_machines() {
    let mut w = started(2, 2);
    w.submit(&desc("j-1", 4));
    w.pass(3.0);
    let with = w.running("j-1/0")[0];
    w.workers[with].cut = true;
    w.cloud_down = true;
    let before = w.owner();
    w.crash(before);
    // The old owner's lease is over, but not yet the worker's.
    w.pass(25.0);
    assert_ne!(w.owner(), before);
    w.submit(&desc("j-2", 1));
    w.pass(3.0);
    assert_eq!(
        w.running("j-1/0"),
        vec![with],
        "it may still run behind the cut"
    );
    assert!(
        w.running("j-2/0").is_empty(),
        "the silent machine may use up the whole limit"
    );
    w.pass(40.0);
    assert_eq!(w.running("j-1/0").len(), 1);
    assert_ne!(
        w.running("j-1/0"),
        vec![with],
        "the worker's lease is surely over"
    );
}

#[test]
fn a_silent_machine_counts_against_the_teams_limit() {
    let mut w = started(2, 3);
    // 16 cores are the limit; 8 tasks of 2 cores use it up.
    w.submit(&desc("j-1", 8));
    w.pass(3.0);
    assert_eq!(w.all_running(), 8);
    for at in w.running("j-1/0") {
        w.workers[at].cut = true;
    }
    w.cloud_down = true;
    let before = w.owner();
    w.crash(before);
    w.pass(25.0);
    w.submit(&desc("j-2", 8));
    w.pass(3.0);
    assert!(
        w.all_running() <= 8,
        "{} tasks of 2 cores for 16 cores",
        w.all_running()
    );
}

#[test]
fn a_delayed_direct_command_is_fenced() {
    let mut w = started(1, 1);
    w.hold_directs = true;
    w.submit(&desc("j-1", 1));
    w.pass(3.0);
    assert_eq!(w.held_directs.len(), 1, "lost on its way");
    w.hold_directs = false;
    w.pass(2.5);
    assert_eq!(w.running("j-1/0").len(), 1, "launched by an answer instead");
    w.finish_all();
    w.pass(6.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
    let (at, late) = w.held_directs.remove(0);
    w.workers[at].direct(&late);
    assert_eq!(
        w.all_running(),
        0,
        "its token is older than what the worker has seen"
    );
}

#[test]
fn a_cancelled_job_whose_launch_may_still_arrive_never_runs() {
    let mut w = started(1, 1);
    w.hold_directs = true;
    w.workers[0].cut = true;
    w.submit(&desc("j-1", 1));
    w.pass(0.4);
    w.cancel("j-1");
    w.pass(1.0);
    w.hold_directs = false;
    w.workers[0].cut = false;
    w.pass(5.0);
    for (at, late) in std::mem::take(&mut w.held_directs) {
        w.workers[at].direct(&late);
    }
    assert_eq!(w.all_running(), 0);
    w.submit(&desc("j-2", 1));
    w.pass(4.0);
    assert_eq!(w.running("j-2/0").len(), 1, "the machine goes on");
}

#[test]
fn a_cancellation_during_a_cut_is_over_within_its_time() {
    let mut w = started(2, 1);
    w.submit(&desc("j-1", 1));
    w.pass(3.0);
    let owner = w.owner();
    // The owner still reaches its worker, but not the store.
    w.nodes[owner].no_store = true;
    w.cancel("j-1");
    let cancel_s = w.nodes[0].settings.platform.workers.cancellation_timeout_s;
    w.pass(cancel_s - 1.0);
    assert_eq!(w.all_running(), 0);
}

#[test]
fn outside_its_lease_a_owner_answers_no_worker_and_starts_nothing() {
    let mut w = started(1, 1);
    w.store.down = true;
    w.pass(10.0);
    let answer = {
        let r = w.workers[0].report();
        w.feed(
            0,
            Input::Heartbeat {
                heartbeat: r,
                request_id: 1,
            },
        )
    };
    assert!(
        matches!(answer, Some(HeartbeatAnswer::Accepted(_))),
        "an outage shorter than the lease"
    );
    w.pass(15.0);
    let r = w.workers[0].report();
    assert_eq!(
        w.feed(
            0,
            Input::Heartbeat {
                heartbeat: r,
                request_id: 1
            }
        ),
        Some(HeartbeatAnswer::Unavailable)
    );
    // The store is back; it goes on under a lease, old or new.
    w.store.down = false;
    w.pass(5.0);
    w.submit(&desc("j-1", 1));
    w.pass(4.0);
    assert_eq!(w.all_running(), 1);
}

#[test]
fn all_controllers_restart_and_go_on_with_what_runs() {
    let mut w = started(3, 2);
    w.submit(&desc("j-1", 4));
    w.pass(3.0);
    let terms = |w: &World| w.store.keys[keys::TERM].1["last"].as_u64();
    let before = terms(&w);
    for i in 0..3 {
        w.crash(i);
    }
    w.pass(2.0);
    for i in 0..3 {
        w.start(i);
    }
    w.pass(6.0);
    assert!(terms(&w) > before, "a new term for a new grant");
    assert_eq!(w.all_running(), 4);
    w.finish_all();
    w.pass(4.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
}

#[test]
fn machines_are_answered_by_their_owner_only() {
    let mut w = started(2, 1);
    let other = 1 - w.owner();
    let label = w.nodes[w.owner()].settings.label.clone();
    let r = w.workers[0].report();
    assert_eq!(
        w.feed(
            other,
            Input::Heartbeat {
                heartbeat: r,
                request_id: 1
            }
        ),
        Some(HeartbeatAnswer::Redirect(label))
    );
    // A machine that no partition has is answered by nobody.
    let mut r = w.workers[0].report();
    r.machine = MachineId::from("m-999999");
    assert_eq!(
        w.feed(
            other,
            Input::Heartbeat {
                heartbeat: r,
                request_id: 1
            }
        ),
        Some(HeartbeatAnswer::Unavailable)
    );
}

#[test]
fn a_gone_machines_tasks_start_again_once_the_cloud_has_said_so() {
    let mut w = started(1, 3);
    w.submit(&desc("j-1", 1));
    w.pass(3.0);
    let with = w.running("j-1/0")[0];
    w.workers[with].cut = true;
    w.pass(6.0);
    assert_eq!(w.running("j-1/0"), vec![with]);
    w.pass(10.0);
    assert!(w.returned.contains(&w.workers[with].id));
    assert_eq!(w.running("j-1/0").len(), 1);
    assert_ne!(w.running("j-1/0"), vec![with]);
}

#[test]
fn zones_and_limits_hold_for_every_task() {
    let mut w = started(1, 3);
    let mut one = desc("j-1", 100);
    one.single_zone = true;
    w.submit(&one);
    let mut anti_affinity = desc("j-2", 5);
    anti_affinity.anti_affinity = true;
    anti_affinity.team = "blue".into();
    w.submit(&anti_affinity);
    w.pass(4.0);
    let of = |w: &World, job: &str| {
        let mine = |h: &&String| h.starts_with(job);
        w.workers
            .iter()
            .map(|m| m.tasks.keys().filter(mine).count())
            .sum::<usize>()
    };
    assert_eq!(of(&w, "j-1/"), 8, "16 cores for tasks of 2");
    // All machines are in one zone: at most half of five, rounded up.
    assert_eq!(of(&w, "j-2/"), 3);
}

#[test]
fn a_mistaken_job_condemns_no_machine() {
    let mut w = started(1, 2);
    w.submit(&desc("j-1", 4));
    for _ in 0..20 {
        w.pass(1.0);
        for h in w
            .workers
            .iter_mut()
            .flat_map(|m| m.tasks.values_mut())
            .filter(|h| h.1 == "running")
        {
            *h = (h.0, "exited".into(), Some("error".into()));
        }
    }
    assert!(w.returned.is_empty());
    w.submit(&desc("j-2", 2));
    w.pass(4.0);
    assert_eq!(w.running("j-2/0").len(), 1);
}

/// A guest: nothing is guaranteed to it, so that it comes last, and 0 limits nothing.
#[test]
fn a_guest_team_without_guarantee_or_limit_is_served_with_what_is_unused() {
    let mut w = World::with(1, 3, |v| {
        let teams = v["settings"]["teams"].as_array_mut().expect("teams");
        teams.push(serde_json::json!({"name": "guests"}));
    });
    w.task_time = Some(crate::clock::Micros::from_secs(4.0));
    w.pass(6.0);
    let mut array = desc("j-1", 400);
    array.team = "guests".into();
    array.cores = 0.25;
    array.memory_gb = 0.5;
    let s = &w.nodes[0].settings;
    assert_eq!(array.admissible(s, &types()), Ok(()));
    w.submit(&array);
    w.pass(2.0);
    assert_eq!(w.all_running(), 192, "all that there is: four on each core");
    // Never at the cost of a guarantee: freed room goes to whose it is.
    w.submit(&desc("j-2", 4));
    w.pass(6.0);
    assert_eq!(
        w.running("j-2/0").len() + usize::from(w.ended("j-2").is_some()),
        1
    );
    w.pass(20.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
}

/// The design's watch item: failing tasks hold nothing, so that their team stayed the
/// lightest.
#[test]
fn a_team_whose_job_fails_again_and_again_counts_the_room_as_held() {
    let mut w = started(1, 4);
    w.task_time = Some(crate::clock::Micros::from_secs(4.0));
    w.mistaken.insert("j-1".into());
    w.submit(&desc("j-1", 8));
    w.pass(25.0);
    assert!(w.returned.is_empty(), "no machine is blamed");
    // Both need a whole machine, and there is one.
    for at in 1..4 {
        w.workers[at].cut = true;
    }
    w.cloud_down = true;
    w.pass(8.0);
    for (id, team) in [("j-2", "red"), ("j-3", "blue")] {
        let mut whole = desc(id, 1);
        whole.cores = 16.0;
        whole.team = team.into();
        w.submit(&whole);
    }
    let mut passed = 0;
    while !w.started_ever("j-2") && !w.started_ever("j-3") {
        w.pass(0.1);
        passed += 1;
        assert!(passed < 400, "one of them starts");
    }
    assert!(w.started_ever("j-3"), "the other team comes first");
    w.pass(30.0);
    assert!(w.started_ever("j-2"), "and its own healthy work after it");
    w.cancel("j-1");
    w.pass(10.0);
    assert!(!w.workers.iter().any(|m| m.running("j-1/").count() > 0));
}

/// Seen as a price of twice what the work costs: a job with a mistake was started whole
/// after every back-off, so that idle machines were never idle for long enough, and
/// machines were rented for what waited for its back-off.
#[test]
fn a_job_that_always_fails_rents_nothing_and_lets_idle_machines_go() {
    let mut w = World::new(1, 4);
    w.idle_return = secs(20.0);
    w.renting = true;
    w.start(0);
    w.task_time = Some(secs(2.0));
    w.pass(6.0);
    w.mistaken.insert("j-1".into());
    let mut array = desc("j-1", 32);
    array.cores = 0.5;
    w.submit(&array);
    // Healthy work goes on beside it, with one machine to itself.
    let mut healthy = desc("j-2", 1_000);
    (healthy.cores, healthy.team) = (8.0, "blue".into());
    w.submit(&healthy);
    w.pass(15.0);
    let rented = w.workers.len();
    let mut most = 0;
    for _ in 0..1_200 {
        w.pass(0.1);
        let failing: usize = w.workers.iter().map(|m| m.running("j-1/").count()).sum();
        most = most.max(failing);
    }
    assert!(most <= 3, "{most} of its tasks at once");
    assert_eq!(w.workers.len(), rented, "nothing is rented for it");
    assert!(w.returned.len() >= 2, "{:?} returned", w.returned);
    // Whatever was wrong is mended: one success, and all of it runs.
    w.mistaken.clear();
    w.pass(60.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
}

#[test]
fn attempts_never_repeat_over_a_failover() {
    let mut w = started(2, 1);
    w.submit(&desc("j-1", 1));
    w.pass(3.0);
    let first = w.workers[0].tasks["j-1/0"].0;
    w.crash(w.owner());
    w.pass(25.0);
    w.finish_all();
    w.submit(&desc("j-2", 1));
    w.pass(4.0);
    let second = w.workers[0].tasks["j-2/0"].0;
    assert!(AttemptId(second) > AttemptId(first));
}

#[test]
fn the_first_machine_type_list_is_shared_through_the_store() {
    let w = started(2, 1);
    let stored: Vec<MachineType> =
        serde_json::from_value(w.store.keys[keys::TYPES].1.clone()).expect("types");
    assert_eq!(stored, types());
    assert_eq!(settings().platform.initial_size, 2);
}
