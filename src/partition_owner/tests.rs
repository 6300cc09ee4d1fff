//! Tests of a partition's owner against a watch cache and heartbeats that the tests provide:
//! release of silent and idle machines, splitting of oversize shards, zone counts, hand-back.

use super::{Effect, OwnedPartition, ShardRead, Write};
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::{FencingToken, MachineId, PartitionId, Revision, Term};
use crate::jobs::tests::{job_record, machine_types};
use crate::partitions::{MachineRecord, PartitionOwnerRecord, ShardRecord};
use crate::policy::tests::built_in;
use crate::settings::NextStateLimits;
use crate::settings::tests::settings;
use crate::store::{Compare, Mutation, Reply, WatchEvent, keys};
use crate::subsystems::Subsystems;
use crate::watch_cache::WatchCache;
use crate::workers::ReleaseState;
use crate::workers::tests::heartbeat;
use crate::zones::ZoneSituation;
use std::collections::BTreeMap;
use std::rc::Rc;

fn secs(seconds: f64) -> Micros {
    Micros::from_secs(seconds)
}

/// Applies a watch event that sets a key to a new value.
fn apply_set(cache: &mut WatchCache, key: String, value: serde_json::Value, revision: u64) {
    cache.apply_event(WatchEvent {
        set: Some(key),
        delete: None,
        value,
        revision: Revision(revision),
    });
}

fn unused_machine() -> MachineRecord {
    MachineRecord::blank("10.1.0.1:9000".into(), "big", "x", false)
}

/// Applies a watch event that sets the partition's first shard to these machines, all of them
/// used.
fn apply_shard(cache: &mut WatchCache, machines: &[&str], revision: u64) {
    let used = |id: &&str| {
        let mut record = unused_machine();
        record.used = true;
        (MachineId::from(*id), record)
    };
    let record = ShardRecord(machines.iter().map(used).collect());
    let value = serde_json::to_value(record).expect("a shard record serializes");
    apply_set(cache, keys::shard(PartitionId(0), 0), value, revision);
}

/// The owner of partition 0 under term 3, and the cache that it reads.
struct Fixture {
    owner: OwnedPartition,
    cache: WatchCache,
    heartbeat_sequence: u64,
}

impl Fixture {
    /// Creates an owner with one idle machine, m-1.
    fn with_one_machine() -> Fixture {
        let settings = Rc::new(settings());
        let grant = PartitionOwnerRecord {
            owner: settings.label.clone(),
            incarnation: Revision(1),
            term: Term(3),
            teams: vec!["red".into(), "blue".into()],
        };
        let mut cache = WatchCache::default();
        apply_shard(&mut cache, &["m-1"], 5);
        let policy = Rc::new(built_in());
        let now = secs(1.0);
        let mut owner =
            OwnedPartition::new(PartitionId(0), &grant, Revision(4), &settings, &policy, now);
        owner.fail_over(now, &cache, &machine_types());
        Fixture {
            owner,
            cache,
            heartbeat_sequence: 0,
        }
    }

    /// Creates an owner with two idle machines, m-1 and m-2.
    fn with_two_machines() -> Fixture {
        let mut fixture = Fixture::with_one_machine();
        apply_shard(&mut fixture.cache, &["m-1", "m-2"], 6);
        fixture.reconcile_shard(secs(1.0));
        fixture
    }

    /// Creates an owner with two machines, with zone failover enabled and the machines' zone in
    /// this state. m-2 has sent one heartbeat.
    fn with_zone_in_state(state: &str) -> Fixture {
        let mut fixture = Fixture::with_two_machines();
        let subsystems = Subsystems::parse("[zone-failover]\nenabled = true", &settings())
            .expect("valid subsystem settings");
        let config = subsystems.zone_failover.expect("zone failover is enabled");
        let zone = serde_json::json!({"state": state, "epoch": 1, "since": 0, "relapses": 1});
        let zone = serde_json::from_value(zone).expect("a valid zone record");
        let situation = Rc::new(ZoneSituation {
            unhealthy: BTreeMap::from([("x".into(), zone)]),
            recovered: BTreeMap::new(),
            patience: secs(30.0),
        });
        let owner = &mut fixture.owner;
        owner.update_zones(secs(1.0), &config, &situation);
        let heartbeat = heartbeat("m-2", 1, 1, FencingToken::of(Term(3), 0), &[]);
        let (now, until) = (secs(1.0), secs(9.0));
        owner.handle_heartbeat(now, now, Resources::default(), until, &heartbeat);
        fixture
    }

    /// Reconciles the owner with the first shard in the cache.
    fn reconcile_shard(&mut self, now: Micros) {
        let cache = &self.cache;
        self.owner
            .reconcile_shard(now, 0, cache, &machine_types(), ShardRead::AfterChange);
    }

