//! The leader's grants: a block without a living holder goes whole to one
//! member, under a new term.

use super::{HolderRecord, TermRecord};
use crate::clock::Micros;
use crate::ids::{BlockId, Label, Revision, Term};
use crate::settings::Settings;
use crate::store::mirror::Mirror;
use crate::store::{self, Cond, Op, cond, keys};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The block that a team belongs to, by the records or, before there are any,
/// by its place in the settings.
pub fn block_of(mirror: &Mirror, settings: &Settings, blocks: u64, team: usize) -> BlockId {
    let name = &settings.platform.teams[team].name;
    let recorded = mirror
        .holders
        .iter()
        .find(|(_, (_, h))| h.teams.contains(name));
    recorded.map_or(BlockId(team as u64 % blocks), |(b, _)| *b)
}

/// A change of the store that only the leader may make.
pub fn as_leader(mirror: &Mirror, label: &Label, incarnation: Option<Revision>) -> Option<Cond> {
    let (revision, rec) = mirror.leader.as_ref()?;
    (rec.holder == *label && Some(rec.incarnation) == incarnation)
        .then(|| cond(keys::LEADER.into(), *revision))
}

/// Takes the next `n` terms: the first, and the write that makes them ours.
pub fn take_terms(mirror: &Mirror, n: u64) -> (Term, Cond, Op) {
    let (revision, rec) = mirror.term;
    let op = store::set(
        keys::TERM.into(),
        &TermRecord {
            last: Term(rec.last.0 + n),
        },
    );
    (Term(rec.last.0 + 1), cond(keys::TERM.into(), revision), op)
}

/// Grants every block that nobody alive holds, in one transaction.
pub fn grants(
    mirror: &Mirror,
    leader: Cond,
    settings: &Settings,
    blocks: u64,
    fit: &dyn Fn(&Label) -> bool,
) -> Option<(Vec<Cond>, Vec<Op>)> {
    let mut load: BTreeMap<&Label, usize> = mirror.members.keys().map(|l| (l, 0)).collect();
    let mut open = Vec::new();
    for b in (0..blocks)
        .map(BlockId)
        .chain(mirror.holders.keys().copied().filter(|b| b.0 >= blocks))
    {
        match mirror.holders.get(&b) {
            Some((_, rec)) if mirror.holder_alive(rec) => {
                if let Some(n) = load.get_mut(&rec.holder) {
                    *n += 1;
                }
            }
            _ => open.push(b),
        }
    }
    // A transaction takes only so many changes; the rest follow in the next.
    open.truncate((settings.platform.state.lasting_txn_ops() - 2).min(8));
    if open.is_empty() || load.is_empty() {
        return None;
    }
    let (first, term_cond, term_op) = take_terms(mirror, open.len() as u64);
    let (mut conds, mut ops) = (vec![leader, term_cond], vec![term_op]);
    for (i, b) in open.into_iter().enumerate() {
        let (label, n) = load.iter_mut().min_by_key(|(l, n)| {
            // Leading is work too: among equals, another member. Whoever handed the
            // block back did so for a reason, heard by us or not.
            let gave_up = mirror.resigned(b).is_some_and(|r| r == **l);
            // During a roll those with the newest version have had their turn: guards
            // against a block that changes hands with each controller that is replaced.
            let format = mirror.members.get(**l).map(|(_, m)| m.format);
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
        let incarnation = mirror.members.get(*label)?.0;
        let teams = settings.platform.teams.iter().enumerate();
        let teams = teams
            .filter(|(t, _)| block_of(mirror, settings, blocks, *t) == b)
            .map(|(_, team)| team.name.clone())
            .collect();
        let rec = HolderRecord {
            holder: (*label).clone(),
            incarnation,
            term: Term(first.0 + i as u64),
            teams,
        };
        // The member must still be in, or the block would go to a dead one.
        let member = cond(keys::member(label), incarnation);
        if !conds.contains(&member) {
            conds.push(member);
        }
        conds.push(cond(keys::holder(b), mirror.holder_revision(b)));
        ops.push(store::set(keys::holder(b), &rec));
    }
    Some((conds, ops))
}

/// How a member that could lead stands with the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It hears another member.
    Heard,
    /// It hears no other member, but holds a block.
    IsolatedHolder,
    /// It hears no other member, or lately none of its machines.
    Isolated,
}

/// Who may stand for leader, and after how long without one: in the order of
/// the labels, so that two rarely try at once.
pub fn candidacy(
    mirror: &Mirror,
    label: &Label,
    incarnation: Revision,
    without_since: Micros,
    now: Micros,
    standing: Standing,
) -> bool {
    if mirror.leader.is_some()
        || mirror
            .members
            .get(label)
            .is_none_or(|(s, _)| *s != incarnation)
    {
        return false;
    }
    let place = mirror.members.keys().position(|l| l == label).unwrap_or(0) as u64;
    let mut wait = Micros::from_millis(150 * place);
    wait = wait
        + match standing {
            Standing::Heard => Micros::ZERO,
            // Whoever hears none of the others may be the one that is cut off. But if
            // nobody hears anybody, only a holder knows what room its block lacks.
            Standing::IsolatedHolder => Micros::from_millis(3_000),
            Standing::Isolated => Micros::from_millis(4_000),
        };
    now.since(without_since) >= wait
}

#[cfg(test)]
mod tests;
