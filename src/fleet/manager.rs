//! The leader's dealings with the cloud: what to rent, what to return, and
//! which block each machine goes to.

mod renting;

use super::shards::{Draft, Spread};
use super::{CloudReply, CloudRequest, CloudStanding, Listed, MachineType};
use crate::blocks::leader::take_terms;
use crate::blocks::{Freed, MachineRecord, MachinesRecord, RentalRecord};
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::{BlockId, MachineId, Revision};
use crate::mesh::BlockState;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::store::mirror::Mirror;
use crate::store::{self, Cond, Op, Reply, cond, keys};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A leader's write, as it comes back with its answer.
#[derive(Debug, Clone, PartialEq)]
pub enum Write {
    /// Machines' keys; the rentals that it settles.
    Machines {
        /// The rentals whose machines are all recorded with it.
        settled: Vec<String>,
    },
    /// Makes an earlier write of machines fail, should it still be on its way.
    Fence,
    /// A shard is recorded in parts.
    Split,
    /// A rental that is about to be asked for.
    RentalState {
        /// The rental's name.
        name: String,
        /// What is to be rented.
        rental: RentalRecord,
    },
    /// A rental that came to nothing.
    Drop {
        /// The rental's name.
        name: String,
    },
}

/// What the manager wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Write to the store.
    Txn(Write, Vec<Cond>, Vec<Op>),
    /// Ask the cloud.
    Cloud(CloudRequest),
}

/// A type, zone and kind that the cloud may or may not have more of.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Offer {
    build: String,
    zone: String,
    spot: bool,
}

#[derive(Debug, Default)]
struct Backoff {
    until: Micros,
    times: u32,
}

#[derive(Debug)]
enum RentalState {
    /// The record's write is out.
    Recording,
    /// Recorded: the cloud is to be asked, now or again.
    Ask(Micros),
    StatusQuery,
    Rented(Vec<MachineId>),
    Refused,
}

#[derive(Debug)]
struct Credit {
    block: BlockId,
    until: Micros,
    capacity: Resources,
    count: u32,
}

/// What only lives while this controller leads.
#[derive(Default)]
pub struct Manager {
    txn_ops: usize,
    value_bytes: usize,
    horizon: Micros,
    stepped: Micros,
    scanned: Micros,
    /// The leadership that this state belongs to, by the leader key's revision.
    leader_revision: Revision,
    counter: u64,
    list: BTreeMap<MachineId, Listed>,
    listing: bool,
    listed_at: Micros,
    rentals: BTreeMap<String, (RentalRecord, RentalState)>,
    backoff: BTreeMap<Offer, Backoff>,
    /// Being returned: when to ask (again), or that the cloud has confirmed it.
    returning: BTreeMap<MachineId, Option<Micros>>,
    /// Of them, those that are silent, as their holder says.
    silent: BTreeSet<MachineId>,
    return_out: Vec<MachineId>,
    returned: BTreeSet<MachineId>,
    /// Listed before, and missing from so many lists since.
    missing: BTreeMap<MachineId, u32>,
    /// Listed, but recorded nowhere.
    strange: BTreeSet<MachineId>,
    /// Given up by a holder, for another block.
    moves: BTreeSet<MachineId>,
    writing: bool,
    /// A write of machines had no answer: it may still be carried out.
    unfenced: bool,
    /// The mirror must have caught up with this before the next write.
    wait_for: Revision,
    last_split: Micros,
    /// Requests that lacked room lately.
    shapes: Vec<(Resources, Micros)>,
    /// Room that reports don't show yet, by the rental that brings it.
    credits: BTreeMap<String, Credit>,
}

const LIST_EVERY: Micros = Micros::from_millis(3_000);
const CREDIT: Micros = Micros::from_millis(3_000);
const STEP_EVERY: Micros = Micros::from_millis(150);
const SCAN_EVERY: Micros = Micros::from_millis(800);
/// Shards are split no faster than this: others need the changes, too.
const SPLIT_EVERY: Micros = Micros::from_millis(1_200);

