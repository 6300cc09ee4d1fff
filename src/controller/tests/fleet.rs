//! Troubles of many at once, and those that the fleet's size brings together.

use super::started;
use super::world::{World, secs};
use crate::controller::messages::Input;
use crate::jobs::tests::desc;

#[test]
fn a_owner_that_hears_neither_machines_nor_peers_hands_its_partition_back() {
    let mut w = started(3, 3);
    let before = w.owner();
    // The others reach the workers, but nobody reaches a peer.
    for n in &mut w.nodes {
        n.no_peers = true;
    }
    w.nodes[before].no_workers = true;
    w.pass(25.0);
    assert_ne!(w.owner(), before, "and it is not granted to the same again");
    w.submit(&desc("j-1", 4));
    w.pass(12.0);
    assert_eq!(w.all_running(), 4);
}

/// Nothing is decided from a silence that was the owner's own.
/// While work waits for machines that do not come up, they are paid for.
#[test]
fn machines_that_never_come_up_are_replaced_and_not_rented_twice_for_one_need() {
    let mut w = World::new(1, 0);
    w.renting = true;
    w.pass(3.0);
    w.submit(&desc("j-1", 8));
    while w.workers.is_empty() {
        w.pass(0.1);
    }
    w.pass(2.0);
    let rented = w.workers.len();
    w.keep_booting();
    // Two and a half times as long as they take, and ten seconds more.
    w.pass(80.0);
    assert_eq!(w.workers.len(), rented, "they may still come up");
    assert!(w.returned.is_empty(), "{:?}", w.returned);
    w.pass(15.0);
    assert_eq!(w.returned.len(), rented, "given up, and paid for no longer");
    w.pass(10.0);
    assert_eq!(w.all_running(), 8, "on those rented instead");
}

#[test]
fn after_a_standstill_nothing_is_returned_handed_back_or_started_unheard() {
    let mut w = started(2, 4);
    w.submit(&desc("j-1", 4));
    w.pass(4.0);
    let owner = w.owner();
    w.nodes[owner].frozen = true;
    w.pass(14.0);
    w.submit(&desc("j-2", 4));
    w.nodes[owner].frozen = false;
    // What waited is worked off: first of all the time that passed.
    w.sync(owner);
    w.feed(owner, Input::Tick);
    w.feed(owner, Input::Tick);
    assert!(!w.started_ever("j-2"), "no machine was heard since");
    assert!(w.returned.is_empty());
    // A machine that is quiet for a moment has its full time from then on.
    w.workers[0].due = w.now + secs(6.0);
    w.pass(8.0);
    assert_eq!((w.owner(), w.returned.len()), (owner, 0));
    assert_eq!(w.all_running(), 8, "and goes on with what ran");
}

#[test]
fn a_standstill_beyond_the_lease_leaves_no_order_behind() {
    let mut w = started(2, 2);
    w.submit(&desc("j-1", 2));
    w.pass(4.0);
    let before = w.owner();
    w.nodes[before].frozen = true;
    w.pass(45.0);
    let after = w.owner();
    assert_ne!(after, before);
    w.submit(&desc("j-2", 2));
    w.nodes[before].frozen = false;
    // Its clock has moved, and it knows of nothing yet: it answers no worker.
    let report = w.workers[0].report();
    let answer = w.feed(
        before,
        Input::Heartbeat {
            heartbeat: report,
            request_id: 1,
        },
    );
    assert_eq!(
        answer,
        Some(crate::api::ports::HeartbeatAnswer::Unavailable)
    );
    let words = w.done_directs.len();
    w.feed(before, Input::Tick);
    assert_eq!(w.done_directs.len(), words, "nor does it speak to any");
    w.pass(5.0);
    assert_eq!(w.all_running(), 4);
}

pub fn two_partitions(nodes: usize, machines: usize) -> World {
    World::with(nodes, machines, |v| {
        for team in v["settings"]["teams"].as_array_mut().expect("teams") {
            team["cpus"] = 4_000.0.into();
            team["cpus_max"] = 4_000.0.into();
        }
    })
}

