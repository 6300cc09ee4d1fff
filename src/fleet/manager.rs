//! The leader's dealings with the cloud: what to rent, what to return, and
//! which block each machine goes to.

mod recording;
mod renting;
mod returning;

use super::{CloudReply, CloudRequest, CloudStanding, Listed, MachineType};
use crate::blocks::{Freed, RentalRecord};
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::{BlockId, MachineId, Revision};
use crate::mesh::BlockState;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::store::mirror::Mirror;
use crate::store::{Cond, Op, Reply};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use zone_failover::leader::RentalAccess;

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

/// What the manager decides by.
#[derive(Clone, Copy)]
pub struct FleetSnapshot<'a> {
    /// What was read of the store.
    pub mirror: &'a Mirror,
    /// That this controller still leads.
    pub leader: &'a Cond,
    /// The store's revision that the mirror has reached.
    pub seen: Revision,
    /// The machine types.
    pub types: &'a [MachineType],
    /// What the blocks' holders tell.
    pub news: &'a BTreeMap<BlockId, BlockState>,
    /// Whether machines may be rented in a zone.
    pub access: &'a dyn Fn(&str) -> RentalAccess,
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
    pub fn step(&mut self, now: Micros, fleet: &FleetSnapshot<'_>) -> Vec<Effect> {
        let FleetSnapshot {
            mirror,
            leader,
            seen,
            types,
            news,
            ..
        } = *fleet;
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
        self.rent(now, fleet, &mut out);
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
