use super::*;

#[test]
fn a_machine_that_moves_between_shards_is_found_where_it_is_now() {
    let rec = |ids: &[&str]| {
        let all = ids.iter().map(|id| (*id).into());
        let blank = |id: MachineId| (id, MachineRecord::blank(String::new(), "big", "x", false));
        serde_json::to_value(MachinesRecord(all.map(blank).collect())).expect("a record")
    };
    let mut m = Mirror::default();
    m.apply(
        "r/blocks/0/machines/0",
        Some(rec(&["m-1", "m-2"])),
        Revision(1),
    );
    // One transaction, told in the order that loses it if the old place wins.
    m.apply("r/blocks/1/machines/3", Some(rec(&["m-1"])), Revision(2));
    m.apply("r/blocks/0/machines/0", Some(rec(&["m-2"])), Revision(2));
    let at = |id: &str| m.machine(&id.into()).map(|(at, _)| at);
    assert_eq!(at("m-1"), Some((BlockId(1), 3)));
    assert_eq!(at("m-2"), Some((BlockId(0), 0)));
    assert_eq!(m.machines_of(BlockId(0)).count(), 1);
}
