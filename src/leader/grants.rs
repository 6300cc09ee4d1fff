//! Grants of partitions: a partition without a living owner is granted as a whole to one member,
//! under a new fencing term.
//!
//! This module decides which member is granted which partition. It must never grant a partition
//! whose owner is alive, nor grant one to a member that is not alive. For the latter, each grant
//! compares the member's key.

use super::terms::allocate_terms;
use crate::ids::{Label, PartitionId, Term};
use crate::partitions::{FormatLevel, PartitionOwnerRecord};
use crate::settings::Settings;
use crate::store::{Compare, Mutation, Versioned, keys};
use crate::watch_cache::WatchCache;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Maximum number of partitions granted in one transaction. Further partitions are granted in
/// later transactions.
const MAX_GRANTS_PER_TRANSACTION: usize = 8;
/// Number of mutations per transaction that are not available for grants. One of them records
/// the allocated terms.
const RESERVED_MUTATIONS: usize = 2;

/// Returns the partition to which a team belongs. `team` is the team's index in the settings.
/// The owner records decide; if no record lists the team, its index modulo `partition_count`
/// does.
pub fn partition_of(
    cache: &WatchCache,
    settings: &Settings,
    partition_count: u64,
    team: usize,
) -> PartitionId {
    let name = &settings.platform.teams[team].name;
    let recorded = cache
        .partition_owners
        .iter()
        .find(|(_, Versioned { record: owner, .. })| owner.teams.contains(name));
    recorded.map_or(
        PartitionId(team as u64 % partition_count),
        |(partition, _)| *partition,
    )
}

/// Rank of a member as the next owner of a partition. The fields are compared in their order,
/// and the member with the smallest rank is granted the partition.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OwnerRank<'a> {
    /// Eligible members come first: those that are connected to their peers and machines.
    is_ineligible: bool,
    /// Members that did not hand the partition back come first. The member that did had a
    /// reason, which the leader may not know.
    handed_partition_back: bool,
    /// Members that own fewer partitions come first.
    owned_partitions: usize,
    /// Members with the newest format level come first. Guards against a partition that changes
    /// its owner with each controller that is replaced in a rolling upgrade: members of the
    /// newest version are not replaced again.
    format: Reverse<Option<FormatLevel>>,
    /// Members other than the leader come first, because leadership is additional work.
    is_leader: bool,
    /// The order of labels decides between equals, which makes the choice deterministic.
    label: &'a Label,
}

/// The partitions without a living owner, and the number of partitions that each member owns.
struct Ownership<'a> {
    unowned: Vec<PartitionId>,
    owned_by_member: BTreeMap<&'a Label, usize>,
}

impl<'a> Ownership<'a> {
    fn read(cache: &'a WatchCache, partition_count: u64) -> Self {
        let configured = (0..partition_count).map(PartitionId);
        let recorded = cache.partition_owners.keys().copied();
        let unconfigured = recorded.filter(|partition| partition.0 >= partition_count);
        let mut owned_by_member: BTreeMap<&Label, usize> =
            cache.members.keys().map(|label| (label, 0)).collect();
        let mut unowned = Vec::new();
        for partition in configured.chain(unconfigured) {
            match cache.partition_owners.get(&partition) {
                Some(Versioned { record, .. }) if cache.is_owner_alive(record) => {
                    if let Some(owned) = owned_by_member.get_mut(&record.owner) {
                        *owned += 1;
                    }
                }
                _ => unowned.push(partition),
            }
        }
        Ownership {
            unowned,
            owned_by_member,
        }
    }
}

/// Returns the compares and the mutations of one compare-and-swap that grants the partitions
/// without a living owner, or `None` if there is no such partition or no member. `leadership` is
/// the leader's [`leadership_compare`](super::leadership_compare). `is_eligible` returns whether
/// a member is connected to its peers and machines; other members are granted a partition only
/// if no member is eligible.
pub fn grant_partitions(
    cache: &WatchCache,
    leadership: Compare,
    settings: &Settings,
    partition_count: u64,
    is_eligible: &dyn Fn(&Label) -> bool,
) -> Option<(Vec<Compare>, Vec<Mutation>)> {
    let Ownership {
        mut unowned,
        mut owned_by_member,
    } = Ownership::read(cache, partition_count);
    let max_mutations = settings.platform.state.lowest_txn_ops();
    unowned.truncate((max_mutations - RESERVED_MUTATIONS).min(MAX_GRANTS_PER_TRANSACTION));
    if unowned.is_empty() || owned_by_member.is_empty() {
        return None;
    }
    let terms = allocate_terms(cache, unowned.len() as u64);
    let mut compares = vec![leadership, terms.compare];
    let mut mutations = vec![terms.mutation];
    for (term, partition) in (terms.first.0..).map(Term).zip(unowned) {
        let (label, owned) = owned_by_member
            .iter_mut()
            .min_by_key(|(label, owned)| OwnerRank {
                is_ineligible: !is_eligible(label),
                handed_partition_back: cache.handed_back_by(partition) == Some(**label),
                owned_partitions: **owned,
                format: Reverse(
                    cache
                        .members
                        .get(**label)
                        .map(|Versioned { record: member, .. }| member.format),
                ),
                is_leader: **label == &settings.label,
                label,
            })?;
        *owned += 1;
        let incarnation = cache.members.get(*label)?.revision;
        let owner = PartitionOwnerRecord {
            owner: (*label).clone(),
            incarnation,
            term,
            teams: teams_of(cache, settings, partition_count, partition),
        };
        // The grant has to fail if the member has expired since the cache was read. Otherwise
        // the partition would be granted to a dead member.
        let member = Compare::new(keys::member(label), incarnation);
        if !compares.contains(&member) {
            compares.push(member);
        }
        let key = keys::partition_owner(partition);
        compares.push(Compare::new(key.clone(), cache.owner_revision(partition)));
        mutations.push(Mutation::put(key, &owner));
    }
    Some((compares, mutations))
}

/// Returns the names of the teams whose jobs belong to a partition, in the order of the settings.
fn teams_of(
    cache: &WatchCache,
    settings: &Settings,
    partition_count: u64,
    partition: PartitionId,
) -> Vec<String> {
    let teams = settings.platform.teams.iter().enumerate();
    teams
        .filter(|(team, _)| partition_of(cache, settings, partition_count, *team) == partition)
        .map(|(_, team)| team.name.clone())
        .collect()
}

#[cfg(test)]
mod tests;
