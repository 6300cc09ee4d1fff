//! The rules that users added: machines that hear nothing, late copies of reports,
//! controllers with their workers alone, ends of a fraction of a second, jobs that
//! stay known, and nobody who starves.

use super::started;
use super::world::{World, secs};
use crate::api::ports::HeartbeatAnswer;
use crate::api::read_index::JobLookup;
use crate::ids::FencingToken;
use crate::jobs::JobState;
use crate::jobs::tests::desc;
use crate::store::Reply;

#[test]
fn a_machine_that_hears_nothing_gets_no_more_work_and_is_replaced() {
    let mut w = started(1, 2);
    w.submit(&desc("j-1", 4));
    w.pass(3.0);
    let unreachable = w.running("j-1/0")[0];
    w.workers[unreachable].unreachable = true;
    // It is fuller, so it would be the better place.
    w.submit(&desc("j-2", 2));
    w.pass(15.0);
    assert_eq!(
        w.running("j-2/0"),
        vec![1 - unreachable],
        "work goes elsewhere"
    );
    assert!(
        w.returned.contains(&w.workers[unreachable].id),
        "suspect, so returned"
    );
    w.pass(3.0);
    assert_eq!(
        w.running("j-1/0"),
        vec![1 - unreachable],
        "and only then once more"
    );
}

#[test]
fn a_machine_that_hears_nothing_and_cant_be_returned_ends_by_its_lease() {
    let mut w = started(1, 2);
    w.cloud_down = true;
    w.submit(&desc("j-1", 4));
    w.submit(&desc("j-2", 2));
    w.pass(3.0);
    let unreachable = w.running("j-1/0")[0];
    w.workers[unreachable].unreachable = true;
    w.pass(10.0);
    assert_eq!(
        w.running("j-1/0"),
        vec![unreachable],
        "it may still run there"
    );
    w.cancel("j-2");
    w.submit(&desc("j-3", 8));
    // Its lease ends by itself, and the next report shows it by its session.
    w.pass(w.cancel_s() - 12.0);
    assert!(w.running("j-2/0").is_empty(), "cancelled in time");
    assert_eq!(w.running("j-1/0"), vec![1 - unreachable]);
}

/// Seen at an owner out of sockets: its workers could not connect, but it spoke to
/// them, and took each session for over by the age of the last answered report.
#[test]
fn a_machine_heard_by_direct_words_alone_is_not_over_in_its_next_session() {
    let mut w = started(1, 2);
    w.submit(&desc("j-1", 4));
    w.pass(3.0);
    let unheard = w.running("j-1/0")[0];
    w.workers[unheard].unheard = true;
    // Or it would be replaced once its first session is over.
    w.cloud_down = true;
    // The other has no room, so all goes on where it is.
    w.submit(&desc("j-2", 8));
    w.pass(3.0);
    let lease_s = w.nodes[0].settings.platform.workers.lease_s;
    // Its session ends and the next one begins; no task may be on both machines.
    w.pass(lease_s + 15.0);
    assert_eq!(w.workers[unheard].agent_epoch, 2);
    w.cancel("j-2");
    w.pass(2.0 * lease_s);
    assert_eq!(w.running("j-1/0").len(), 1);
}

