//! Recording machines in the blocks' shards: what was rented goes in, what is gone goes out,
//! what was given up moves on, and what has grown too large is split.

use super::*;
use crate::blocks::leader::take_terms;
use crate::blocks::{MachineRecord, MachinesRecord, write_parts};
use crate::fleet::shards::{Draft, Spread};
use crate::store::{self, cond, keys};

/// Shards are split no faster than this: others need the changes, too.
const SPLIT_EVERY: Micros = Micros::from_millis(1_200);

impl Manager {
    /// What holders gave up for others, and what is listed but recorded nowhere.
    pub(super) fn find_moves(&mut self, mirror: &Mirror) {
        let freed = mirror
            .all_machines()
            .filter(|(_, _, r)| r.freed == Some(Freed::Move));
        self.moves = freed.map(|(_, id, _)| id.clone()).collect();
        let rented: BTreeSet<&MachineId> = self
            .rentals
            .values()
            .filter_map(|(_, h)| match h {
                RentalState::Rented(ids) => Some(ids),
                _ => None,
            })
            .flatten()
            .collect();
        let strange = self.list.values().filter(|m| {
            m.standing != CloudStanding::Failed
                && mirror.machine(&m.id).is_none()
                && !rented.contains(&m.id)
        });
        self.strange = strange.map(|m| m.id.clone()).collect();
    }

    /// Takes a term that nobody gets. Guards against a machine in two blocks: a write
    /// without an answer that puts it into one could be carried out after the next one
    /// has put it into another, since each names only the shards that it changes. All
    /// of them name the term's key, so none is carried out after this.
    pub(super) fn fence(&mut self, mirror: &Mirror, leader: &Cond) -> Effect {
        let (_, term_cond, term_op) = take_terms(mirror, 1);
        self.writing = true;
        Effect::Txn(Write::Fence, vec![leader.clone(), term_cond], vec![term_op])
    }

    /// Records a shard in parts that an earlier version wrote under a higher limit, before
    /// that limit falls: then it could be neither changed nor shrunk any more. Should the
    /// write be carried out late, it fails if any of these shards has changed since.
    pub(super) fn split_oversize(
        &mut self,
        now: Micros,
        mirror: &Mirror,
        leader: &Cond,
    ) -> Option<Effect> {
        if now.since(self.last_split) < SPLIT_EVERY {
            return None;
        }
        let oversize = |rec: &MachinesRecord| rec.is_oversize(self.value_bytes);
        let split = mirror
            .machines
            .iter()
            .filter(|(_, (_, rec))| oversize(rec))
            .map(|(at, (revision, rec))| (*at, *revision, (**rec).clone().split(self.value_bytes)))
            .find(|(.., parts)| parts.len() <= self.txn_ops);
        let ((block, shard), revision, parts) = split?;
        self.last_split = now;
        self.writing = true;
        tracing::info!(%block, shard, parts = parts.len(), "a shard is recorded in parts");
        let free = mirror.free_shards(block);
        let (of_parts, ops) = write_parts(block, (shard, revision), parts, free);
        let conds = std::iter::once(leader.clone()).chain(of_parts).collect();
        Some(Effect::Txn(Write::Split, conds, ops))
    }

    /// One write of the machines' shards: what was rented goes in, what is gone goes
    /// out, what was given up moves on. As much as a transaction takes; the rest
    /// follows in the next, and a crash in between loses nothing: a rental's record
    /// goes only with the last of its machines, and a successor repeats it.
    pub(super) fn change_machines(
        &mut self,
        mirror: &Mirror,
        leader: &Cond,
        types: &[MachineType],
        news: &BTreeMap<BlockId, BlockState>,
    ) -> Option<Effect> {
        let blocks: Vec<BlockId> = mirror.holders.keys().copied().collect();
        let first = *blocks.first()?;
        let mut draft = Draft::new(mirror, self.value_bytes, self.txn_ops);
        let mut spread = Spread::new(mirror, news, types, &blocks);
        let (mut settled, mut ops) = (Vec::new(), Vec::new());
        for (name, (rental, state)) in &self.rentals {
            let RentalState::Rented(ids) = state else {
                continue;
            };
            if draft.full(ops.len() + 1) {
                break;
            }
            let block = if mirror.holders.contains_key(&rental.block) {
                rental.block
            } else {
                first
            };
            let blank =
                MachineRecord::blank(String::new(), &rental.build, &rental.zone, rental.spot);
            let all = ids
                .iter()
                .filter(|id| mirror.machine(id).is_none())
                .all(|id| draft.insert(block, id, blank.clone(), ops.len() + 1));
            if all {
                settled.push(name.clone());
                ops.push(store::delete(keys::rental(name)));
            }
        }
        for id in &self.returned {
            if let Some((at, _)) = mirror.machine(id) {
                draft.remove(at, id, ops.len());
            }
        }
        // Machines that nobody expected: a late rental, or there from the start.
        for id in &self.strange {
            let Some(m) = self.list.get(id) else { continue };
            if mirror.machine(id).is_some()
                || self.returned.contains(id)
                || self.returning.contains_key(id)
            {
                continue;
            }
            let to = spread.next(&m.build, &m.zone, m.spot).unwrap_or(first);
            let addr = m.addr.clone().unwrap_or_default();
            let rec = MachineRecord::blank(addr, &m.build, &m.zone, m.spot);
            if !draft.insert(to, id, rec, ops.len()) {
                break;
            }
            tracing::debug!(machine = %id, block = %to, "adopted");
        }
        // Machines given up for others: to where they are lacking, or back.
        let (term, term_cond, term_op) = take_terms(mirror, 1);
        let mut new_term = false;
        for id in &self.moves {
            let Some((at, rec)) = mirror.machine(id) else {
                continue;
            };
            if rec.freed != Some(Freed::Move) || self.returning.contains_key(id) {
                continue;
            }
            let to = spread.next(&rec.build, &rec.zone, rec.spot).unwrap_or(at.0);
            let mut rec = rec.clone();
            rec.freed = None;
            // A term above all that any holder of it has used.
            rec.term = term;
            if draft.full(ops.len() + 3) || !draft.remove(at, id, ops.len() + 2) {
                break;
            }
            draft.insert(to, id, rec, ops.len() + 1);
            new_term = true;
            tracing::info!(machine = %id, from = %at.0, %to, "moved");
        }
        let mut conds = vec![leader.clone(), term_cond];
        for (at, rec) in draft.shards {
            let key = keys::machines(at.0, at.1);
            conds.push(cond(key.clone(), mirror.shard_revision(at)));
            ops.push(store::set(key, &rec));
        }
        if ops.is_empty() {
            return None;
        }
        if new_term {
            ops.push(term_op);
        }
        self.writing = true;
        Some(Effect::Txn(Write::Machines { settled }, conds, ops))
    }
}
