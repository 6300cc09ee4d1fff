//! Grants of partitions: one without a living owner goes whole to one member, under a new
//! fencing term.
//!
//! Owns which member is granted which partition. It must never grant a partition whose owner
//! is alive, nor one to a member that is not: the grant compares the member's key.

use super::terms::allocate_terms;
use crate::ids::{Label, PartitionId, Term};
use crate::partitions::{FormatLevel, PartitionOwnerRecord};
use crate::settings::Settings;
use crate::store::{Compare, Mutation, Versioned, keys};
use crate::watch_cache::WatchCache;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// At most so many partitions are granted in one transaction; the rest follow in the next.
const MAX_GRANTS: usize = 8;
/// Of a transaction's operations, those that are not for grants.
const RESERVED_OPERATIONS: usize = 2;

/// The partition to which a team belongs: by the owners' records or, before there are any,
/// by the team's index in the settings.
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

/// How well a member suits as the next owner of a partition: the smallest is granted it.
/// The fields are compared in their order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OwnerPreference<'a> {
    /// Eligible members come first: those that are connected to their peers and machines.
    is_ineligible: bool,
    /// A member that handed the partition back did so for a reason, known to the leader or not.
    handed_it_back: bool,
    /// Members that own fewer partitions come first.
    owned_partitions: usize,
    /// The newest version comes first. Guards against a partition that changes its owner
    /// with each controller that is replaced in a rolling upgrade: members of the newest
    /// version are not replaced again.
    format: Reverse<Option<FormatLevel>>,
    /// Leading is work too, so among equals another member than the leader.
    is_leader: bool,
    /// The order of labels decides between equals, so that the choice is deterministic.
    label: &'a Label,
}

/// The partitions without a living owner, and how many partitions each member owns.
struct Ownership<'a> {
    unowned: Vec<PartitionId>,
    owned_by_member: BTreeMap<&'a Label, usize>,
}

impl<'a> Ownership<'a> {
    fn read(cache: &'a WatchCache, partition_count: u64) -> Self {
        let configured = (0..partition_count).map(PartitionId);
        let recorded = cache.partition_owners.keys().copied();
        let beyond = recorded.filter(|partition| partition.0 >= partition_count);
        let mut owned_by_member: BTreeMap<&Label, usize> =
            cache.members.keys().map(|label| (label, 0)).collect();
        let mut unowned = Vec::new();
        for partition in configured.chain(beyond) {
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

/// Grants the partitions that no living member owns, in one compare-and-swap: its compares
/// and its mutations. None if there is nothing to grant, or nobody to grant it to.
/// `leadership` is the leader's [`leadership_compare`](super::leadership_compare).
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
    let max_operations = settings.platform.state.lowest_txn_ops();
    unowned.truncate((max_operations - RESERVED_OPERATIONS).min(MAX_GRANTS));
    if unowned.is_empty() || owned_by_member.is_empty() {
        return None;
    }
    let terms = allocate_terms(cache, unowned.len() as u64);
    let mut compares = vec![leadership, terms.compare];
    let mut mutations = vec![terms.mutation];
    for (term, partition) in (terms.first.0..).map(Term).zip(unowned) {
        let (label, owned) =
            owned_by_member
                .iter_mut()
                .min_by_key(|(label, owned)| OwnerPreference {
                    is_ineligible: !is_eligible(label),
                    handed_it_back: cache.handed_back_by(partition) == Some(**label),
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
        // The member must still be alive, or the partition would go to a dead one.
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

/// The names of the teams whose jobs belong to a partition, in the settings' order.
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
