//! Tests of the watch cache: locations of machines, and records that cannot be parsed.

use super::*;
use crate::partitions::MachineRecord;

/// The stored value of a shard that contains these machines.
fn shard_of(machines: &[&str]) -> Value {
    let blank = |id: &&str| {
        let record = MachineRecord::blank(String::new(), "big", "x", false);
        (MachineId::from(*id), record)
    };
    serde_json::to_value(ShardRecord(machines.iter().map(blank).collect())).expect("a record")
}

/// Guards against a machine that is lost from the cache when it moves: the change of the old shard
/// may be applied after that of the new one.
#[test]
fn a_machine_that_moves_between_shards_is_found_at_its_new_location() {
    let mut cache = WatchCache::default();
    cache.apply(
        "r/blocks/0/machines/0",
        Some(shard_of(&["m-1", "m-2"])),
        Revision(1),
    );
    // Both changes belong to one transaction. In this order, removing all machines of the old
    // shard would lose the new location.
    cache.apply(
        "r/blocks/1/machines/3",
        Some(shard_of(&["m-1"])),
        Revision(2),
    );
    cache.apply(
        "r/blocks/0/machines/0",
        Some(shard_of(&["m-2"])),
        Revision(2),
    );
    let location = |id: &str| cache.machine(&id.into()).map(|(shard, _)| shard);
    assert_eq!(location("m-1"), Some((PartitionId(1), 3)));
    assert_eq!(location("m-2"), Some((PartitionId(0), 0)));
    assert_eq!(
        cache
            .all_machines()
            .filter(|(partition, ..)| *partition == PartitionId(0))
            .count(),
        1
    );
}

/// Guards against a controller that uses a record that it cannot parse, or that reports the job of
/// such a record as unknown to its user. Another version of the controller may have written it.
#[test]
fn unreadable_records_are_counted_and_dropped_and_their_job_is_not_unknown() {
    let job = JobId::from("j-1");
    let record = crate::jobs::tests::job_record("j-1", 4, crate::ids::Term(1));
    let readable = serde_json::to_value(record).expect("a record");
    let broken = serde_json::json!({"desc": 7});
    let keys = [
        "r/term",
        "r/leader",
        "r/types",
        "r/format",
        "r/members/c0",
        "r/hires/r-1",
        "r/blocks/0/holder",
        "r/blocks/0/machines/0",
        "r/jobs/j-1",
        "r/done/j-1/0000",
    ];
    let mut cache = WatchCache::default();
    for (count, key) in (1..).zip(keys) {
        cache.apply(key, Some(broken.clone()), Revision(count));
        assert_eq!(cache.unreadable_records(), count, "{key}");
    }
    assert!(cache.jobs.is_empty());
    assert!(cache.progress_pages.is_empty() && cache.machine_shards.is_empty());
    assert!(cache.is_job_unreadable(&job));
    // A deleted job is not unreadable.
    cache.apply("r/jobs/j-1", None, Revision(20));
    assert!(cache.unreadable_jobs.is_empty());
    cache.apply("r/jobs/j-1", Some(readable), Revision(21));
    assert!(cache.jobs.contains_key(&job) && cache.unreadable_jobs.is_empty());
    assert_eq!(cache.unreadable_records(), 10);
}
