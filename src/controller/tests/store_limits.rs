//! Limits of the store that are lowered at an announced time.
//!
//! Controllers must keep to the announced limits from their start. Records that an earlier version
//! wrote under the higher limits must remain usable.

use super::simulation::Simulation;
use crate::clock::Micros;
use crate::ids::{JobId, MachineId, PartitionId, Term};
use crate::jobs::JobState;
use crate::jobs::tests::job_desc;
use crate::partitions::{MachineRecord, ReleaseReason, ShardRecord};
use crate::store::{Mutation, keys};
use serde_json::{Value, json};

/// Announced maximum size of a value, in bytes.
const VALUE_BYTES: usize = 2 * 1024;

/// Announced maximum number of mutations of a transaction.
const TRANSACTION_MUTATIONS: usize = 5;

/// Builds a simulation whose settings announce the lower limits.
fn with_announced_limits(controllers: usize, machines: usize) -> Simulation {
    Simulation::builder(controllers, machines)
        .settings(|settings| {
            settings["settings"]["state"]["next"] =
                json!({"value_kb": 2.0, "txn_ops": TRANSACTION_MUTATIONS, "write_rps": 21.0});
        })
        .team_limits(10_000.0)
        .build()
}

/// Lowers the store's limits to the announced limits.
fn lower_limits(simulation: &mut Simulation) {
    simulation.store.limits.value_bytes = VALUE_BYTES;
    simulation.store.limits.transaction_mutations = TRANSACTION_MUTATIONS;
}

/// Size of a stored shard of machine records.
struct StoredShard {
    bytes: usize,
    machines: usize,
}

/// Returns the sizes of all stored shards.
fn shards(simulation: &Simulation) -> Vec<StoredShard> {
    simulation
        .store
        .machine_shards()
        .map(|(_, value)| StoredShard {
            bytes: value.to_string().len(),
            machines: value.as_object().map_or(0, |shard| shard.len()),
        })
        .collect()
}

/// Returns the number of machines in all stored shards.
fn recorded_machine_count(simulation: &Simulation) -> usize {
    shards(simulation).iter().map(|shard| shard.machines).sum()
}

/// Returns the write of a single shard as the version in production makes it under the higher
/// limit.
fn old_shard(machines: usize, used: bool) -> Mutation {
    let mut shard = ShardRecord::default();
    for number in 0..machines {
        let id = MachineId::from(format!("m-{number:06}"));
        let mut record = MachineRecord::blank(format!("{id}:1"), "big", "x", false);
        record.used = used;
        shard.0.insert(id, record);
    }
    Mutation::put(keys::shard(PartitionId(0), 0), &shard)
}

