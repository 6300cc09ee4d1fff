use super::*;
use crate::ids::FencingToken;
use crate::jobs::tests::{rec, types};
use crate::partitions::MachineRecord;
use crate::policy::tests::standard;
use crate::settings::tests::settings;
use crate::store::{Reply, WatchEvent, keys};
use crate::subsystems::Subsystems;
use crate::workers::tests::heartbeat;
use crate::zones::ZoneSituation;

fn secs(s: f64) -> Micros {
    Micros::from_secs(s)
}

/// The store's newest word on a key.
fn told(cache: &mut WatchCache, key: String, value: serde_json::Value, revision: u64) {
    cache.apply_event(WatchEvent {
        set: Some(key),
        delete: None,
        value,
        revision: Revision(revision),
    });
}

fn shard(cache: &mut WatchCache, machines: &[&str], revision: u64) {
    let used = |id: &&str| {
        let mut rec = MachineRecord::blank("10.1.0.1:9000".into(), "big", "x", false);
        rec.used = true;
        (MachineId::from(*id), rec)
    };
    let rec = ShardRecord(machines.iter().map(used).collect());
    let value = serde_json::to_value(rec).expect("a record");
    told(cache, keys::shard(PartitionId(0), 0), value, revision);
}

struct Bench {
    h: OwnedPartition,
    cache: WatchCache,
    sequence: u64,
}

impl Bench {
    /// An owner of one partition with one machine that has nothing to do.
    fn new() -> Bench {
        let settings = Rc::new(settings());
        let grant = PartitionOwnerRecord {
            owner: settings.label.clone(),
            incarnation: Revision(1),
            term: Term(3),
            teams: vec!["red".into(), "blue".into()],
        };
        let mut cache = WatchCache::default();
        shard(&mut cache, &["m-1"], 5);
        let policy = Rc::new(standard());
        let now = secs(1.0);
        let mut h =
            OwnedPartition::new(PartitionId(0), &grant, Revision(4), &settings, &policy, now);
        h.fail_over(now, &cache, &types());
        Bench {
            h,
            cache,
            sequence: 0,
        }
    }

    fn report(&mut self, now: Micros) {
        self.sequence += 1;
        let token = FencingToken::of(Term(3), 0);
        let r = heartbeat("m-1", 1, self.sequence, token, &[]);
        let fleet = Resources::new(16.0, 0.0, 64.0);
        self.h
            .handle_heartbeat(now, now, fleet, now + secs(9.0), &r);
        self.h.tick(now, now, fleet);
    }

    fn release_idle_machines(&mut self, now: Micros) -> Option<Write> {
        match self.h.release_idle_machines(now, &self.cache, &[], &[])? {
            Effect::CompareAndSwap(write, ..) => Some(write),
            _ => None,
        }
    }
}

/// Seen as 495 healthy machines returned within ten seconds by an owner that had more
/// reports to read than its processor share allows.
#[test]
fn a_owner_that_falls_behind_takes_no_machine_for_dead() {
    let mut b = Bench::new();
    shard(&mut b.cache, &["m-1", "m-2"], 6);
    b.h.reconcile_shard(secs(1.0), 0, &b.cache, &types(), false);
    let fleet = Resources::new(32.0, 0.0, 128.0);
    let both = |b: &mut Bench, now: Micros| {
        b.report(now);
        let r = heartbeat("m-2", 1, b.sequence, FencingToken::of(Term(3), 0), &[]);
        b.h.handle_heartbeat(now, now, fleet, now + secs(9.0), &r);
    };
    for s in [2.0, 4.0] {
        both(&mut b, secs(s));
    }
    // From then on only one of them is heard.
    let silent_for = |b: &mut Bench, from: f64, between_ticks: f64| {
        let mut now = from;
        while now < from + 20.0 {
            now += between_ticks;
            b.report(secs(now));
        }
        b.h.releasable_machines(secs(now))
    };
    assert!(
        silent_for(&mut b, 4.0, 0.6).is_empty(),
        "each tick is late: what was not heard may be waiting to be read"
    );
    assert_eq!(
        silent_for(&mut b, 24.0, 0.1),
        vec![MachineId::from("m-2")],
        "all is read in time, and it is silent"
    );
}

/// Seen as `ran_twice`: a machine was given up while a task of ours ran on it, so that
/// the task was started elsewhere.
#[test]
fn an_answer_that_comes_after_the_shard_has_changed_gives_no_machine_up() {
    let mut b = Bench::new();
    for s in [2.0, 4.0, 100.0] {
        b.report(secs(s));
    }
    let first = b
        .release_idle_machines(secs(100.0))
        .expect("idle, so it goes");
    b.h.handle_store_reply(secs(102.5), first, &Reply::Indeterminate);
    b.report(secs(102.5));
    let second = b.release_idle_machines(secs(103.0)).expect("once more");
    // While that is out, somebody else changes the shard: both have failed.
    shard(&mut b.cache, &["m-1", "m-2"], 6);
    b.h.reconcile_shard(secs(103.5), 0, &b.cache, &types(), false);
    let job = serde_json::to_value(rec("j-1", 1, Term(3))).expect("a record");
    told(&mut b.cache, keys::job(&"j-1".into()), job, 7);
    b.h.reconcile_job(&"j-1".into(), &b.cache);
    b.report(secs(104.0));
    assert_eq!(
        b.h.machines[&"m-1".into()].attempts.len(),
        1,
        "in use again"
    );
    b.h.handle_store_reply(secs(105.5), second, &Reply::Indeterminate);
    assert_eq!(b.release_idle_machines(secs(106.0)), None);
    assert_eq!(
        b.h.machines[&"m-1".into()].release_state(),
        crate::workers::ReleaseState::Active
    );
}

