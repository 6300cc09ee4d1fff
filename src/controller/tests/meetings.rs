//! Two troubles that meet, as the operators have seen them break rules. The steady
//! checks of the world go on in all of them.

use super::fleet::two_partitions;
use super::started;
use super::world::{Node, World, secs};
use crate::api::ports::HeartbeatAnswer;
use crate::controller::messages::Input;
use crate::ids::{MachineId, Revision};
use crate::jobs::JobState;
use crate::jobs::tests::desc;
use crate::mesh::Message;
use crate::partitions::ShardRecord;
use crate::store::Mutation;
use std::collections::BTreeMap;

/// The store refuses the owner alone, another node confirms cancellations, and then
/// the store is out for all, for longer than `cancel_s`, while workers report on.
fn gap(hang_s: f64) {
    let mut w = started(3, 3);
    w.submit(&desc("j-1", 8));
    let mut blue = desc("j-2", 4);
    blue.team = "blue".into();
    w.submit(&blue);
    w.pass(4.0);
    let owner = w.owner();
    w.nodes[owner].refused = true;
    w.pass(1.2);
    w.cancel("j-1");
    for m in &mut w.workers {
        m.hung = hang_s > 0.0;
    }
    w.pass(0.8);
    w.store.down = true;
    w.pass(12.0);
    w.nodes[owner].refused = false;
    w.pass((hang_s - 12.8).max(0.0));
    for m in &mut w.workers {
        m.hung = false;
    }
    let cancel_s = w.cancel_s();
    w.pass(cancel_s + 10.0 - hang_s);
    assert_eq!(w.all_running(), 0);
    assert_eq!(w.owner(), owner, "its lease has its full time again");
    w.store.down = false;
    w.pass(8.0);
    assert!(!w.workers.iter().any(|m| m.running("j-1/").next().is_some()));
    assert_eq!(w.all_running(), 4, "and the others go on");
}

#[test]
fn cancelled_in_a_refusal_of_the_owner_before_an_outage_of_all() {
    gap(0.0);
}

#[test]
fn cancelled_in_a_refusal_while_machines_hang_before_an_outage_of_all() {
    // Almost a lease: they go on with what they had.
    gap(28.0);
}

#[test]
fn a_cancellation_reaches_a_owner_without_the_store_over_the_mesh() {
    let mut w = started(3, 2);
    w.submit(&desc("j-1", 4));
    w.pass(3.0);
    let owner = w.owner();
    w.nodes[owner].refused = true;
    w.cancel("j-1");
    let (job, revision) = ("j-1".into(), Revision(w.store.revision));
    w.feed((owner + 1) % 3, Input::Cancelled { job, revision });
    w.pass(4.0);
    assert_eq!(w.all_running(), 0);
    // A job that comes to it after the word of its end: its reading lags behind.
    w.nodes[owner].refused = false;
    let (job, revision) = ("j-2".into(), Revision(w.store.revision + 100));
    w.feed(owner, Input::Mesh(Message::Cancelled { job, revision }));
    w.submit(&desc("j-2", 1));
    w.submit(&desc("j-3", 1));
    w.pass(4.0);
    assert!(!w.started_ever("j-2"));
    assert!(w.started_ever("j-3"));
    // An old word is none: the reading has come further.
    let (job, revision) = ("j-3".into(), Revision(1));
    w.feed(owner, Input::Mesh(Message::Cancelled { job, revision }));
    w.pass(4.0);
    assert_eq!(w.running("j-3/0").len(), 1);
}