    /// Delivers a heartbeat of m-1, and then a tick of the owner.
    fn heartbeat(&mut self, now: Micros) {
        self.heartbeat_sequence += 1;
        let token = FencingToken::of(Term(3), 0);
        let heartbeat = heartbeat("m-1", 1, self.heartbeat_sequence, token, &[]);
        let fleet = Resources::new(16.0, 0.0, 64.0);
        self.owner
            .handle_heartbeat(now, now, fleet, now + secs(9.0), &heartbeat);
        self.owner.tick(now, now, fleet);
    }

    /// Delivers a heartbeat of m-1, a tick of the owner, and then a heartbeat of m-2.
    fn heartbeats_of_both(&mut self, now: Micros) {
        self.heartbeat(now);
        let token = FencingToken::of(Term(3), 0);
        let heartbeat = heartbeat("m-2", 1, self.heartbeat_sequence, token, &[]);
        let fleet = Resources::new(32.0, 0.0, 128.0);
        self.owner
            .handle_heartbeat(now, now, fleet, now + secs(9.0), &heartbeat);
    }

    fn release_idle_machines(&mut self, now: Micros) -> Option<Write> {
        let owner = &mut self.owner;
        match owner.release_idle_machines(now, &self.cache, &[], &[])? {
            Effect::CompareAndSwap(write, ..) => Some(write),
            _ => None,
        }
    }
}

/// Guards against a mass release of healthy machines by an owner with too little processor time.
/// Its ticks were late and it had more heartbeats to read than its processor share allows, so that
/// it took machines for silent and released 495 healthy ones within ten seconds.
#[test]
fn an_owner_with_late_ticks_releases_no_silent_machine() {
    let mut fixture = Fixture::with_two_machines();
    for seconds in [2.0, 4.0] {
        fixture.heartbeats_of_both(secs(seconds));
    }
    // From here on, m-2 sends no heartbeats.
    let releasable_after_silence = |fixture: &mut Fixture, from: f64, tick_interval: f64| {
        let mut now = from;
        while now < from + 20.0 {
            now += tick_interval;
            fixture.heartbeat(secs(now));
        }
        fixture.owner.releasable_machines(secs(now))
    };

    let with_late_ticks = releasable_after_silence(&mut fixture, 4.0, 0.6);
    let with_timely_ticks = releasable_after_silence(&mut fixture, 24.0, 0.1);

    assert!(
        with_late_ticks.is_empty(),
        "released with late ticks, although heartbeats may be unread"
    );
    assert_eq!(
        with_timely_ticks,
        vec![MachineId::from("m-2")],
        "m-2 is silent while all ticks are on time"
    );
}

/// Guards against the release of a machine that is in use, by which a task ran twice: its machine
/// was released while it ran there, so it was started on another machine as well.
///
/// Two release writes get no reply. The shard changes while the second is in flight, so both have
/// failed, and the machine is used again before the second is reported as indeterminate.
#[test]
fn a_release_reply_after_the_shard_has_changed_releases_no_machine() {
    let mut fixture = Fixture::with_one_machine();
    for seconds in [2.0, 4.0, 100.0] {
        fixture.heartbeat(secs(seconds));
    }
    let first = fixture
        .release_idle_machines(secs(100.0))
        .expect("an idle machine is released");
    let owner = &mut fixture.owner;
    owner.handle_store_reply(secs(102.5), first, &Reply::Indeterminate);
    fixture.heartbeat(secs(102.5));
    let second = fixture
        .release_idle_machines(secs(103.0))
        .expect("the release is repeated");

    // Another writer changes the shard while the second release is in flight: both releases
    // have failed.
    apply_shard(&mut fixture.cache, &["m-1", "m-2"], 6);
    fixture.reconcile_shard(secs(103.5));
    let job = serde_json::to_value(job_record("j-1", 1, Term(3))).expect("a job record serializes");
    apply_set(&mut fixture.cache, keys::job(&"j-1".into()), job, 7);
    fixture.owner.reconcile_job(&"j-1".into(), &fixture.cache);
    fixture.heartbeat(secs(104.0));
    let attempts = fixture.owner.machines[&"m-1".into()].attempts.len();
    assert_eq!(attempts, 1, "the machine is in use again");
    let owner = &mut fixture.owner;
    owner.handle_store_reply(secs(105.5), second, &Reply::Indeterminate);

    assert_eq!(fixture.release_idle_machines(secs(106.0)), None);
    assert_eq!(
        fixture.owner.machines[&"m-1".into()].release_state(),
        ReleaseState::Active
    );
}

