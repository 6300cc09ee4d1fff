//! Jobs that need others: nothing starts early, what is behind a cancelled job is
//! cancelled with it, and what the last one needs is done in time.

use super::world::World;
use super::*;
use crate::api::read_index::JobLookup;
use crate::ids::{JobId, Revision};
use crate::jobs::{JobDesc, Priority};

/// A job of two tasks that needs others.
fn needing(id: &str, before: &[&str]) -> JobDesc {
    let mut job = desc(id, 2);
    job.dependencies = before.iter().map(|b| JobId::from(*b)).collect();
    job
}

/// How each node says that a job stands.
fn told(w: &mut World, id: &str) -> Vec<JobLookup> {
    w.found.clear();
    let nodes = w.nodes.len();
    for node in 0..nodes {
        w.ask_for(node, id, 1);
    }
    w.pass(0.5);
    assert_eq!(w.found.len(), nodes);
    std::mem::take(&mut w.found)
        .into_iter()
        .map(|(_, _, found)| found)
        .collect()
}

fn all_say_cancelled(w: &mut World, id: &str) {
    for found in told(w, id) {
        let JobLookup::Ended(record) = found else {
            panic!("{id}: {found:?}");
        };
        assert_eq!(record.state, JobState::Cancelled, "{id}");
    }
}

/// Cancels as a user's request does: the store first, then the word of it.
fn cancel(w: &mut World, by: usize, id: &str) {
    w.cancel(id);
    let (job, revision) = (id.into(), Revision(w.store.revision));
    w.feed(by, Input::Cancelled { job, revision });
}