/// The log of changes was too short for a watch that stood still: the store is read
/// from the start, by the same owner under the same term.
#[test]
fn a_reading_from_the_start_keeps_what_is_held() {
    let mut w = started(1, 2);
    w.submit(&desc("j-1", 4));
    w.pass(3.0);
    // Fenced several times, so that its token is far above the term's first.
    for n in 2..6 {
        w.hold_directs = true;
        w.submit(&desc(&format!("j-{n}"), 1));
        w.pass(0.3);
        w.hold_directs = false;
        w.pass(4.0);
    }
    let copies = [w.workers[0].report(), w.workers[1].report()];
    w.finish_all();
    w.pass(4.0);
    let before: Vec<u64> = w.workers.iter().map(|m| m.fencing_token.0).collect();
    // Away: what was submitted and cancelled meanwhile comes with the reading.
    w.submit(&desc("j-7", 1));
    w.pass(2.0);
    w.nodes[0].no_store = true;
    w.submit(&desc("j-8", 2));
    w.cancel("j-7");
    w.pass(1.0);
    w.nodes[0].loaded = false;
    w.nodes[0].no_store = false;
    w.pass(0.1);
    for copy in &copies {
        assert_eq!(
            w.late_copy(0, copy),
            Some(HeartbeatAnswer::Unavailable),
            "older than known"
        );
    }
    w.pass(5.0);
    assert_eq!(
        w.running("j-8/0").len(),
        1,
        "workers obey, and attempts are new"
    );
    assert!(w.running("j-7/0").is_empty());
    assert_eq!(w.all_running(), 2);
    let after: Vec<u64> = w.workers.iter().map(|m| m.fencing_token.0).collect();
    assert!(before.iter().zip(&after).all(|(b, a)| b <= a));
    let lease_s = w.nodes[0].settings.platform.workers.lease_s;
    w.pass(lease_s + 5.0);
    assert!(
        w.workers.iter().all(|m| m.agent_epoch == 1),
        "answered all along"
    );
}

/// A hand-back without an answer, and a watch that hangs: another holds the partition, and
/// counts silent workers' leases from its grant.
#[test]
fn who_hands_a_partition_back_answers_no_worker_from_then_on() {
    let mut w = started(3, 2);
    w.submit(&desc("j-1", 8));
    w.pass(3.0);
    let before = w.owner();
    w.nodes[before].no_workers = true;
    w.nodes[before].unanswered = true;
    // It hears nobody, so it hands the partition back; the write is carried out.
    let owner = |w: &World| w.store.keys["r/blocks/0/holder"].1["holder"].clone();
    let was = owner(&w);
    for _ in 0..300 {
        w.pass(0.1);
        if w.store.keys["r/blocks/0/holder"].1["incarnation"] == 0 || owner(&w) != was {
            break;
        }
    }
    w.nodes[before].no_store = true;
    w.nodes[before].no_workers = false;
    let report = w.workers[0].report();
    let answer = w.feed(
        before,
        Input::Heartbeat {
            heartbeat: report,
            request_id: 1,
        },
    );
    assert!(
        !matches!(answer, Some(HeartbeatAnswer::Accepted(_))),
        "{answer:?}"
    );
    w.pass(60.0);
    assert_ne!(w.owner(), before);
    assert_eq!(w.all_running(), 8);
}

#[test]
fn a_hand_back_that_was_surely_refused_changes_nothing() {
    let mut w = started(3, 2);
    w.submit(&desc("j-1", 4));
    w.pass(3.0);
    let owner = w.owner();
    w.nodes[owner].no_workers = true;
    w.pass(5.0);
    w.nodes[owner].refused = true;
    w.pass(6.0);
    w.nodes[owner].no_workers = false;
    w.pass(2.0);
    let report = w.workers[0].report();
    let answer = w.feed(
        owner,
        Input::Heartbeat {
            heartbeat: report,
            request_id: 1,
        },
    );
    assert!(
        matches!(answer, Some(HeartbeatAnswer::Accepted(_))),
        "{answer:?}"
    );
}

/// Where the store has each machine.
fn records(w: &World) -> BTreeMap<MachineId, Vec<String>> {
    let mut at: BTreeMap<MachineId, Vec<String>> = BTreeMap::new();
    let shards = w
        .store
        .keys
        .iter()
        .filter(|(k, _)| k.contains("/machines/"));
    for (key, (_, value, _)) in shards {
        let rec: ShardRecord = serde_json::from_value(value.clone()).expect("a shard");
        for id in rec.0.keys() {
            at.entry(id.clone()).or_default().push(key.clone());
        }
    }
    at
}

