//! The leader's grants: a partition without a living owner goes whole to one
//! member, under a new term.

use crate::clock::Micros;
use crate::ids::{Label, PartitionId, Revision, Term};
use crate::partitions::{PartitionOwnerRecord, TermRecord};
use crate::settings::Settings;
use crate::store::{self, Compare, Mutation, compare, keys};
use crate::watch_cache::WatchCache;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The partition that a team belongs to, by the records or, before there are any,
/// by its place in the settings.
pub fn block_of(
    cache: &WatchCache,
    settings: &Settings,
    partitions: u64,
    team: usize,
) -> PartitionId {
    let name = &settings.platform.teams[team].name;
    let recorded = cache
        .partition_owners
        .iter()
        .find(|(_, (_, h))| h.teams.contains(name));
    recorded.map_or(PartitionId(team as u64 % partitions), |(b, _)| *b)
}

/// A change of the store that only the leader may make.
pub fn as_leader(
    cache: &WatchCache,
    label: &Label,
    incarnation: Option<Revision>,
) -> Option<Compare> {
    let (revision, rec) = cache.leader.as_ref()?;
    (rec.leader == *label && Some(rec.incarnation) == incarnation)
        .then(|| compare(keys::LEADER.into(), *revision))
}

/// Takes the next `n` terms: the first, and the write that makes them ours.
pub fn take_terms(cache: &WatchCache, n: u64) -> (Term, Compare, Mutation) {
    let (revision, rec) = cache.term;
    let op = store::put(
        keys::TERM.into(),
        &TermRecord {
            last: Term(rec.last.0 + n),
        },
    );
    (
        Term(rec.last.0 + 1),
        compare(keys::TERM.into(), revision),
        op,
    )
}

/// Grants every partition that nobody alive holds, in one transaction.
pub fn grants(
    cache: &WatchCache,
    leader: Compare,
    settings: &Settings,
    partitions: u64,
    fit: &dyn Fn(&Label) -> bool,
) -> Option<(Vec<Compare>, Vec<Mutation>)> {
    let mut load: BTreeMap<&Label, usize> = cache.members.keys().map(|l| (l, 0)).collect();
    let mut open = Vec::new();
    for b in (0..partitions).map(PartitionId).chain(
        cache
            .partition_owners
            .keys()
            .copied()
            .filter(|b| b.0 >= partitions),
    ) {
        match cache.partition_owners.get(&b) {
            Some((_, rec)) if cache.is_owner_alive(rec) => {
                if let Some(n) = load.get_mut(&rec.owner) {
                    *n += 1;
                }
            }
            _ => open.push(b),
        }
    }
    // A transaction takes only so many changes; the rest follow in the next.
    open.truncate((settings.platform.state.lowest_txn_ops() - 2).min(8));
    if open.is_empty() || load.is_empty() {
        return None;
    }
    let (first, term_cond, term_op) = take_terms(cache, open.len() as u64);
    let (mut compares, mut mutations) = (vec![leader, term_cond], vec![term_op]);
    for (i, b) in open.into_iter().enumerate() {
        let (label, n) = load.iter_mut().min_by_key(|(l, n)| {
            // Leading is work too: among equals, another member. Whoever handed the
            // partition back did so for a reason, heard by us or not.
            let gave_up = cache.handed_back_by(b).is_some_and(|r| r == **l);
            // During a roll those with the newest version have had their turn: guards
            // against a partition that changes hands with each controller that is replaced.
            let format = cache.members.get(**l).map(|(_, m)| m.format);
            (
                !fit(l),
                gave_up,
                **n,
                Reverse(format),
                **l == &settings.label,
                l.as_str().to_owned(),
            )
        })?;
        *n += 1;
        let incarnation = cache.members.get(*label)?.0;
        let teams = settings.platform.teams.iter().enumerate();
        let teams = teams
            .filter(|(t, _)| block_of(cache, settings, partitions, *t) == b)
            .map(|(_, team)| team.name.clone())
            .collect();
        let rec = PartitionOwnerRecord {
            owner: (*label).clone(),
            incarnation,
            term: Term(first.0 + i as u64),
            teams,
        };
        // The member must still be in, or the partition would go to a dead one.
        let member = compare(keys::member(label), incarnation);
        if !compares.contains(&member) {
            compares.push(member);
        }
        compares.push(compare(keys::partition_owner(b), cache.owner_revision(b)));
        mutations.push(store::put(keys::partition_owner(b), &rec));
    }
    Some((compares, mutations))
}

/// How a member that could lead stands with the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CandidateState {
    /// It hears another member.
    Connected,
    /// It hears no other member, but holds a partition.
    IsolatedOwner,
    /// It hears no other member, or lately none of its machines.
    Isolated,
}

/// Who may stand for leader, and after how long without one: in the order of
/// the labels, so that two rarely try at once.
pub fn candidacy(
    cache: &WatchCache,
    label: &Label,
    incarnation: Revision,
    without_since: Micros,
    now: Micros,
    candidate_state: CandidateState,
) -> bool {
    if cache.leader.is_some()
        || cache
            .members
            .get(label)
            .is_none_or(|(s, _)| *s != incarnation)
    {
        return false;
    }
    let place = cache.members.keys().position(|l| l == label).unwrap_or(0) as u64;
    let mut wait = Micros::from_millis(150 * place);
    wait = wait
        + match candidate_state {
            CandidateState::Connected => Micros::ZERO,
            // Whoever hears none of the others may be the one that is cut off. But if
            // nobody hears anybody, only an owner knows what room its partition lacks.
            CandidateState::IsolatedOwner => Micros::from_millis(3_000),
            CandidateState::Isolated => Micros::from_millis(4_000),
        };
    now.since(without_since) >= wait
}

#[cfg(test)]
mod tests;
