use super::*;

#[test]
fn a_machine_that_moves_between_shards_is_found_where_it_is_now() {
    let rec = |ids: &[&str]| {
        let all = ids.iter().map(|id| (*id).into());
        let blank = |id: MachineId| (id, MachineRecord::blank(String::new(), "big", "x", false));
        serde_json::to_value(ShardRecord(all.map(blank).collect())).expect("a record")
    };
    let mut m = WatchCache::default();
    m.apply(
        "r/blocks/0/machines/0",
        Some(rec(&["m-1", "m-2"])),
        Revision(1),
    );
    // One transaction, told in the order that loses it if the old place wins.
    m.apply("r/blocks/1/machines/3", Some(rec(&["m-1"])), Revision(2));
    m.apply("r/blocks/0/machines/0", Some(rec(&["m-2"])), Revision(2));
    let at = |id: &str| m.machine(&id.into()).map(|(at, _)| at);
    assert_eq!(at("m-1"), Some((PartitionId(1), 3)));
    assert_eq!(at("m-2"), Some((PartitionId(0), 0)));
    assert_eq!(m.machines_of(PartitionId(0)).count(), 1);
}

#[test]
fn what_cant_be_read_is_counted_and_dropped_and_its_job_is_not_unknown() {
    let job = JobId::from("j-1");
    let rec = crate::jobs::tests::rec("j-1", 4, crate::ids::Term(1));
    let good = serde_json::to_value(rec).expect("a record");
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
    let mut m = WatchCache::default();
    for (n, key) in (1..).zip(keys) {
        m.apply(key, Some(broken.clone()), Revision(n));
        assert_eq!(m.unreadable, n, "{key}");
    }
    assert!(m.jobs.is_empty() && m.progress_pages.is_empty() && m.machine_shards.is_empty());
    assert!(m.unreadable_jobs.contains(&job));
    // Gone is not unreadable.
    m.apply("r/jobs/j-1", None, Revision(20));
    assert!(m.unreadable_jobs.is_empty());
    m.apply("r/jobs/j-1", Some(good), Revision(21));
    assert!(m.jobs.contains_key(&job) && m.unreadable_jobs.is_empty());
    assert_eq!(m.unreadable, 10);
}