/// So many lists without a machine that was listed before.
const GONE_AFTER: u32 = 2;
const MOST_RETURNED: usize = 100;

impl Manager {
    /// A manager that does not lead yet.
    pub fn new(settings: &Settings, policy: &Policy) -> Self {
        Manager {
            txn_ops: settings.most_changes(),
            value_bytes: settings.platform.state.lasting_value_bytes(),
            horizon: policy.rent_horizon,
            ..Manager::default()
        }
    }

    /// One look at everything. Called often; does little when nothing is due.
    pub fn step(
        &mut self,
        now: Micros,
        mirror: &Mirror,
        leader: &Cond,
        seen: Revision,
        types: &[MachineType],
        news: &BTreeMap<BlockId, BlockState>,
    ) -> Vec<Effect> {
        if self.leader_revision != leader.revision {
            // What an earlier leadership knew is stale; answers still out are dropped by
            // their names. Its rentals are in the store.
            *self = Manager {
                txn_ops: self.txn_ops,
                value_bytes: self.value_bytes,
                horizon: self.horizon,
                leader_revision: leader.revision,
                counter: self.counter,
                ..Manager::default()
            };
        }
        let mut out = Vec::new();
        if now.since(self.stepped) < STEP_EVERY {
            return out;
        }
        self.stepped = now;
        if seen >= self.wait_for {
            // Before that the mirror may show rentals that are settled.
            self.adopt_rentals(now, mirror);
        }
        if !self.listing && now.since(self.listed_at) >= LIST_EVERY {
            self.listing = true;
            self.listed_at = now;
            out.push(Effect::Cloud(CloudRequest::List));
        }
        if now.since(self.scanned) >= SCAN_EVERY {
            self.scanned = now;
            self.find_returns(now, mirror, types, news);
            self.find_moves(mirror);
        }
        self.ask_returns(now, &mut out);
        if !self.writing && seen >= self.wait_for {
            if self.unfenced {
                out.push(self.fence(mirror, leader));
            } else if let Some(split) = self.split_oversize(now, mirror, leader) {
                out.push(split);
            } else {
                out.extend(self.change_machines(mirror, leader, types, news));
            }
        }
        self.ask_rentals(now, mirror, leader, &mut out);
        self.rent(now, mirror, leader, types, news, &mut out);
        out
    }

    /// Hires that an earlier leader recorded are repeated under their names.
    fn adopt_rentals(&mut self, now: Micros, mirror: &Mirror) {
        for (name, (_, rec)) in &mirror.rentals {
            self.rentals
                .entry(name.clone())
                .or_insert_with(|| (rec.clone(), RentalState::Ask(now)));
        }
    }

    fn find_returns(
        &mut self,
        now: Micros,
        mirror: &Mirror,
        types: &[MachineType],
        news: &BTreeMap<BlockId, BlockState>,
    ) {
        let fresh: BTreeMap<BlockId, BTreeSet<&MachineId>> = news
            .iter()
            .filter(|(b, n)| {
                now.since(n.at) < Micros::from_millis(4_000)
                    && mirror.holders.get(b).is_some_and(|(_, h)| h.term == n.term)
            })
            .map(|(b, n)| (*b, n.dead.iter().collect()))
            .collect();
        self.spare_the_heard(mirror, &fresh);
        let mut add = |id: &MachineId, why: &str| {
            if !self.returning.contains_key(id) && !self.returned.contains(id) {
                tracing::info!(machine = %id, why, "returning");
                self.returning.insert(id.clone(), Some(now));
            }
        };
        for (b, id, r) in mirror.all_machines() {
            if r.freed == Some(Freed::Return) {
                add(id, "idle");
            }
            // What still boots is not silent.
            if fresh.get(&b).is_some_and(|dead| dead.contains(id))
                && self
                    .list
                    .get(id)
                    .is_none_or(|l| l.standing != CloudStanding::Booting)
            {
                add(id, "silent or failing");
                self.silent.insert(id.clone());
            }
        }
        // Taken by the cloud, most likely. A list may be older than the one before, so
        // one is not enough; that all on it is gone, only the return's answer says.
        for (id, lists) in &self.missing {
            if *lists >= GONE_AFTER && mirror.machine(id).is_some() {
                add(id, "no longer listed");
            }
        }
        for m in self.list.values() {
            let boot = types
                .iter()
                .find(|t| t.name == m.build)
                .map_or(60.0, |t| t.boot_s);
            if m.standing == CloudStanding::Failed {
                add(&m.id, "failed");
            } else if m.standing == CloudStanding::Booting && m.age_s > boot * 2.5 + 10.0 {
                // It may never come up, and is charged all the while.
                add(&m.id, "not up in time");
            }
        }
    }