/// While an earlier version leads, nobody else splits what that one has filled up to the
/// higher limit.
#[test]
fn a_shard_that_is_too_large_is_split_by_its_owner_when_it_changes_a_machine_there() {
    let mut bench = Bench::new();
    let settings = Rc::make_mut(&mut bench.h.settings);
    settings.platform.state.next = Some(crate::settings::NextStateLimits {
        value_kb: Some(2.0),
        txn_ops: Some(5),
        ..Default::default()
    });
    let blank = |n: usize| {
        let rec = MachineRecord::blank("10.1.0.1:9000".into(), "big", "x", false);
        (MachineId::from(format!("m-{n}")), rec)
    };
    let all = ShardRecord((1..=60).map(blank).collect());
    let value = serde_json::to_value(&all).expect("a record");
    let key = keys::shard(PartitionId(0), 0);
    told(&mut bench.cache, key.clone(), value, 7);
    let used = keys::shard(PartitionId(0), 1);
    told(&mut bench.cache, used.clone(), serde_json::json!({}), 8);
    let now = secs(2.0);
    bench
        .h
        .reconcile_shard(now, 0, &bench.cache, &types(), false);
    for s in [2.5, 4.0] {
        bench.report(secs(s));
    }
    bench
        .h
        .machines
        .get_mut(&"m-1".into())
        .expect("a machine")
        .used = false;
    bench.h.to_open = true;
    let opened = bench.h.record_used_machines(secs(5.0), &bench.cache);
    let Some(Effect::CompareAndSwap(Write::Open(ids), compares, mutations)) = opened else {
        panic!("{opened:?}");
    };
    assert_eq!(ids, vec![MachineId::from("m-1")]);
    assert!(
        mutations.len() > 1 && mutations.len() <= 5,
        "{} changes",
        mutations.len()
    );
    // Conditional on the owner, on the shard as it was, and on numbers that are free.
    assert_eq!(compares[1], crate::store::compare(key, Revision(7)));
    assert!(
        compares[2..]
            .iter()
            .all(|c| c.revision == Revision(0) && c.key != used)
    );
    let mut joined = BTreeMap::new();
    for op in mutations {
        let Mutation::Set { value, .. } = op else {
            panic!("only sets")
        };
        assert!(value.to_string().len() <= 2048);
        let part: ShardRecord = serde_json::from_value(value).expect("a shard");
        joined.extend(part.0);
    }
    assert_eq!(joined.len(), 60, "each once");
    assert!(joined[&MachineId::from("m-1")].used);
}

/// Two machines, and zone failover on with the zone in this state.
fn zoned(state: &str) -> Bench {
    let mut b = Bench::new();
    shard(&mut b.cache, &["m-1", "m-2"], 6);
    b.h.reconcile_shard(secs(1.0), 0, &b.cache, &types(), false);
    let on = Subsystems::parse("[zone-failover]\nenabled = true", &settings()).expect("a file");
    let zone = serde_json::json!({"state": state, "epoch": 1, "since": 0, "relapses": 1});
    let zone = serde_json::from_value(zone).expect("a zone's record");
    let situation = Rc::new(ZoneSituation {
        troubled: BTreeMap::from([("x".into(), zone)]),
        returned: BTreeMap::new(),
        patience: secs(30.0),
    });
    let config = on.zone_failover.expect("on");
    b.h.update_zones(secs(1.0), &config, &situation);
    let r = heartbeat("m-2", 1, 1, FencingToken::of(Term(3), 0), &[]);
    b.h.handle_heartbeat(secs(1.0), secs(1.0), Resources::default(), secs(9.0), &r);
    b
}

#[test]
fn a_owner_that_hears_nobody_says_nothing_of_zones() {
    let mut b = zoned("suspect");
    for n in 10..120 {
        b.report(secs(f64::from(n) * 0.1));
    }
    let counts = b.h.zone_counts(secs(12.0));
    assert_eq!((counts["x"].machines, counts["x"].silent), (2, 1));
    for n in 120..170 {
        let now = secs(f64::from(n) * 0.1);
        b.h.tick(now, now, Resources::default());
    }
    assert!(b.h.zone_counts(secs(17.0)).is_empty());
}

#[test]
fn silent_machines_of_a_zone_that_stays_suspect_are_returned_after_all() {
    let mut b = zoned("suspect");
    let mut returned_at = None;
    for n in 10..240 {
        let now = secs(f64::from(n) * 0.1);
        b.report(now);
        if !b.h.releasable_machines(now).is_empty() {
            returned_at = returned_at.or(Some(now));
        }
    }
    // Silent and suspect since one second, and kept for fifteen.
    assert_eq!(returned_at, Some(secs(16.0)));
}
