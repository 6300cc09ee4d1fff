//! Recording machines in the partitions' shards: what was rented goes in, what is gone goes out,
//! what was given up moves on, and what has grown too large is split.

use super::*;
use crate::autoscaler::shards::{PartitionBalancer, ShardTransaction};
use crate::leader::{TermAllocation, allocate_terms};
use crate::partitions::{MachineRecord, ShardRecord, write_parts};
use crate::store::{self, compare, keys};

/// Shards are split no faster than this: others need the changes, too.
const SPLIT_EVERY: Micros = Micros::from_millis(1_200);

impl Autoscaler {
    /// What owners gave up for others, and what is listed but recorded nowhere.
    pub(super) fn find_moves(&mut self, cache: &WatchCache) {
        let freed = cache
            .all_machines()
            .filter(|(_, _, r)| r.release_reason == Some(ReleaseReason::Move));
        self.moves = freed.map(|(_, id, _)| id.clone()).collect();
        let rented: BTreeSet<&MachineId> = self
            .rentals
            .values()
            .filter_map(|(_, h)| match h {
                ScaleOutState::Rented(ids) => Some(ids),
                _ => None,
            })
            .flatten()
            .collect();
        let strange = self.list.values().filter(|m| {
            m.state != InstanceState::Failed
                && cache.machine(&m.id).is_none()
                && !rented.contains(&m.id)
        });
        self.strange = strange.map(|m| m.id.clone()).collect();
    }

    /// Takes a term that nobody gets. Guards against a machine in two partitions: a write
    /// without an answer that puts it into one could be carried out after the next one
    /// has put it into another, since each names only the shards that it changes. All
    /// of them name the term's key, so none is carried out after this.
    pub(super) fn fence(&mut self, cache: &WatchCache, leader: &Compare) -> Effect {
        let TermAllocation {
            compare: term_cond,
            mutation: term_op,
            ..
        } = allocate_terms(cache, 1);
        self.writing = true;
        Effect::CompareAndSwap(Write::Fence, vec![leader.clone(), term_cond], vec![term_op])
    }

    /// Records a shard in parts that an earlier version wrote under a higher limit, before
    /// that limit falls: then it could be neither changed nor shrunk any more. Should the
    /// write be carried out late, it fails if any of these shards has changed since.
    pub(super) fn split_oversize(
        &mut self,
        now: Micros,
        cache: &WatchCache,
        leader: &Compare,
    ) -> Option<Effect> {
        if now.since(self.last_split) < SPLIT_EVERY {
            return None;
        }
        let oversize = |rec: &ShardRecord| rec.is_oversize(self.value_bytes);
        let split = cache
            .machine_shards
            .iter()
            .filter(|(_, (_, rec))| oversize(rec))
            .map(|(at, (revision, rec))| (*at, *revision, (**rec).clone().split(self.value_bytes)))
            .find(|(.., parts)| parts.len() <= self.txn_ops);
        let ((partition, shard), revision, parts) = split?;
        self.last_split = now;
        self.writing = true;
        tracing::info!(%partition, shard, parts = parts.len(), "a shard is recorded in parts");
        let free = cache.free_shards(partition);
        let (of_parts, mutations) = write_parts(partition, (shard, revision), parts, free);
        let compares = std::iter::once(leader.clone()).chain(of_parts).collect();
        Some(Effect::CompareAndSwap(Write::Split, compares, mutations))
    }

    /// One write of the machines' shards: what was rented goes in, what is gone goes
    /// out, what was given up moves on. As much as a transaction takes; the rest
    /// follows in the next, and a crash in between loses nothing: a rental's record
    /// goes only with the last of its machines, and a successor repeats it.
    pub(super) fn change_machines(
        &mut self,
        cache: &WatchCache,
        leader: &Compare,
        types: &[MachineType],
        news: &BTreeMap<PartitionId, PartitionState>,
    ) -> Option<Effect> {
        let partitions: Vec<PartitionId> = cache.partition_owners.keys().copied().collect();
        let first = *partitions.first()?;
        let mut draft = ShardTransaction::new(cache, self.value_bytes, self.txn_ops);
        let mut spread = PartitionBalancer::new(cache, news, types, &partitions);
        let (mut settled, mut mutations) = (Vec::new(), Vec::new());
        for (name, (rental, state)) in &self.rentals {
            let ScaleOutState::Rented(ids) = state else {
                continue;
            };
            if draft.full(mutations.len() + 1) {
                break;
            }
            let partition = if cache.partition_owners.contains_key(&rental.partition) {
                rental.partition
            } else {
                first
            };
            let blank = MachineRecord::blank(
                String::new(),
                &rental.machine_type,
                &rental.zone,
                rental.spot,
            );
            let all = ids
                .iter()
                .filter(|id| cache.machine(id).is_none())
                .all(|id| draft.insert(partition, id, blank.clone(), mutations.len() + 1));
            if all {
                settled.push(name.clone());
                mutations.push(store::delete(keys::scale_out(name)));
            }
        }
        for id in &self.returned {
            if let Some((at, _)) = cache.machine(id) {
                draft.remove(at, id, mutations.len());
            }
        }
        // Machines that nobody expected: a late rental, or there from the start.
        for id in &self.strange {
            let Some(m) = self.list.get(id) else { continue };
            if cache.machine(id).is_some()
                || self.returned.contains(id)
                || self.returning.contains_key(id)
            {
                continue;
            }
            let to = spread
                .next(&m.machine_type, &m.zone, m.spot)
                .unwrap_or(first);
            let addr = m.addr.clone().unwrap_or_default();
            let rec = MachineRecord::blank(addr, &m.machine_type, &m.zone, m.spot);
            if !draft.insert(to, id, rec, mutations.len()) {
                break;
            }
            tracing::debug!(machine = %id, partition = %to, "adopted");
        }
        // Machines given up for others: to where they are lacking, or back.
        let TermAllocation {
            first: term,
            compare: term_cond,
            mutation: term_op,
        } = allocate_terms(cache, 1);
        let mut new_term = false;
        for id in &self.moves {
            let Some((at, rec)) = cache.machine(id) else {
                continue;
            };
            if rec.release_reason != Some(ReleaseReason::Move) || self.returning.contains_key(id) {
                continue;
            }
            let to = spread
                .next(&rec.machine_type, &rec.zone, rec.spot)
                .unwrap_or(at.0);
            let mut rec = rec.clone();
            rec.release_reason = None;
            // A term above all that any owner of it has used.
            rec.term = term;
            if draft.full(mutations.len() + 3) || !draft.remove(at, id, mutations.len() + 2) {
                break;
            }
            draft.insert(to, id, rec, mutations.len() + 1);
            new_term = true;
            tracing::info!(machine = %id, from = %at.0, %to, "moved");
        }
        let mut compares = vec![leader.clone(), term_cond];
        for (at, rec) in draft.shards {
            let key = keys::shard(at.0, at.1);
            compares.push(compare(key.clone(), cache.shard_revision(at)));
            mutations.push(store::put(key, &rec));
        }
        if mutations.is_empty() {
            return None;
        }
        if new_term {
            mutations.push(term_op);
        }
        self.writing = true;
        Some(Effect::CompareAndSwap(
            Write::Machines { settled },
            compares,
            mutations,
        ))
    }
}