/// The leader puts machines into one partition without an answer, then into another, and
/// then the first write is carried out.
#[test]
fn a_late_write_of_machines_puts_none_into_two_partitions() {
    let mut w = two_partitions(2, 2);
    w.pass(8.0);
    let rec = &w.store.keys["r/leader"].1["holder"];
    let leads = |n: &Node| *rec == *n.settings.label.as_str();
    let by = w.nodes.iter().position(leads).expect("a leader");
    // New machines come up while the leader's writes get no answer.
    w.nodes[by].late = true;
    w.add_machines(4);
    let is_ours = |mutations: &Vec<Mutation>| format!("{mutations:?}").contains("m-000002");
    let mut passed = 0;
    while !w.held_txns.iter().any(|(_, mutations)| is_ours(mutations)) {
        w.pass(0.1);
        passed += 1;
        assert!(passed < 100, "the write goes out");
    }
    let first = w
        .held_txns
        .iter()
        .find(|(_, mutations)| is_ours(mutations))
        .cloned();
    let first = first.expect("the write");
    // Work comes, of the other partition's team: it lacks room, so all new ones go there.
    let to_first = format!("{first:?}").contains("r/blocks/0/machines");
    let mut d = desc("j-1", 40);
    d.team = ["red", "blue"][usize::from(to_first)].into();
    w.submit_to(&d, u64::from(to_first));
    w.pass(3.0);
    w.nodes[by].late = false;
    let mut passed = 0;
    while !records(&w).contains_key(&MachineId::from("m-000002")) {
        w.pass(0.1);
        passed += 1;
        assert!(passed < 100, "recorded without it");
    }
    let late = vec![first];
    for (compares, mutations) in late {
        w.store.txn(&compares, mutations);
    }
    for (id, at) in records(&w) {
        assert_eq!(at.len(), 1, "{id} is in {at:?}");
    }
}

/// A cancelled job has no record any more, but its tasks are on their machine until it
/// hears of it: they use their team's limit, and nobody else's.
#[test]
fn a_cancelled_jobs_tasks_count_after_a_change_of_leader() {
    let mut w = started(2, 3);
    w.submit(&desc("j-1", 8));
    w.pass(3.0);
    let at = w.running("j-1/0")[0];
    assert_eq!(w.all_running(), 8, "all that the team may use");
    w.cloud_down = true;
    let before = w.owner();
    w.crash(before);
    w.cancel("j-1");
    // It hears the new token, and nothing after that.
    let first = w.workers[at].fencing_token;
    while w.workers[at].fencing_token == first {
        w.pass(0.1);
    }
    w.workers[at].unreachable = true;
    w.submit(&desc("j-2", 8));
    let mut blue = desc("j-3", 8);
    blue.team = "blue".into();
    w.submit(&blue);
    w.pass(12.0);
    assert!(w.workers[at].running("j-1/").count() > 0, "it goes on");
    assert_eq!(
        w.running("j-3/0").len(),
        1,
        "another team's limit is not touched"
    );
    let lease_s = w.nodes[0].settings.platform.workers.lease_s;
    w.pass(lease_s);
    assert_eq!(w.running("j-2/7").len(), 1, "once its lease is over");
}

/// Its record is of an earlier version and says nothing: it may be anybody's.
#[test]
fn a_cancelled_job_of_which_nothing_is_known_counts_as_the_worst_case() {
    let mut w = started(2, 3);
    w.submit(&desc("j-1", 8));
    w.pass(3.0);
    let at = w.running("j-1/0")[0];
    w.cloud_down = true;
    let before = w.owner();
    w.crash(before);
    w.cancel("j-1");
    let ended = w.store.keys.get_mut("ended/j-1").expect("a record");
    ended
        .1
        .as_object_mut()
        .expect("an object")
        .remove("footprint");
    let first = w.workers[at].fencing_token;
    while w.workers[at].fencing_token == first {
        w.pass(0.1);
    }
    w.workers[at].unreachable = true;
    w.submit(&desc("j-2", 8));
    w.pass(12.0);
    assert!(w.workers[at].running("j-1/").count() > 0);
    let lease_s = w.nodes[0].settings.platform.workers.lease_s;
    w.pass(lease_s);
    assert_eq!(w.running("j-2/7").len(), 1);
}

/// Its workers reach no controller, while direct commands reach them.
#[test]
fn a_mute_machine_gets_no_work_and_is_replaced_once_it_has_none() {
    let mut w = started(1, 3);
    w.task_time = Some(secs(4.0));
    w.submit(&desc("j-1", 2));
    w.pass(3.0);
    let unheard = w.running("j-1/0")[0];
    w.workers[unheard].unheard = true;
    w.pass(6.0);
    assert_eq!(
        w.ended("j-1"),
        Some(JobState::Done),
        "its answers tell of the end"
    );
    // It is heard of now and then, by answers to direct commands: work that comes any
    // time goes elsewhere all the same.
    w.task_time = None;
    for n in 2..10 {
        let words = w.done_directs.len();
        while n == 2 && w.done_directs[words..].iter().all(|(at, _)| *at != unheard) {
            w.pass(0.1);
        }
        w.submit(&desc(&format!("j-{n}"), 1));
        w.pass(0.5);
        assert_eq!(w.workers[unheard].running("").count(), 0);
    }
    assert_eq!(w.all_running(), 8);
    w.pass(15.0);
    assert_eq!(w.returned, [w.workers[unheard].id.clone()]);
}

