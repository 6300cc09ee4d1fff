//! Guards against changes to the form of stored keys: records written under an old key would no
//! longer be found.

use super::*;

#[test]
fn keys_keep_their_stored_form_and_parse_back() {
    let (label, id) = (Label::from("c-1"), JobId::from("j-000412"));
    let (partition, number, page) = (PartitionId(3), 17, 2);
    let cases = [
        (TERM.into(), "r/term", Key::Term),
        (LEADER.into(), "r/leader", Key::Leader),
        (TYPES.into(), "r/types", Key::MachineTypes),
        (FORMAT.into(), "r/format", Key::Format),
        (ZONES.into(), "r/zones", Key::Zones),
        (member(&label), "r/members/c-1", Key::Member(label.clone())),
        (
            team_usage(&label),
            "r/sums/c-1",
            Key::TeamUsage(label.clone()),
        ),
        (
            scale_out("c-1-7"),
            "r/hires/c-1-7",
            Key::ScaleOut("c-1-7".into()),
        ),
        (
            partition_owner(partition),
            "r/blocks/3/holder",
            Key::PartitionOwner(partition),
        ),
        (
            shard(partition, number),
            "r/blocks/3/machines/17",
            Key::Shard { partition, number },
        ),
        (job(&id), "r/jobs/j-000412", Key::Job(id.clone())),
        (
            progress_page(&id, page),
            "r/done/j-000412/0002",
            Key::ProgressPage {
                job: id.clone(),
                page,
            },
        ),
    ];
    for (key, stored_form, parsed) in cases {
        assert_eq!(key, stored_form);
        assert_eq!(Key::parse(&key), Some(parsed), "{key}");
    }
    assert_eq!(ended(&id), "ended/j-000412");
}

#[test]
fn malformed_keys_and_keys_of_unknown_kinds_are_not_parsed() {
    let unknown = [
        "",
        "r",
        "r/",
        "ended/j-000412",
        "r/term/1",
        "r/members",
        "r/members/c-1/x",
        "r/blocks/x/holder",
        "r/blocks/3/machines",
        "r/blocks/3/machines/x",
        "r/done/j-000412",
        "r/done/j-000412/x",
        "x/term",
    ];
    for key in unknown {
        assert_eq!(Key::parse(key), None, "{key}");
    }
}