/// Guards against an oversize shard that can't be written. A leader of an earlier version fills
/// shards up to a higher value limit and does not split them, so the owner must do so.
#[test]
fn an_oversize_shard_is_split_by_its_owner_when_a_machine_in_it_changes() {
    let mut fixture = Fixture::with_one_machine();
    let settings = Rc::make_mut(&mut fixture.owner.settings);
    settings.platform.state.next = Some(NextStateLimits {
        value_kb: Some(2.0),
        txn_ops: Some(5),
        ..Default::default()
    });
    let machine = |number: usize| (MachineId::from(format!("m-{number}")), unused_machine());
    let all = ShardRecord((1..=60).map(machine).collect());
    let value = serde_json::to_value(&all).expect("a shard record serializes");
    let key = keys::shard(PartitionId(0), 0);
    apply_set(&mut fixture.cache, key.clone(), value, 7);
    let taken = keys::shard(PartitionId(0), 1);
    let empty = serde_json::json!({});
    apply_set(&mut fixture.cache, taken.clone(), empty, 8);
    fixture.reconcile_shard(secs(2.0));
    for seconds in [2.5, 4.0] {
        fixture.heartbeat(secs(seconds));
    }
    let owner = &mut fixture.owner;
    owner
        .machines
        .get_mut(&"m-1".into())
        .expect("m-1 is known")
        .used = false;
    owner.machine_writes.request_use_write();

    let effect = owner.record_used_machines(secs(5.0), &fixture.cache);

    let Some(Effect::CompareAndSwap(Write::UseMachines(ids), compares, mutations)) = effect else {
        panic!("expected a write of used machines, got {effect:?}");
    };
    assert_eq!(ids, vec![MachineId::from("m-1")]);
    assert!(
        mutations.len() > 1 && mutations.len() <= 5,
        "expected 2 to 5 mutations, got {}",
        mutations.len()
    );
    // The write is conditional on the grant, on the shard's old revision, and on free numbers
    // for the new shards.
    assert_eq!(compares[1], Compare::new(key, Revision(7)));
    assert!(
        compares[2..]
            .iter()
            .all(|compare| compare.revision == Revision(0) && compare.key != taken)
    );
    let mut joined = BTreeMap::new();
    for mutation in mutations {
        let Mutation::Set { value, .. } = mutation else {
            panic!("expected only sets")
        };
        assert!(value.to_string().len() <= 2048);
        let part: ShardRecord = serde_json::from_value(value).expect("a valid shard record");
        joined.extend(part.0);
    }
    assert_eq!(joined.len(), 60, "each machine is in one of the shards");
    assert!(joined[&MachineId::from("m-1")].used);
}

/// Guards against an isolated owner that reports its own machines as silent, as if their zone
/// were down. From 12 s on, the owner gets no heartbeats at all.
#[test]
fn an_isolated_owner_counts_no_silent_machines_of_zones() {
    let mut fixture = Fixture::with_zone_in_state("suspect");
    for tenths in 10..120 {
        fixture.heartbeat(secs(f64::from(tenths) * 0.1));
    }
    let counts = fixture.owner.zone_counts(secs(12.0));
    assert_eq!((counts["x"].machines, counts["x"].silent), (2, 1));

    for tenths in 120..170 {
        let now = secs(f64::from(tenths) * 0.1);
        fixture.owner.tick(now, now, Resources::default());
    }

    assert!(fixture.owner.zone_counts(secs(17.0)).is_empty());
}

/// Guards against silent machines that are retained forever because their zone stays suspect.
#[test]
fn silent_machines_of_a_zone_that_stays_suspect_are_released_after_a_time() {
    let mut fixture = Fixture::with_zone_in_state("suspect");
    let mut released_at = None;
    for tenths in 10..240 {
        let now = secs(f64::from(tenths) * 0.1);
        fixture.heartbeat(now);
        if !fixture.owner.releasable_machines(now).is_empty() {
            released_at = released_at.or(Some(now));
        }
    }
    // The zone is suspect and m-2 silent from 1 s on, and m-2 is retained for 15 s.
    assert_eq!(released_at, Some(secs(16.0)));
}

/// Guards against a partition that stays without an acting owner after the store has rejected the
/// only hand-back request.
#[test]
fn a_hand_back_that_is_rejected_at_once_leaves_the_partition_to_its_owner() {
    let mut owner = Fixture::with_one_machine().owner;
    assert!(owner.hand_back(secs(10.0)).is_some());
    assert!(owner.is_being_handed_back());

    owner.handle_hand_back_reply(&Reply::Rejected);

    assert!(!owner.is_being_handed_back());
}

/// Guards against an owner that acts for a partition again while an unanswered hand-back request
/// may still be carried out.
#[test]
fn a_hand_back_without_an_answer_is_requested_until_it_is_settled() {
    let mut owner = Fixture::with_one_machine().owner;
    let first = owner.hand_back(secs(10.0));
    assert!(first.is_some());
    assert_eq!(
        owner.hand_back(secs(15.9)),
        None,
        "the first request has not timed out"
    );
    assert_eq!(
        owner.hand_back(secs(16.0)),
        first,
        "the first request has timed out"
    );

    owner.handle_hand_back_reply(&Reply::Rejected);
    assert!(
        owner.is_being_handed_back(),
        "the first request may still be carried out"
    );
    assert_eq!(
        owner.hand_back(secs(16.1)),
        first,
        "the hand-back is requested again"
    );

    owner.handle_hand_back_reply(&Reply::Committed(Revision(9)));
    assert!(
        owner.is_being_handed_back(),
        "the watch has not reported the change yet"
    );
    assert_eq!(owner.hand_back(secs(16.2)), None);
}