#[test]
fn a_mute_machine_keeps_its_work_until_its_lease_ends_and_is_then_replaced() {
    let mut w = started(1, 3);
    w.submit(&desc("j-1", 2));
    w.pass(3.0);
    let unheard = w.running("j-1/0")[0];
    w.workers[unheard].unheard = true;
    w.pass(20.0);
    assert_eq!(w.running("j-1/0"), [unheard], "nothing is lost before");
    assert!(w.returned.is_empty());
    w.pass(20.0);
    assert!(w.returned.contains(&w.workers[unheard].id));
    assert_eq!(w.running("j-1/0").len(), 1);
    assert_ne!(w.running("j-1/0"), [unheard]);
}

#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    let mut w = started(3, 3);
    w.submit(&desc("j-1", 8));
    w.pass(3.0);
    let copies: Vec<_> = w.workers.iter_mut().map(|m| m.report()).collect();
    for i in 0..3 {
        w.crash(i);
    }
    let lease_s = w.nodes[0].settings.platform.workers.lease_s;
    w.pass(lease_s + 5.0);
    assert_eq!(w.all_running(), 0);
    for i in 0..3 {
        w.start(i);
    }
    w.pass(4.0);
    // From the sessions before: they show what is over.
    let owner = w.owner();
    for copy in &copies {
        assert_eq!(w.late_copy(owner, copy), Some(HeartbeatAnswer::Unavailable));
    }
    w.pass(8.0);
    assert_eq!(w.all_running(), 8);
    w.finish_all();
    w.pass(4.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
}

/// Seen as 2,244 connections that found no healthy controller in an outage of 70 s.
#[test]
fn in_a_long_outage_controllers_that_hear_each_other_stay_healthy() {
    let mut w = started(3, 2);
    let healthy = |w: &World| -> Vec<bool> { w.nodes.iter().map(|n| n.view.healthy).collect() };
    assert_eq!(healthy(&w), vec![true; 3]);
    w.store.down = true;
    for _ in 0..60 {
        w.pass(1.0);
        assert_eq!(healthy(&w), vec![true; 3], "nobody gains from a removal");
    }
    // One that is also cut from its peers can't tell that from a cut of its own.
    w.nodes[0].no_peers = true;
    w.pass(5.0);
    assert_eq!(healthy(&w), vec![false, true, true]);
    // With the store back for the others, it is the odd one out.
    w.nodes[0].no_peers = false;
    w.nodes[0].refused = true;
    w.store.down = false;
    w.pass(8.0);
    assert_eq!(healthy(&w), vec![false, true, true]);
}

#[test]
fn leaders_change_ten_times_in_two_minutes_also_inside_an_outage() {
    let mut w = started(3, 3);
    w.task_time = Some(secs(9.0));
    // By term: who was granted the partition under it.
    let mut grants = std::collections::BTreeMap::new();
    for round in 0..10 {
        let grant = w.store.keys["r/blocks/0/holder"].1.clone();
        let to = (grant["holder"].clone(), grant["incarnation"].clone());
        let term = grant["term"].as_u64().expect("a term");
        assert_eq!(*grants.entry(term).or_insert(to.clone()), to, "term {term}");
        let id = format!("j-{round}");
        if !w.store.down {
            w.submit(&desc(&id, 3));
        }
        let leader = w
            .store
            .keys
            .get("r/leader")
            .map(|(_, v, _)| v["holder"].clone());
        let of = |n: &Node| {
            leader
                .as_ref()
                .is_some_and(|l| *l == *n.settings.label.as_str())
        };
        let at = w.nodes.iter().position(of).unwrap_or(round % 3);
        w.crash(at);
        w.store.down = (4..7).contains(&round);
        w.pass(if round % 2 == 0 { 0.3 } else { 6.0 });
        w.start(at);
        w.pass(8.0);
    }
    w.pass(60.0);
    for round in (0..10).filter(|r| !(5..=7).contains(r)) {
        assert_eq!(
            w.ended(&format!("j-{round}")),
            Some(JobState::Done),
            "{round}"
        );
    }
}

