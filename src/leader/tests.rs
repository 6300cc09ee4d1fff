use super::*;
use crate::ids::LeaseId;
use crate::partitions::{FormatLevel, LeaderRecord, MemberRecord};
use crate::settings::tests::settings;

fn cache(members: &[(&str, u64)]) -> WatchCache {
    let mut m = WatchCache {
        loaded: true,
        ..WatchCache::default()
    };
    m.leader = Some((
        Revision(5),
        LeaderRecord {
            leader: Label::from("c0"),
            incarnation: Revision(1),
        },
    ));
    m.term = (Revision(4), TermRecord { last: Term(9) });
    for (label, revision) in members {
        let rec = MemberRecord {
            addr: String::new(),
            lease_id: LeaseId(*revision),
            format: FormatLevel::NEWEST,
        };
        m.members
            .insert(Label::from(*label), (Revision(*revision), rec));
    }
    m
}

fn try_grants(
    m: &WatchCache,
    partitions: u64,
    fit: &dyn Fn(&Label) -> bool,
) -> Option<(Vec<Compare>, Vec<Mutation>)> {
    let leader = as_leader(m, &settings().label, Some(Revision(1)))?;
    grants(m, leader, &settings(), partitions, fit)
}

fn granted(mutations: &[Mutation]) -> Vec<(String, PartitionOwnerRecord)> {
    mutations
        .iter()
        .filter_map(|op| match op {
            Mutation::Set { key, value, .. } if key.ends_with("holder") => Some((
                key.clone(),
                serde_json::from_value(value.clone()).expect("a holder"),
            )),
            _ => None,
        })
        .collect()
}

#[test]
fn every_partition_goes_to_a_living_member_under_its_own_new_term() {
    let m = cache(&[("c0", 1), ("c1", 2)]);
    let (compares, mutations) = try_grants(&m, 2, &|_| true).expect("grants");
    let g = granted(&mutations);
    assert_eq!(g.len(), 2);
    assert_ne!(g[0].1.owner, g[1].1.owner);
    assert_eq!((g[0].1.term, g[1].1.term), (Term(10), Term(11)));
    assert!(compares.contains(&compare("r/leader".into(), Revision(5))));
    assert!(compares.contains(&compare("r/term".into(), Revision(4))));
    assert!(compares.contains(&compare("r/members/c1".into(), Revision(2))));
    let teams: Vec<_> = g.iter().flat_map(|(_, r)| r.teams.clone()).collect();
    assert_eq!(teams, vec!["red", "blue"], "each team in exactly one block");
}

#[test]
fn a_dead_owners_partition_goes_whole_to_a_survivor_and_keeps_its_teams() {
    let mut m = cache(&[("c0", 1), ("c1", 20)]);
    // c1 came back as a new incarnation: its old grant is void.
    let old = PartitionOwnerRecord {
        owner: "c1".into(),
        incarnation: Revision(2),
        term: Term(7),
        teams: vec!["red".into(), "blue".into()],
    };
    m.partition_owners
        .insert(PartitionId(0), (Revision(8), old));
    let (compares, mutations) = try_grants(&m, 1, &|l| l.as_str() == "c0").expect("grants");
    let g = granted(&mutations);
    assert_eq!(
        (g[0].1.owner.as_str(), g[0].1.term, g[0].1.teams.len()),
        ("c0", Term(10), 2)
    );
    assert!(compares.contains(&compare("r/blocks/0/holder".into(), Revision(8))));
}

#[test]
fn only_the_leader_grants_and_a_living_owner_keeps_its_partition() {
    let mut m = cache(&[("c0", 1)]);
    let held = PartitionOwnerRecord {
        owner: "c0".into(),
        incarnation: Revision(1),
        term: Term(7),
        teams: vec![],
    };
    m.partition_owners
        .insert(PartitionId(0), (Revision(8), held));
    assert_eq!(try_grants(&m, 1, &|_| true), None);
    m.leader = Some((
        Revision(6),
        LeaderRecord {
            leader: "c1".into(),
            incarnation: Revision(2),
        },
    ));
    m.partition_owners.clear();
    assert_eq!(try_grants(&m, 1, &|_| true), None);
}
#[test]
fn who_handed_a_partition_back_does_not_get_it_again_while_others_are_in() {
    let mut m = cache(&[("c0", 1), ("c1", 2)]);
    let back = PartitionOwnerRecord {
        owner: "c1".into(),
        incarnation: Revision(0),
        term: Term(7),
        teams: vec!["red".into(), "blue".into()],
    };
    m.partition_owners
        .insert(PartitionId(0), (Revision(8), back));
    // Nobody is heard by the leader just now.
    let (_, mutations) = try_grants(&m, 1, &|_| false).expect("grants");
    assert_eq!(granted(&mutations)[0].1.owner.as_str(), "c0");
    m.members.remove(&"c0".into());
    let (_, mutations) = try_grants(&m, 1, &|_| false).expect("grants");
    assert_eq!(
        granted(&mutations)[0].1.owner.as_str(),
        "c1",
        "better than nobody"
    );
}

/// Seen in a roll: the partition of the controller that was replaced went to one whose turn
/// came next, and each time all of its machines had to report anew.
#[test]
fn among_equals_a_partition_goes_to_the_member_with_the_newest_version() {
    let mut m = cache(&[("c0", 1), ("c1", 2), ("c2", 3), ("c3", 4)]);
    for old in ["c1", "c3"] {
        let (_, member) = m.members.get_mut(&Label::from(old)).expect("a member");
        member.format = FormatLevel::default();
    }
    let owner = |fit: &dyn Fn(&Label) -> bool| {
        let (_, mutations) = try_grants(&m, 1, fit).expect("a grant");
        granted(&mutations)[0].1.owner.clone()
    };
    assert_eq!(owner(&|_| true), "c2".into());
    let only_old = |l: &Label| l.as_str() == "c1" || l.as_str() == "c3";
    assert_eq!(owner(&only_old), "c1".into(), "who is heard comes first");
}
