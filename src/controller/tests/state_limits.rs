//! Limits of the state service that fall without notice: nothing larger is written from
//! the start, and what an earlier version left under the higher ones stays usable.

use super::world::World;
use super::*;
use crate::ids::{JobId, PartitionId, Term};
use crate::partitions::{MachineRecord, ShardRecord};
use crate::store::{self, Mutation};
use serde_json::{Value, json};

const VALUE_BYTES: usize = 2 * 1024;
const TXN_OPS: usize = 5;

fn announce(v: &mut Value) {
    v["settings"]["state"]["next"] =
        json!({"value_kb": 2.0, "txn_ops": TXN_OPS, "write_rps": 21.0});
    for team in v["settings"]["teams"].as_array_mut().expect("teams") {
        team["cpus_max"] = 10_000.0.into();
    }
}

fn fall(w: &mut World) {
    w.store.limits.value_bytes = VALUE_BYTES;
    w.store.limits.txn_ops = TXN_OPS;
}

fn shards(w: &World) -> Vec<(usize, usize)> {
    let shards = w
        .store
        .keys
        .iter()
        .filter(|(k, _)| k.contains("/machines/"));
    shards
        .map(|(_, (_, value, _))| {
            let machines = value.as_object().map_or(0, |m| m.len());
            (value.to_string().len(), machines)
        })
        .collect()
}

fn recorded(w: &World) -> usize {
    shards(w).iter().map(|(_, machines)| machines).sum()
}

/// A shard as the version in production fills it under the higher limit.
fn old_shard(machines: usize, used: bool) -> Mutation {
    let mut shard = ShardRecord::default();
    for n in 0..machines {
        let id = MachineId::from(format!("m-{n:06}"));
        let mut rec = MachineRecord::blank(format!("{id}:1"), "big", "x", false);
        rec.used = used;
        shard.0.insert(id, rec);
    }
    store::put(keys::shard(PartitionId(0), 0), &shard)
}

#[test]
fn nothing_larger_than_the_coming_limits_is_written_from_the_start() {
    let mut w = World::with(3, 150, announce);
    fall(&mut w);
    w.pass(30.0);
    assert_eq!(recorded(&w), 150);
    w.submit(&desc("j-1", 600));
    w.pass(15.0);
    assert_eq!(w.all_running(), 600);
    // Every other one: a page of progress of the worst kind.
    for i in (0..600).step_by(2) {
        w.finish(&format!("j-1/{i}"));
    }
    w.pass(20.0);
    let owner = w.owner();
    w.crash(owner);
    w.pass(60.0);
    assert_eq!(w.all_running(), 300, "what was done does not run again");
    w.finish_all();
    w.pass(20.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
}

/// With 60 machines in one shard of some 4 KB, of which nothing could be changed any more.
/// All are in use already, so their owner has nothing to write there: the leader does it.
#[test]
fn a_shard_from_before_is_split_in_time() {
    let mut w = World::with(2, 60, announce);
    w.store.commit(vec![old_shard(60, true)]);
    assert!(shards(&w)[0].0 > VALUE_BYTES);
    w.pass(15.0);
    assert!(shards(&w).iter().all(|(bytes, _)| *bytes <= VALUE_BYTES));
    assert_eq!(recorded(&w), 60, "each once");
    fall(&mut w);
    w.submit(&desc("j-1", 400));
    w.pass(10.0);
    assert_eq!(w.all_running(), 400);
}

#[test]
fn a_shard_from_before_is_split_when_first_touched_after_the_limits_fell() {
    let mut w = World::with(2, 60, announce);
    w.store.commit(vec![old_shard(60, false)]);
    fall(&mut w);
    w.pass(15.0);
    assert!(shards(&w).iter().all(|(bytes, _)| *bytes <= VALUE_BYTES));
    assert_eq!(recorded(&w), 60, "each once");
    // Machines that go leave their shards, too.
    w.idle_return = crate::clock::Micros::from_millis(1_000);
    for i in 0..2 {
        w.crash(i);
        w.start(i);
    }
    w.pass(150.0);
    assert!(recorded(&w) < 60, "{}", recorded(&w));
}

/// The page covers more tasks than one value holds ranges for, and must not be cut anew:
/// the version in production reads and writes it, too.
#[test]
fn a_page_of_progress_from_before_is_kept_in_parts() {
    let mut w = World::with(2, 60, announce);
    w.pass(15.0);
    w.submit(&desc("j-1", 800));
    let done: Vec<(u32, u32)> = (0..400).map(|i| (2 * i, 2 * i + 1)).collect();
    let page = json!({"owner": "c0", "done": done, "running": 0});
    let id = JobId::from("j-1");
    w.store
        .commit(vec![store::put(keys::progress_page(&id, 0), &page)]);
    fall(&mut w);
    // The next owner learns it from the record.
    let owner = w.owner();
    w.crash(owner);
    w.pass(60.0);
    assert_eq!(w.all_running(), 400);
    for i in 0..10 {
        w.finish(&format!("j-1/{}", 2 * i + 1));
    }
    w.pass(10.0);
    let parts: Vec<&Value> = w
        .store
        .keys
        .iter()
        .filter(|(k, _)| k.starts_with("r/done/j-1/"))
        .map(|(_, v)| &v.1)
        .collect();
    assert!(parts.len() > 1);
    assert!(parts.iter().all(|v| v.to_string().len() <= VALUE_BYTES));
    w.start(owner);
    let owner = w.owner();
    w.crash(owner);
    w.pass(60.0);
    assert_eq!(w.all_running(), 390, "none of those that were done");
    w.finish_all();
    w.pass(20.0);
    assert_eq!(w.ended("j-1"), Some(JobState::Done));
    let left = w.store.keys.keys().filter(|k| k.starts_with("r/done/"));
    assert_eq!(left.count(), 0, "nothing is left of it");
}

#[test]
fn a_shard_splits_into_parts_of_which_each_fits() {
    let Mutation::Set { value, .. } = old_shard(70, false) else {
        panic!("a shard");
    };
    let shard: ShardRecord = serde_json::from_value(value).expect("a shard");
    assert!(shard.is_oversize(VALUE_BYTES));
    let parts = shard.clone().split(VALUE_BYTES);
    assert!(parts.len() <= TXN_OPS, "{} parts", parts.len());
    let mut joined = ShardRecord::default();
    for mut part in parts {
        assert!(!part.is_oversize(VALUE_BYTES));
        // As large as they can get: in use, given up, and under a late term.
        for m in part.0.values_mut() {
            m.term = Term(9_999_999);
            (m.used, m.release_reason) = (true, Some(crate::partitions::ReleaseReason::Return));
            m.addr = "10.100.100.100:9000".into();
        }
        let bytes = serde_json::to_string(&part).expect("a shard").len();
        assert!(bytes <= VALUE_BYTES, "{bytes}");
        joined.0.extend(part.0);
    }
    assert!(joined.0.keys().eq(shard.0.keys()));
}
