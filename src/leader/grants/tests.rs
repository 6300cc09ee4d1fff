//! Tests of partition grants: which partitions are granted, to which member, and under which
//! compares.

use super::*;
use crate::ids::{LeaseId, Revision};
use crate::leader::leadership_compare;
use crate::partitions::{LeaderRecord, MemberRecord, TermRecord};
use crate::settings::tests::settings;
use crate::store::Versioned;

/// Records the owner of partition 0.
fn record_owner(cache: &mut WatchCache, record: PartitionOwnerRecord) {
    let revision = Revision(8);
    let versioned = Versioned { revision, record };
    cache.partition_owners.insert(PartitionId(0), versioned);
}

/// A cache in which `c0` leads and these members (label and incarnation) are registered.
fn cache(members: &[(&str, u64)]) -> WatchCache {
    let mut cache = WatchCache::default();
    cache.load(Vec::new());
    cache.leader = Some(Versioned {
        revision: Revision(5),
        record: LeaderRecord {
            leader: Label::from("c0"),
            incarnation: Revision(1),
        },
    });
    cache.term = Versioned {
        revision: Revision(4),
        record: TermRecord { last: Term(9) },
    };
    for (label, revision) in members {
        let member = MemberRecord {
            addr: String::new(),
            lease_id: LeaseId(*revision),
            format: FormatLevel::NEWEST,
        };
        cache.members.insert(
            Label::from(*label),
            Versioned {
                revision: Revision(*revision),
                record: member,
            },
        );
    }
    cache
}

fn try_grants(
    cache: &WatchCache,
    partition_count: u64,
    is_eligible: &dyn Fn(&Label) -> bool,
) -> Option<(Vec<Compare>, Vec<Mutation>)> {
    let leadership = leadership_compare(cache, &settings().label, Some(Revision(1)))?;
    grant_partitions(cache, leadership, &settings(), partition_count, is_eligible)
}

fn granted_owners(mutations: &[Mutation]) -> Vec<(String, PartitionOwnerRecord)> {
    mutations
        .iter()
        .filter_map(|mutation| match mutation {
            Mutation::Set { key, value, .. } if key.ends_with("holder") => Some((
                key.clone(),
                serde_json::from_value(value.clone()).expect("an owner's record"),
            )),
            _ => None,
        })
        .collect()
}

/// Guards against partitions that share a term or a team, and against grants that are committed
/// although the leader, the term record or the new owner has changed since the cache was read.
#[test]
fn every_partition_is_granted_to_a_living_member_under_its_own_new_term() {
    let cache = cache(&[("c0", 1), ("c1", 2)]);
    let (compares, mutations) = try_grants(&cache, 2, &|_| true).expect("grants");
    let granted = granted_owners(&mutations);
    assert_eq!(granted.len(), 2);
    assert_ne!(granted[0].1.owner, granted[1].1.owner);
    assert_eq!((granted[0].1.term, granted[1].1.term), (Term(10), Term(11)));
    assert!(compares.contains(&Compare::new("r/leader".into(), Revision(5))));
    assert!(compares.contains(&Compare::new("r/term".into(), Revision(4))));
    assert!(compares.contains(&Compare::new("r/members/c1".into(), Revision(2))));
    let teams: Vec<_> = granted
        .iter()
        .flat_map(|(_, owner)| owner.teams.clone())
        .collect();
    assert_eq!(
        teams,
        vec!["red", "blue"],
        "each team in exactly one partition"
    );
}

/// Guards against a partition that stays with the dead incarnation of a restarted controller, or
/// that loses its teams when it is granted to another member.
#[test]
fn a_dead_owners_partition_is_granted_whole_to_a_survivor_and_keeps_its_teams() {
    let mut cache = cache(&[("c0", 1), ("c1", 20)]);
    // c1 has restarted as incarnation 20, so the grant to its incarnation 2 is no longer valid.
    let expired = PartitionOwnerRecord {
        owner: "c1".into(),
        incarnation: Revision(2),
        term: Term(7),
        teams: vec!["red".into(), "blue".into()],
    };
    record_owner(&mut cache, expired);
    let (compares, mutations) =
        try_grants(&cache, 1, &|label| label.as_str() == "c0").expect("grants");
    let granted = granted_owners(&mutations);
    assert_eq!(
        (
            granted[0].1.owner.as_str(),
            granted[0].1.term,
            granted[0].1.teams.len()
        ),
        ("c0", Term(10), 2)
    );
    assert!(compares.contains(&Compare::new("r/blocks/0/holder".into(), Revision(8))));
}

/// Guards against two owners of one partition: a grant while the owner is alive, or a grant by a
/// member that does not lead.
#[test]
fn only_the_leader_grants_and_a_living_owner_keeps_its_partition() {
    let mut cache = cache(&[("c0", 1)]);
    let owned = PartitionOwnerRecord {
        owner: "c0".into(),
        incarnation: Revision(1),
        term: Term(7),
        teams: vec![],
    };
    record_owner(&mut cache, owned);
    assert_eq!(try_grants(&cache, 1, &|_| true), None);
    cache.leader = Some(Versioned {
        revision: Revision(6),
        record: LeaderRecord {
            leader: "c1".into(),
            incarnation: Revision(2),
        },
    });
    cache.partition_owners.clear();
    assert_eq!(try_grants(&cache, 1, &|_| true), None);
}

/// Guards against a partition that is granted again to the member that has just handed it back,
/// for example because that member cannot reach the partition's machines.
#[test]
fn a_member_that_handed_a_partition_back_is_not_granted_it_while_there_are_others() {
    let mut cache = cache(&[("c0", 1), ("c1", 2)]);
    let handed_back = PartitionOwnerRecord {
        owner: "c1".into(),
        incarnation: Revision(0),
        term: Term(7),
        teams: vec!["red".into(), "blue".into()],
    };
    record_owner(&mut cache, handed_back);
    // No member is eligible in either case.
    let (_, mutations) = try_grants(&cache, 1, &|_| false).expect("grants");
    assert_eq!(granted_owners(&mutations)[0].1.owner.as_str(), "c0");
    cache.members.remove(&"c0".into());
    let (_, mutations) = try_grants(&cache, 1, &|_| false).expect("grants");
    assert_eq!(
        granted_owners(&mutations)[0].1.owner.as_str(),
        "c1",
        "the only member is granted the partition"
    );
}

/// Guards against repeated changes of owner in a rolling upgrade: the partition of a replaced
/// controller was granted to the controller that was replaced next. Each time, all machines of
/// the partition had to send their heartbeats to a new owner.
#[test]
fn among_equals_a_partition_is_granted_to_the_member_with_the_newest_version() {
    let mut cache = cache(&[("c0", 1), ("c1", 2), ("c2", 3), ("c3", 4)]);
    for old in ["c1", "c3"] {
        let Versioned { record: member, .. } =
            cache.members.get_mut(&Label::from(old)).expect("a member");
        member.format = FormatLevel::default();
    }
    let owner = |is_eligible: &dyn Fn(&Label) -> bool| {
        let (_, mutations) = try_grants(&cache, 1, is_eligible).expect("a grant");
        granted_owners(&mutations)[0].1.owner.clone()
    };
    assert_eq!(owner(&|_| true), "c2".into());
    let is_old_version = |label: &Label| label.as_str() == "c1" || label.as_str() == "c3";
    assert_eq!(
        owner(&is_old_version),
        "c1".into(),
        "eligible members come first"
    );
}