#[test]
fn after_an_end_of_all_one_member_alone_does_not_get_every_partition() {
    let mut w = two_partitions(3, 4);
    w.pass(8.0);
    let owners = |w: &World| {
        let of = |b: u64| w.store.keys[&format!("r/blocks/{b}/holder")].1["holder"].clone();
        (of(0), of(1))
    };
    let (a, b) = owners(&w);
    assert_ne!(a, b);
    for i in 0..3 {
        w.crash(i);
    }
    w.pass(25.0);
    // The first is back a little before the others.
    w.start(0);
    w.pass(1.7);
    w.start(1);
    w.start(2);
    w.pass(3.0);
    let (a, b) = owners(&w);
    assert_ne!(a, b);
}

/// A minute is charged at least, but once: not again after each failover.
#[test]
fn under_a_roll_of_restarts_idle_machines_are_returned_all_the_same() {
    let mut w = started(2, 3);
    w.idle_return = secs(5.0);
    w.pass(30.0);
    for _ in 0..2 {
        for i in 0..2 {
            w.crash(i);
            w.pass(0.3);
            w.start(i);
        }
        w.pass(15.0);
    }
    assert_eq!(w.returned.len(), 3);
}

#[test]
fn after_a_failover_a_job_waits_only_for_machines_that_it_can_be_on() {
    let mut w = World::with(2, 4, |v| {
        for team in v["settings"]["teams"].as_array_mut().expect("teams") {
            team["cpus_max"] = 64.0.into();
        }
    });
    w.workers[0].zone = "y";
    w.pass(6.0);
    // The one machine in the other zone falls silent, and all controllers end. Both
    // jobs are from before: for all that is known they may have been started.
    w.workers[0].cut = true;
    w.cloud_down = true;
    for i in 0..2 {
        w.crash(i);
    }
    let mut bound = desc("j-1", 2);
    bound.zone = Some("x".into());
    w.submit(&bound);
    w.submit(&desc("j-2", 2));
    w.pass(1.0);
    for i in 0..2 {
        w.start(i);
    }
    w.pass(8.0);
    assert_eq!(w.running("j-1/0").len(), 1, "it can't be over there");
    assert!(w.running("j-2/0").is_empty(), "it can, so it waits");
    w.pass(40.0);
    assert_eq!(w.all_running(), 4, "until that worker's lease is over");
}

/// Enough room for many machines under one owner.
fn many(nodes: usize, machines: usize) -> World {
    let mut w = World::with(nodes, machines, |v| {
        v["settings"]["limits"]["cpu_share"] = 1.0.into();
        for team in v["settings"]["teams"].as_array_mut().expect("teams") {
            team["cpus"] = 1_000.0.into();
            team["cpus_max"] = 6_000.0.into();
        }
    });
    w.pass(8.0);
    w
}

#[test]
fn a_hundred_machines_hang_while_the_owner_ends_and_all_come_back_at_once() {
    let mut w = many(3, 300);
    w.submit(&desc("j-1", 1_200));
    w.pass(6.0);
    assert_eq!(w.all_running(), 1_200);
    // The cloud can't help, and their leases hold: all must stay where it is.
    w.cloud_down = true;
    for m in w.workers.iter_mut().take(100) {
        m.cut = true;
    }
    let before = w.owner();
    w.crash(before);
    w.pass(24.0);
    assert_ne!(w.owner(), before);
    w.submit(&desc("j-2", 100));
    w.pass(2.0);
    for m in w.workers.iter_mut().take(100) {
        m.cut = false;
    }
    w.pass(8.0);
    assert_eq!(w.all_running(), 1_300, "and new work goes beside it");
    w.cloud_down = false;
    w.pass(8.0);
    assert!(
        w.returned.is_empty(),
        "nor is any returned for what is over"
    );
}

#[test]
fn after_two_ends_of_all_with_the_store_away_before_starts_come_within_seconds() {
    let mut w = many(5, 100);
    w.submit(&desc("j-1", 100));
    w.pass(4.0);
    for round in 0..2 {
        w.store.down = true;
        w.pass(8.0);
        for i in 0..5 {
            w.crash(i);
        }
        w.store.down = false;
        w.pass(0.5);
        for i in 0..5 {
            w.start(i);
        }
        // A lease that an outage gave its full time again is ended by its successor.
        w.pass(3.0);
        w.submit(&desc(&format!("j-{}", 10 + round), 50));
        w.pass(4.0);
        assert_eq!(w.all_running(), 100 + 50 * (round + 1));
    }
    w.finish_all();
    w.pass(6.0);
    for id in ["j-1", "j-10", "j-11"] {
        assert_eq!(w.ended(id), Some(crate::jobs::JobState::Done));
    }
}