#[test]
fn a_zone_with_its_workers_is_cut_off_for_longer_than_a_lease() {
    let mut w = started(3, 4);
    for at in 0..2 {
        w.workers[at].zone = "y";
    }
    let mut bound = desc("j-1", 4);
    bound.single_zone = true;
    w.submit(&bound);
    w.pass(3.0);
    let zone = w.workers[w.running("j-1/0")[0]].zone;
    w.cloud_down = true;
    let before = w.owner();
    w.nodes[before].no_store = true;
    w.nodes[before].no_peers = true;
    for m in w.workers.iter_mut().filter(|m| m.zone == zone) {
        m.cut = true;
    }
    w.copying = true;
    w.pass(50.0);
    // All of it is elsewhere now, and in one zone.
    assert_ne!(w.owner(), before);
    assert_eq!(w.all_running(), 4);
    for m in &mut w.workers {
        m.cut = false;
    }
    w.nodes[before].no_store = false;
    w.nodes[before].no_peers = false;
    w.copying = false;
    let owner = w.owner();
    for copy in std::mem::take(&mut w.copies) {
        w.late_copy(owner, &copy);
    }
    w.pass(10.0);
    assert_eq!(w.all_running(), 4);
}

#[test]
fn a_job_whose_tasks_end_far_apart_over_a_change_of_leader_is_done_once() {
    let mut w = started(3, 2);
    w.submit(&desc("j-1", 3));
    w.pass(3.0);
    w.finish("j-1/0");
    w.pass(4.0);
    // The second ends while the owner's writes get no answer, and it ends itself.
    let before = w.owner();
    w.nodes[before].late = true;
    w.finish("j-1/1");
    w.pass(3.0);
    w.nodes[before].late = false;
    w.crash(before);
    w.pass(30.0);
    for (compares, mutations) in std::mem::take(&mut w.held_txns) {
        w.store.txn(&compares, mutations);
    }
    assert_eq!(w.ended("j-1"), None);
    w.pass(5.0);
    assert!(w.running("j-1/0").is_empty(), "known to be done");
    w.finish("j-1/2");
    w.pass(6.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
}

#[test]
fn at_the_limit_when_the_leader_changes_and_a_cancellation_falls_into_it() {
    let mut w = started(2, 4);
    w.submit(&desc("j-1", 4));
    w.submit(&desc("j-2", 4));
    w.pass(3.0);
    assert_eq!(w.all_running(), 8, "16 cores are the limit");
    w.cloud_down = true;
    for at in w.running("j-1/0") {
        w.workers[at].cut = true;
    }
    let before = w.owner();
    w.crash(before);
    w.pass(21.0);
    w.cancel("j-1");
    w.submit(&desc("j-3", 8));
    w.pass(50.0);
    for m in &mut w.workers {
        m.cut = false;
    }
    w.pass(12.0);
    assert!(w.started_ever("j-3"), "the limit is free again");
}

/// A page of progress is written without an answer, once more with what has ended
/// since, and then the first write is carried out.
#[test]
fn a_late_page_of_progress_undoes_nothing() {
    let mut w = started(2, 2);
    w.submit(&desc("j-1", 4));
    w.pass(3.0);
    let owner = w.owner();
    w.nodes[owner].late = true;
    w.finish("j-1/0");
    w.pass(3.0);
    w.nodes[owner].late = false;
    let late = std::mem::take(&mut w.held_txns);
    assert!(!late.is_empty());
    w.finish("j-1/1");
    w.pass(6.0);
    let done = |w: &World| w.store.keys["r/done/j-1/0000"].1["done"].clone();
    let both = done(&w);
    for (compares, mutations) in late {
        w.store.txn(&compares, mutations);
    }
    assert_eq!(done(&w), both);
    // Nor does one of a job that has ended meanwhile bring anything back.
    w.nodes[owner].late = true;
    w.finish("j-1/2");
    w.pass(3.0);
    w.nodes[owner].late = false;
    let late = std::mem::take(&mut w.held_txns);
    w.cancel("j-1");
    w.pass(20.0);
    for (compares, mutations) in late {
        w.store.txn(&compares, mutations);
    }
    assert!(!w.store.keys.keys().any(|k| k.starts_with("r/done/j-1/")));
}