/// The lower limits may come into force at any time after the announcement, so each write of a
/// controller must keep to them from the start. The simulated store panics at a larger write.
#[test]
fn announced_limits_hold_for_every_write_from_the_start() {
    let mut simulation = with_announced_limits(3, 150);
    lower_limits(&mut simulation);
    simulation.advance(30.0);
    assert_eq!(recorded_machine_count(&simulation), 150);
    simulation.submit(&job_desc("j-1", 600));
    simulation.advance(15.0);
    assert_eq!(simulation.running_count(), 600);
    // Every second task ends, which gives the largest progress page.
    for index in (0..600).step_by(2) {
        simulation.finish(&format!("j-1/{index}"));
    }
    simulation.advance(20.0);
    simulation.crash_owner();
    simulation.advance(60.0);
    assert_eq!(
        simulation.running_count(),
        300,
        "tasks that were done do not run again"
    );
    simulation.finish_all();
    simulation.advance(20.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
}

/// A shard of 60 machines has about 4 KB, too much for a write under the lower limits. All of its
/// machines are in use already, so their owner has no reason to write the shard. The leader must
/// split it before the limits are lowered.
#[test]
fn oversize_shard_is_split_before_the_limits_fall() {
    let mut simulation = with_announced_limits(2, 60);
    simulation.store.commit(vec![old_shard(60, true)]);
    assert!(shards(&simulation)[0].bytes > VALUE_BYTES);
    simulation.advance(15.0);
    assert!(
        shards(&simulation)
            .iter()
            .all(|shard| shard.bytes <= VALUE_BYTES)
    );
    assert_eq!(
        recorded_machine_count(&simulation),
        60,
        "each machine is recorded once"
    );
    lower_limits(&mut simulation);
    simulation.submit(&job_desc("j-1", 400));
    simulation.advance(10.0);
    assert_eq!(simulation.running_count(), 400);
}

/// A shard may still be too large when the limits are lowered. Its next write must split it instead
/// of failing, and the machines must remain usable and releasable.
#[test]
fn oversize_shard_is_split_at_its_first_write_after_the_limits_fell() {
    let mut simulation = with_announced_limits(2, 60);
    simulation.store.commit(vec![old_shard(60, false)]);
    lower_limits(&mut simulation);
    simulation.advance(15.0);
    assert!(
        shards(&simulation)
            .iter()
            .all(|shard| shard.bytes <= VALUE_BYTES)
    );
    assert_eq!(
        recorded_machine_count(&simulation),
        60,
        "each machine is recorded once"
    );
    // Released machines must be removed from the new shards.
    simulation.idle_release_after = Micros::from_millis(1_000);
    (0..2).for_each(|controller| simulation.restart_controller(controller));
    simulation.advance(150.0);
    assert!(
        recorded_machine_count(&simulation) < 60,
        "{}",
        recorded_machine_count(&simulation)
    );
}

/// Under the lower limits, the ranges of ended tasks on a progress page do not fit into one value.
/// The page must still cover the same number of tasks, because the version in production reads and
/// writes it, too. It is stored in several parts.
#[test]
fn oversize_progress_page_is_kept_in_parts() {
    let mut simulation = with_announced_limits(2, 60);
    simulation.advance(15.0);
    simulation.submit(&job_desc("j-1", 800));
    let done: Vec<(u32, u32)> = (0..400).map(|index| (2 * index, 2 * index + 1)).collect();
    let page = json!({"owner": "c0", "done": done, "running": 0});
    let id = JobId::from("j-1");
    simulation
        .store
        .commit(vec![Mutation::put(keys::progress_page(&id, 0), &page)]);
    lower_limits(&mut simulation);
    // The next owner reads the page from the store.
    let owner = simulation.crash_owner();
    simulation.advance(60.0);
    assert_eq!(simulation.running_count(), 400);
    for index in 0..10 {
        simulation.finish(&format!("j-1/{}", 2 * index + 1));
    }
    simulation.advance(10.0);
    let parts: Vec<&Value> = simulation
        .store
        .keys
        .iter()
        .filter(|(key, _)| key.starts_with("r/done/j-1/"))
        .map(|(_, stored)| &stored.value)
        .collect();
    assert!(parts.len() > 1);
    assert!(
        parts
            .iter()
            .all(|part| part.to_string().len() <= VALUE_BYTES)
    );
    simulation.start_controller(owner);
    simulation.crash_owner();
    simulation.advance(60.0);
    assert_eq!(
        simulation.running_count(),
        390,
        "tasks that were done do not run again"
    );
    simulation.finish_all();
    simulation.advance(20.0);
    assert_eq!(simulation.ended_state("j-1"), Some(JobState::Done));
    let remaining = simulation
        .store
        .keys
        .keys()
        .filter(|key| key.starts_with("r/done/"));
    assert_eq!(remaining.count(), 0, "all progress pages are deleted");
}

#[test]
fn shard_splits_into_parts_that_fit() {
    let Mutation::Set { value, .. } = old_shard(70, false) else {
        panic!("the mutation sets a shard");
    };
    let shard: ShardRecord = serde_json::from_value(value).expect("a shard");
    assert!(shard.is_oversize(VALUE_BYTES));
    let parts = shard.clone().split(VALUE_BYTES);
    assert!(
        parts.len() <= TRANSACTION_MUTATIONS,
        "{} parts",
        parts.len()
    );
    let mut joined = ShardRecord::default();
    for mut part in parts {
        assert!(!part.is_oversize(VALUE_BYTES));
        // Each record grows to its largest size: in use, released, and with a high term.
        for machine in part.0.values_mut() {
            machine.term = Term(9_999_999);
            (machine.used, machine.release_reason) = (true, Some(ReleaseReason::Return));
            machine.addr = "10.100.100.100:9000".into();
        }
        let bytes = serde_json::to_string(&part).expect("a shard").len();
        assert!(bytes <= VALUE_BYTES, "a part has {bytes} bytes");
        joined.0.extend(part.0);
    }
    assert!(joined.0.keys().eq(shard.0.keys()));
}