#[test]
fn a_job_starts_only_after_all_before_it_are_stored_as_done() {
    let mut w = started(2, 2);
    w.submit(&desc("j-1", 2));
    w.submit(&desc("j-2", 2));
    w.submit(&needing("j-3", &["j-1", "j-2"]));
    w.submit(&needing("j-4", &["j-3"]));
    w.pass(3.0);
    assert_eq!(w.all_running(), 4);
    w.finish("j-1/0");
    w.finish("j-1/1");
    w.pass(3.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
    assert_eq!(w.all_running(), 2, "the other is not done yet");
    // All of its tasks have ended, and reports say so, but it is not stored.
    w.hold_job_txns = true;
    w.finish_all();
    w.pass(5.0);
    assert_eq!(w.all_running(), 0);
    w.hold_job_txns = false;
    w.pass(2.0);
    assert_eq!(w.running("j-3/0").len() + w.running("j-3/1").len(), 2);
    w.finish_all();
    w.pass(2.0);
    assert_eq!(w.running("j-4/0").len(), 1);
}

#[test]
fn a_failover_and_an_end_of_all_start_nothing_early() {
    let mut w = started(3, 2);
    w.submit(&desc("j-1", 2));
    w.submit(&needing("j-2", &["j-1"]));
    w.submit(&needing("j-3", &["j-2"]));
    w.pass(3.0);
    let owner = w.owner();
    w.crash(owner);
    w.pass(40.0);
    assert_eq!(w.all_running(), 2, "only the first one");
    w.finish_all();
    w.pass(1.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
    // Whoever comes knows the first one's end from its record only.
    for i in 0..3 {
        w.crash(i);
    }
    for i in 0..3 {
        w.start(i);
    }
    w.pass(45.0);
    assert!(w.started_ever("j-2") && !w.started_ever("j-3"));
    w.finish_all();
    w.pass(3.0);
    assert!(w.started_ever("j-3"));
}

#[test]
fn while_it_waits_it_counts_for_nothing_and_its_times_begin_when_it_is_ready() {
    let mut w = started(1, 1);
    w.renting = true;
    w.submit(&desc("j-1", 2));
    // Far too large for the machine that is up, and urgent; of the same team.
    let mut large = needing("j-2", &["j-1"]);
    (large.tasks, large.cores, large.priority) = (4, 4.0, Priority::Production);
    w.submit(&large);
    let mut small = desc("j-3", 6);
    (small.priority, small.deadline_s) = (Priority::Idle, None);
    w.pass(200.0);
    w.submit(&small);
    w.pass(3.0);
    assert_eq!(w.workers.len(), 1, "nothing is rented for it");
    assert_eq!(w.all_running(), 8, "it keeps no room, and starves nobody");
    w.finish("j-1/0");
    w.finish("j-1/1");
    w.pass(60.0);
    assert!(w.started_ever("j-2"));
}

#[test]
fn what_needs_a_cancelled_job_is_cancelled_at_every_node_at_once_and_stays_so() {
    let mut w = started(3, 2);
    w.submit(&desc("j-1", 2));
    w.submit(&needing("j-2", &["j-1"]));
    w.submit(&needing("j-3", &["j-1"]));
    let mut other_team = needing("j-4", &["j-2", "j-3"]);
    other_team.team = "blue".into();
    w.submit(&other_team);
    w.submit(&desc("j-5", 2));
    w.pass(3.0);
    // Not a single end of theirs is stored, and yet no node tells an older answer.
    w.hold_job_txns = true;
    cancel(&mut w, 1, "j-2");
    for _ in 0..3 {
        all_say_cancelled(&mut w, "j-2");
        all_say_cancelled(&mut w, "j-4");
    }
    for id in ["j-1", "j-3", "j-5"] {
        for found in told(&mut w, id) {
            assert!(matches!(found, JobLookup::Live { .. }), "{id}: {found:?}");
        }
    }
    assert_eq!(w.ended("j-4"), None);
    let owner = w.owner();
    w.crash(owner);
    w.hold_job_txns = false;
    w.pass(30.0);
    w.start(owner);
    w.pass(5.0);
    assert_eq!(
        w.ended("j-4"),
        Some(JobState::Cancelled),
        "by the next holder"
    );
    all_say_cancelled(&mut w, "j-4");
    // Naming a cancelled one, it is cancelled itself; so is what needs that.
    w.submit(&needing("j-6", &["j-4", "j-5"]));
    w.submit(&needing("j-7", &["j-6"]));
    w.pass(0.5);
    all_say_cancelled(&mut w, "j-6");
    all_say_cancelled(&mut w, "j-7");
    w.pass(3.0);
    assert_eq!(w.ended("j-7"), Some(JobState::Cancelled));
    assert!(!w.started_ever("j-6"));
}

#[test]
fn a_cancellation_that_came_too_late_lets_the_chain_go_on() {
    let mut w = started(1, 1);
    w.submit(&desc("j-1", 1));
    w.submit(&needing("j-2", &["j-1"]));
    w.pass(3.0);
    w.finish_all();
    w.pass(2.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
    // The word of a cancellation that the store does not confirm changes nothing.
    let (job, revision) = ("j-1".into(), Revision(1));
    w.nodes[0]
        .core
        .as_mut()
        .expect("a core")
        .handle_peer_message(w.now, crate::mesh::Message::Cancelled { job, revision });
    w.pass(2.0);
    assert!(w.started_ever("j-2"));
    w.finish_all();
    w.pass(2.0);
    assert_eq!(w.ended("j-2"), Some(JobState::Done));
}

#[test]
fn an_outage_just_after_a_cancellation_leaves_no_job_behind_it_uncancelled() {
    let mut w = started(3, 2);
    w.submit(&desc("j-1", 2));
    w.submit(&needing("j-2", &["j-1"]));
    w.submit(&needing("j-3", &["j-2"]));
    w.pass(3.0);
    cancel(&mut w, 0, "j-1");
    w.store.down = true;
    w.pass(w.cancel_s() + 10.0);
    assert_eq!(w.ended("j-3"), None);
    w.store.down = false;
    w.pass(6.0);
    all_say_cancelled(&mut w, "j-3");
    w.pass(10.0);
    assert_eq!(w.ended("j-2"), Some(JobState::Cancelled));
    assert_eq!(w.ended("j-3"), Some(JobState::Cancelled));
}

#[test]
fn jobs_before_an_urgent_one_go_before_others_of_their_own_rank() {
    let mut w = started(1, 1);
    // The team's limit is 16 cores; the machine has 16.
    let idle = |id: &str| {
        let mut job = desc(id, 8);
        (job.priority, job.deadline_s, job.cores) = (Priority::Idle, None, 2.0);
        job
    };
    w.submit(&idle("j-1"));
    w.pass(3.0);
    assert_eq!(w.running("j-1/0").len(), 1);
    w.submit(&idle("j-2"));
    w.pass(30.0);
    w.submit(&idle("j-3"));
    let mut last = needing("j-4", &["j-3"]);
    (last.priority, last.deadline_s) = (Priority::High, Some(120.0));
    w.submit(&last);
    w.pass(1.0);
    w.finish_all();
    w.pass(2.0);
    assert_eq!(w.running("j-3/0").len(), 1, "its chain is awaited");
    assert!(!w.started_ever("j-2"), "though it has waited for longer");
}

/// Guards against a chain that never goes on: the record of an end that an earlier version
/// wrote does not say when that was.
#[test]
fn an_end_recorded_by_an_earlier_version_counts() {
    let mut w = started(1, 1);
    w.submit(&desc("j-1", 1));
    w.pass(2.0);
    w.finish_all();
    w.pass(2.0);
    let key = keys::ended(&JobId::from("j-1"));
    let mut value = w.store.keys[&key].1.clone();
    value.as_object_mut().expect("a record").remove("at");
    w.store.commit(vec![crate::store::put(key, &value)]);
    w.submit(&needing("j-2", &["j-1"]));
    w.pass(3.0);
    assert!(w.started_ever("j-2"));
}

/// While a machine of the failover is silent, older jobs wait for it, since their tasks may
/// run there. No earlier owner can have begun a job whose last dependency was done later.
#[test]
fn what_gets_ready_after_a_failover_does_not_wait_for_its_silent_machines() {
    // Silent machines count against the team's limit, too.
    let mut w = World::with(2, 3, |v| {
        v["settings"]["teams"][0]["cpus_max"] = 1_000.0.into();
    });
    w.pass(6.0);
    w.submit(&desc("j-1", 1));
    w.submit(&needing("j-2", &["j-1"]));
    // Accepted before, and never begun for want of room.
    let mut older = desc("j-3", 4);
    older.cores = 14.0;
    w.submit(&older);
    w.pass(3.0);
    let first = w.running("j-1/0")[0];
    let silent = (0..3).find(|at| *at != first).expect("a machine");
    w.workers[silent].hung = true;
    let owner = w.owner();
    w.crash(owner);
    w.pass(21.0);
    assert_ne!(w.owner(), owner);
    // Room for the fourth task of the older one, beside the silent machine.
    let older_here = |w: &World| w.workers[first].running("j-3/").count();
    assert_eq!(older_here(&w), 1);
    let ends = (0..4).find(|i| w.running(&format!("j-3/{i}")) == [first]);
    w.finish(&format!("j-3/{}", ends.expect("a task")));
    w.finish("j-1/0");
    w.pass(2.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
    assert!(w.started_ever("j-2"));
    assert_eq!(older_here(&w), 0, "it waits");
    w.pass(40.0);
    assert_eq!(older_here(&w), 1, "until nothing can run there any more");
}