#[test]
fn late_copies_of_reports_say_nothing() {
    let mut w = started(2, 2);
    let blank = w.workers[0].report();
    w.submit(&desc("j-1", 4));
    w.pass(3.0);
    let at = w.running("j-1/0")[0];
    let owner = w.owner();
    let runs = w.workers[at].report();
    w.pass(2.0);
    // Seconds late: the tasks that it shows have ended since.
    w.finish_all();
    w.pass(5.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
    assert_eq!(
        w.late_copy(owner, &runs),
        Some(HeartbeatAnswer::Unavailable)
    );
    w.pass(5.0);
    assert_eq!(w.all_running(), 0);
    // Well over a lease late, from an earlier session: it proves no life.
    w.submit(&desc("j-2", 4));
    w.pass(3.0);
    let with = w.running("j-2/0")[0];
    w.workers[with].cut = true;
    w.cloud_down = true;
    let mut copy = w.workers[with].report();
    copy.heartbeat_sequence = 1;
    copy.tasks.clear();
    for _ in 0..20 {
        w.pass(2.0);
        w.late_copy(owner, &copy);
        w.late_copy(owner, &blank);
    }
    assert_ne!(
        w.running("j-2/0"),
        vec![with],
        "its lease is over all the same"
    );
    assert_eq!(w.running("j-2/0").len(), 1);
}

#[test]
fn a_late_copy_after_a_failover_settles_nothing() {
    let mut w = started(2, 2);
    w.submit(&desc("j-0", 1));
    w.pass(3.0);
    let at = w.running("j-0/0")[0];
    // Both machines blank but for j-0, as a copy will show them later.
    let copies = [w.workers[0].report(), w.workers[1].report()];
    w.submit(&desc("j-1", 4));
    w.pass(3.0);
    assert_eq!(w.running("j-1/0").len(), 1);
    let before = w.owner();
    for worker in &mut w.workers {
        worker.cut = true;
    }
    w.cloud_down = true;
    w.crash(before);
    w.pass(22.0);
    let owner = w.owner();
    assert_ne!(owner, before);
    for mut copy in copies {
        // It is the first that the new owner hears, and newer than nothing.
        let told = w.late_copy(owner, &copy);
        assert!(
            matches!(told, Some(HeartbeatAnswer::Accepted(o)) if o.commands.is_empty()),
            "the token at most"
        );
        // Not even one that has seen a lower term of the new owner's own.
        copy.fencing_token = FencingToken(copy.fencing_token.0 + 1);
        w.late_copy(owner, &copy);
    }
    w.workers[1 - at].cut = false;
    // Had the copy counted, j-1 would be started once more on the other machine.
    w.pass(5.0);
    assert!(w.running("j-1/0").len() <= 1);
}

#[test]
fn a_copy_from_a_returned_machine_makes_it_no_machine() {
    let mut w = started(1, 3);
    w.submit(&desc("j-1", 1));
    w.pass(3.0);
    let with = w.running("j-1/0")[0];
    let copy = w.workers[with].report();
    w.workers[with].cut = true;
    w.pass(20.0);
    assert!(w.returned.contains(&w.workers[with].id));
    assert_eq!(w.late_copy(0, &copy), Some(HeartbeatAnswer::Unavailable));
    w.pass(5.0);
    let recorded = w
        .store
        .keys
        .iter()
        .filter(|(k, _)| k.contains("/machines/"));
    let id = w.workers[with].id.to_string();
    assert!(
        !recorded
            .map(|(_, v)| v.1.to_string())
            .any(|v| v.contains(&id))
    );
    assert_eq!(w.running("j-1/0").len(), 1);
}

#[test]
fn a_controller_alone_with_its_workers_stops_in_time_and_comes_back() {
    let mut w = started(3, 2);
    w.submit(&desc("j-1", 4));
    w.pass(3.0);
    let cut = w.owner();
    assert!(w.nodes[cut].view.healthy);
    w.nodes[cut].no_store = true;
    w.nodes[cut].no_peers = true;
    w.pass(10.0);
    assert!(!w.nodes[cut].view.healthy, "users are to go elsewhere");
    w.pass(12.0);
    let r = w.workers[0].report();
    assert_eq!(
        w.late_copy(cut, &r),
        Some(HeartbeatAnswer::Unavailable),
        "its lease is over"
    );
    let owner = w.owner();
    assert_ne!(owner, cut);
    w.pass(6.0);
    assert!(w.workers.iter().all(|m| m.node == Some(owner)));
    assert_eq!(w.all_running(), 4, "and nothing was lost");
    w.nodes[cut].no_store = false;
    w.nodes[cut].no_peers = false;
    w.pass(3.0);
    assert!(w.nodes[cut].view.healthy);
    w.crash(owner);
    w.submit(&desc("j-2", 2));
    w.pass(30.0);
    assert_eq!(w.running("j-2/0").len(), 1, "it serves again");
}

#[test]
fn an_outage_for_all_makes_no_node_unhealthy() {
    let mut w = started(3, 1);
    w.store.down = true;
    w.pass(10.0);
    assert!(w.nodes.iter().all(|n| n.view.healthy));
}

#[test]
fn controllers_back_in_a_fraction_of_a_second_leave_nothing_behind() {
    let mut w = started(3, 2);
    w.submit(&desc("j-1", 4));
    w.pass(3.0);
    let attempts = |w: &World| -> Vec<u64> {
        let tasks = w.workers.iter().flat_map(|m| m.tasks.values());
        tasks.map(|h| h.0).collect()
    };
    let first = attempts(&w);
    w.hold_job_txns = true;
    w.finish_all();
    w.pass(2.5);
    w.hold_job_txns = false;
    // Again and again, in the middle of the elections that follow.
    for round in 0..6 {
        for i in 0..3 {
            if round % 3 != i {
                w.crash(i);
                w.start(i);
            }
        }
        w.pass(0.3);
    }
    let late = std::mem::take(&mut w.held_txns);
    assert!(!late.is_empty());
    for (compares, mutations) in late {
        let reply = w.store.txn(&compares, mutations);
        assert!(matches!(reply, Reply::Conflict(_)), "of a dead incarnation");
    }
    w.pass(12.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
    w.submit(&desc("j-2", 4));
    w.pass(4.0);
    assert_eq!(w.all_running(), 4);
    assert!(attempts(&w).iter().all(|a| !first.contains(a)));
    let owners = w.store.keys.keys().filter(|k| k.ends_with("/holder"));
    assert_eq!(owners.count(), 1);
    let members = w.store.keys.keys().filter(|k| k.starts_with("r/members/"));
    assert_eq!(members.count(), 3, "and every controller is in");
}

/// A worker that begins anew after so many messages: its reports would count as old
/// for long. With where the task runs.
fn with_a_task_after_a_long_life() -> (World, usize) {
    let mut w = started(1, 2);
    for m in &mut w.workers {
        m.heartbeat_sequence += 1_000;
    }
    w.submit(&desc("j-1", 1));
    w.pass(3.0);
    let at = w.running("j-1/0")[0];
    (w, at)
}

#[test]
fn a_machine_back_in_a_fraction_of_a_second_is_known_and_late_commands_do_no_harm() {
    let (mut w, at) = with_a_task_after_a_long_life();
    // A launch that gets lost on its way there.
    w.hold_directs = true;
    w.submit(&desc("j-2", 1));
    w.pass(0.2);
    assert_eq!(w.held_directs.len(), 1);
    w.hold_directs = false;
    w.reborn(at);
    w.pass(10.0);
    assert_eq!((w.running("j-1/0").len(), w.running("j-2/0").len()), (1, 1));
    assert!(w.returned.is_empty(), "its reports count again");
    // Copies of what was lost, and of what was carried out before.
    let late = std::mem::take(&mut w.held_directs);
    for (to, late) in late.into_iter().chain(w.done_directs.clone()) {
        w.workers[to].direct(&late);
        w.check_rules();
    }
    w.pass(20.0);
    assert!(w.returned.is_empty());
}

#[test]
fn a_copy_of_a_launch_that_was_carried_out_meets_a_fence_at_a_reborn_worker() {
    let (mut w, at) = with_a_task_after_a_long_life();
    let launches = w.done_directs.clone();
    assert!(
        launches
            .iter()
            .any(|(to, d)| *to == at && !d.commands.is_empty())
    );
    w.reborn(at);
    w.pass(5.0);
    assert_eq!(w.running("j-1/0").len(), 1);
    w.cancel("j-1");
    w.pass(5.0);
    for (to, copy) in launches {
        // Under the token that it had before it began anew, it would run once more.
        w.workers[to].direct(&copy);
        assert_eq!(w.all_running(), 0);
    }
}

#[test]
fn a_repeat_of_a_request_that_was_carried_out_changes_nothing() {
    let mut w = started(1, 1);
    w.hold_job_txns = true;
    w.submit(&desc("j-1", 1));
    w.pass(2.0);
    w.finish_all();
    w.pass(2.0);
    let held = std::mem::take(&mut w.held_txns);
    w.hold_job_txns = false;
    // Carried out late, without an answer; then what was tried since, and repeats.
    for _ in 0..2 {
        for (compares, mutations) in &held {
            w.store.txn(compares, mutations.clone());
        }
    }
    w.pass(3.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
    assert!(w.workers[0].tasks.is_empty(), "reaped");
}

#[test]
fn after_all_troubles_every_node_answers_for_every_job_within_seconds() {
    let mut w = started(3, 2);
    w.submit(&desc("j-1", 2));
    w.pass(3.0);
    let away = (w.owner() + 1) % 3;
    w.nodes[away].no_store = true;
    w.finish_all();
    w.pass(4.0);
    for i in 2..20 {
        w.submit(&desc(&format!("j-{i}"), 1));
    }
    w.pass(20.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
    // Its cache stands still: it must not tell of the past, and says so at once.
    w.ask_for(away, "j-1", 1);
    assert_eq!(w.found.pop(), Some((away, 1, JobLookup::Unavailable)));
    w.store.down = true;
    w.pass(30.0);
    w.store.down = false;
    // The log is cut: it must read everything anew.
    w.nodes[away].no_store = false;
    w.nodes[away].loaded = false;
    w.pass(2.0);
    for node in 0..3 {
        for i in 1..20 {
            w.ask_for(node, &format!("j-{i}"), i);
        }
    }
    w.pass(0.5);
    assert_eq!(w.found.len(), 57);
    for (_, request_id, found) in &w.found {
        let done = matches!(found, JobLookup::Ended(rec) if rec.state == JobState::Done);
        let live = matches!(found, JobLookup::Live { .. });
        assert!(
            if *request_id == 1 { done } else { live },
            "{request_id} {found:?}"
        );
    }
    w.found.clear();
    w.ask_for(away, "j-999", 99);
    w.pass(0.5);
    assert_eq!(w.found.pop(), Some((away, 99, JobLookup::NotFound)));
}

#[test]
fn who_starves_is_not_overtaken_by_its_own_team_below_the_limit() {
    let mut w = started(1, 3);
    w.task_time = Some(secs(10.0));
    // It needs all that its team may have, on one machine of three.
    let mut whole = desc("j-90001", 1);
    whole.cores = 16.0;
    w.submit(&whole);
    for n in 0..170 {
        let mut stream = desc(&format!("j-{n}"), 1);
        stream.priority = crate::jobs::Priority::Production;
        // It can't wait, so it leaves no machine to the other.
        stream.deadline_s = None;
        w.submit(&stream);
        w.pass(1.0);
    }
    assert!(w.started_ever("j-90001"));
}

#[test]
fn under_lasting_overload_everyone_begins_within_four_minutes() {
    let mut w = started(1, 1);
    w.task_time = Some(secs(10.0));
    // A whole machine, a low rank, a lost deadline, and a large array of the stream.
    let mut whole = desc("j-90001", 1);
    whole.cores = 16.0;
    let mut low = desc("j-90002", 2);
    low.priority = crate::jobs::Priority::Idle;
    low.class = "other".into();
    let mut lost = desc("j-90003", 2);
    lost.deadline_s = Some(1.0);
    let large = desc("j-90004", 100);
    let mut blue = desc("j-90005", 2);
    blue.team = "blue".into();
    for d in [&whole, &low, &lost, &large, &blue] {
        w.submit(d);
    }
    let mut begun = std::collections::BTreeSet::new();
    for n in 0..230 {
        // Twice of what the machine can do, of a higher rank than most.
        let mut stream = desc(&format!("j-{n}"), 2);
        stream.priority = crate::jobs::Priority::Production;
        stream.team = if n % 2 == 0 { "red" } else { "blue" }.into();
        stream.deadline_s = Some(1_000.0);
        w.submit(&stream);
        w.pass(1.0);

        for id in 90001..=90005 {
            if w.started_ever(&format!("j-{id}")) {
                begun.insert(id);
            }
        }
    }
    assert_eq!(begun.len(), 5, "{begun:?}");
    let live = w
        .store
        .keys
        .keys()
        .filter(|k| k.starts_with("r/jobs/"))
        .count();
    assert!(live > 50, "it was an overload: {live} wait");
}