    /// Guards against returning machines that came back while the cloud could not be
    /// asked: hung or cut off by the hundred, they were to go for what is over.
    fn spare_the_heard(&mut self, mirror: &Mirror, dead: &BTreeMap<BlockId, BTreeSet<&MachineId>>) {
        let (returning, out) = (&mut self.returning, &self.return_out);
        self.silent.retain(|id| {
            let waits = matches!(returning.get(id), Some(Some(_))) && !out.contains(id);
            let heard = mirror
                .machine(id)
                .and_then(|((b, _), _)| dead.get(&b))
                .is_some_and(|dead| !dead.contains(id));
            if waits && heard {
                tracing::info!(machine = %id, "heard again: not returned");
                returning.remove(id);
            }
            returning.contains_key(id)
        });
    }

    /// What holders gave up for others, and what is listed but recorded nowhere.
    fn find_moves(&mut self, mirror: &Mirror) {
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

    fn ask_returns(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if !self.return_out.is_empty() {
            return;
        }
        let due = self
            .returning
            .iter()
            .filter(|(_, at)| at.is_some_and(|at| now >= at));
        let ids: Vec<MachineId> = due.map(|(id, _)| id.clone()).take(MOST_RETURNED).collect();
        if !ids.is_empty() {
            self.return_out = ids.clone();
            out.push(Effect::Cloud(CloudRequest::Return(ids)));
        }
    }

    /// Takes a term that nobody gets. Guards against a machine in two blocks: a write
    /// without an answer that puts it into one could be carried out after the next one
    /// has put it into another, since each names only the shards that it changes. All
    /// of them name the term's key, so none is carried out after this.
    fn fence(&mut self, mirror: &Mirror, leader: &Cond) -> Effect {
        let (_, term_cond, term_op) = take_terms(mirror, 1);
        self.writing = true;
        Effect::Txn(Write::Fence, vec![leader.clone(), term_cond], vec![term_op])
    }

    /// Records a shard in parts that an earlier version wrote under a higher limit, before
    /// that limit falls: then it could be neither changed nor shrunk any more. Should the
    /// write be carried out late, it fails if any of these shards has changed since.
    fn split_oversize(&mut self, now: Micros, mirror: &Mirror, leader: &Cond) -> Option<Effect> {
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
        let further = mirror.free_shards(block).map(|n| (n, Revision(0)));
        let mut conds = vec![leader.clone()];
        let mut ops = Vec::new();
        for ((n, revision), part) in std::iter::once((shard, revision)).chain(further).zip(parts) {
            let key = keys::machines(block, n);
            conds.push(cond(key.clone(), revision));
            ops.push(store::set(key, &part));
        }
        Some(Effect::Txn(Write::Split, conds, ops))
    }

    /// One write of the machines' shards: what was rented goes in, what is gone goes
    /// out, what was given up moves on. As much as a transaction takes; the rest
    /// follows in the next, and a crash in between loses nothing: a rental's record
    /// goes only with the last of its machines, and a successor repeats it.
    fn change_machines(
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

    /// Takes in the cloud's answer.
    pub fn cloud(&mut self, now: Micros, request: CloudRequest, reply: CloudReply) {
        match (request, reply) {
            (CloudRequest::List, reply) => {
                self.listing = false;
                if let CloudReply::List(list) = reply {
                    let list = list.into_iter().map(|m| (m.id.clone(), m)).collect();
                    let before = std::mem::replace(&mut self.list, list);
                    let list = &self.list;
                    let left = before.keys().filter(|id| !list.contains_key(*id));
                    for id in left {
                        self.missing.entry(id.clone()).or_default();
                    }
                    self.missing.retain(|id, _| !list.contains_key(id));
                    self.missing.values_mut().for_each(|n| *n += 1);
                    // A list may be older than the one before; what was returned may
                    // show up again for a while and is not to be adopted.
                    if self.returned.len() > 2000 {
                        self.returned.retain(|id| self.list.contains_key(id));
                    }
                }
            }
            (CloudRequest::Rent(name, rental), reply) => {
                let Some((_, state)) = self.rentals.get_mut(&name) else {
                    return;
                };
                let offer = Offer {
                    build: rental.build.clone(),
                    zone: rental.zone.clone(),
                    spot: rental.spot,
                };
                match reply {
                    CloudReply::Rented(ids) => {
                        if (ids.len() as u32) < rental.count {
                            self.backoff.insert(
                                offer,
                                Backoff {
                                    until: now + Micros::from_millis(15_000),
                                    times: 1,
                                },
                            );
                        } else {
                            self.backoff.remove(&offer);
                        }
                        tracing::info!(%name, got = ids.len(), "rented");
                        if let Some(c) = self.credits.get_mut(&name) {
                            c.count = ids.len() as u32;
                            c.until = now + CREDIT;
                        }
                        *state = RentalState::Rented(ids);
                    }
                    CloudReply::NoCapacity => {
                        let b = self.backoff.entry(offer).or_default();
                        b.times += 1;
                        b.until = now + Micros::from_millis(5_000 << b.times.min(3));
                        *state = RentalState::Refused;
                        self.credits.remove(&name);
                    }
                    // It may have been carried out: only the same name may ask again.
                    _ => *state = RentalState::Ask(now + Micros::from_millis(1_500)),
                }
            }
            (CloudRequest::Return(ids), reply) => {
                self.return_out.clear();
                for id in ids {
                    if reply == CloudReply::Returned {
                        self.returning.remove(&id);
                        self.missing.remove(&id);
                        self.list.remove(&id);
                        self.returned.insert(id);
                    } else if let Some(at) = self.returning.get_mut(&id) {
                        *at = Some(now + Micros::from_millis(1_000));
                    }
                }
            }
            (CloudRequest::Types, _) => {}
        }
    }

    /// Takes in the store's answer to a write.
    pub fn stored(&mut self, now: Micros, write: Write, reply: &Reply) {
        match write {
            Write::Machines { settled } => {
                self.writing = false;
                match reply {
                    Reply::Committed(revision) => {
                        self.wait_for = *revision;
                        for name in settled {
                            self.rentals.remove(&name);
                        }
                    }
                    // Surely not done, and it never will be.
                    Reply::Conflict(_) | Reply::Refused => {}
                    _ => self.unfenced = true,
                }
            }
            Write::Fence => {
                self.writing = false;
                if let Reply::Committed(revision) = reply {
                    self.unfenced = false;
                    self.wait_for = *revision;
                }
            }
            Write::Split => {
                self.writing = false;
                if let Reply::Committed(revision) = reply {
                    self.wait_for = *revision;
                }
            }
            Write::RentalState { name, .. } => {
                let Some((_, state)) = self.rentals.get_mut(&name) else {
                    return;
                };
                match reply {
                    Reply::Committed(_) => *state = RentalState::Ask(now),
                    // Nothing was asked of the cloud under this name. Should the record
                    // still be written, it is found and carried out then.
                    _ => {
                        self.rentals.remove(&name);
                    }
                }
            }
            Write::Drop { name } => {
                if let Reply::Committed(revision) = reply {
                    self.wait_for = self.wait_for.max(*revision);
                    self.rentals.remove(&name);
                } else if let Some((_, state)) = self.rentals.get_mut(&name) {
                    *state = RentalState::Refused;
                }
            }
        }
    }
}

/// The machine types, shared.
pub type Types = Arc<Vec<MachineType>>;
