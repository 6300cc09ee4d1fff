//! The leader's dealings with the cloud: what to rent, what to return, and
//! which partition each machine goes to.

mod recording;
mod release;
mod scale_out;
mod shards;

use crate::clock::Micros;
use crate::cloud::{
    CloudMachine, CloudReply, CloudRequest, InstanceState, MachineType, ScaleOutRecord,
};
use crate::fairness::Resources;
use crate::ids::{MachineId, PartitionId, Revision};
use crate::mesh::PartitionState;
use crate::partitions::ReleaseReason;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::store::{Compare, Mutation, Reply};
use crate::watch_cache::WatchCache;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use zone_failover::leader::ScaleOutAccess;

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
    ScaleOut {
        /// The rental's name.
        name: String,
        /// What is to be rented.
        rental: ScaleOutRecord,
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
    CompareAndSwap(Write, Vec<Compare>, Vec<Mutation>),
    /// Ask the cloud.
    Cloud(CloudRequest),
}

/// A type, zone and kind that the cloud may or may not have more of.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct InstanceOffer {
    machine_type: String,
    zone: String,
    spot: bool,
}

#[derive(Debug, Default)]
struct Backoff {
    until: Micros,
    times: u32,
}

#[derive(Debug)]
enum ScaleOutState {
    /// The record's write is out.
    Recording,
    /// Recorded: the cloud is to be asked, now or again.
    Ask(Micros),
    StatusQuery,
    Rented(Vec<MachineId>),
    Refused,
}

#[derive(Debug)]
struct PendingCapacity {
    partition: PartitionId,
    until: Micros,
    capacity: Resources,
    count: u32,
}

/// What the manager decides by.
#[derive(Clone, Copy)]
pub struct FleetSnapshot<'a> {
    /// What was read of the store.
    pub cache: &'a WatchCache,
    /// That this controller still leads.
    pub leader: &'a Compare,
    /// The store's revision that the cache has reached.
    pub seen: Revision,
    /// The machine types.
    pub types: &'a [MachineType],
    /// What the partitions' owners tell.
    pub news: &'a BTreeMap<PartitionId, PartitionState>,
    /// Whether machines may be rented in a zone.
    pub access: &'a dyn Fn(&str) -> ScaleOutAccess,
}

/// What only lives while this controller leads.
#[derive(Default)]
pub struct Autoscaler {
    txn_ops: usize,
    value_bytes: usize,
    horizon: Micros,
    stepped: Micros,
    scanned: Micros,
    /// The leadership that this state belongs to, by the leader key's revision.
    leader_revision: Revision,
    counter: u64,
    list: BTreeMap<MachineId, CloudMachine>,
    listing: bool,
    listed_at: Micros,
    rentals: BTreeMap<String, (ScaleOutRecord, ScaleOutState)>,
    backoff: BTreeMap<InstanceOffer, Backoff>,
    /// Being returned: when to ask (again), or that the cloud has confirmed it.
    returning: BTreeMap<MachineId, Option<Micros>>,
    /// Of them, those that are silent, as their owner says.
    silent: BTreeSet<MachineId>,
    return_out: Vec<MachineId>,
    returned: BTreeSet<MachineId>,
    /// Listed before, and missing from so many lists since.
    missing: BTreeMap<MachineId, u32>,
    /// Listed, but recorded nowhere.
    strange: BTreeSet<MachineId>,
    /// Given up by an owner, for another partition.
    moves: BTreeSet<MachineId>,
    writing: bool,
    /// A write of machines had no answer: it may still be carried out.
    unfenced: bool,
    /// The cache must have caught up with this before the next write.
    wait_for: Revision,
    last_split: Micros,
    /// Requests that lacked room lately.
    shapes: Vec<(Resources, Micros)>,
    /// Room that reports don't show yet, by the rental that brings it.
    credits: BTreeMap<String, PendingCapacity>,
}

const LIST_EVERY: Micros = Micros::from_millis(3_000);
const CREDIT: Micros = Micros::from_millis(3_000);
const STEP_EVERY: Micros = Micros::from_millis(150);
const SCAN_EVERY: Micros = Micros::from_millis(800);

impl Autoscaler {
    /// A manager that does not lead yet.
    pub fn new(settings: &Settings, policy: &Policy) -> Self {
        Autoscaler {
            txn_ops: settings.max_mutations(),
            value_bytes: settings.platform.state.lowest_value_bytes(),
            horizon: policy.scale_out_horizon,
            ..Autoscaler::default()
        }
    }

    /// One look at everything. Called often; does little when nothing is due.
    pub fn step(&mut self, now: Micros, fleet: &FleetSnapshot<'_>) -> Vec<Effect> {
        let FleetSnapshot {
            cache,
            leader,
            seen,
            types,
            news,
            ..
        } = *fleet;
        if self.leader_revision != leader.revision {
            // What an earlier leadership knew is stale; answers still out are dropped by
            // their names. Its rentals are in the store.
            *self = Autoscaler {
                txn_ops: self.txn_ops,
                value_bytes: self.value_bytes,
                horizon: self.horizon,
                leader_revision: leader.revision,
                counter: self.counter,
                ..Autoscaler::default()
            };
        }
        let mut out = Vec::new();
        if now.since(self.stepped) < STEP_EVERY {
            return out;
        }
        self.stepped = now;
        if seen >= self.wait_for {
            // Before that the cache may show rentals that are settled.
            self.adopt_rentals(now, cache);
        }
        if !self.listing && now.since(self.listed_at) >= LIST_EVERY {
            self.listing = true;
            self.listed_at = now;
            out.push(Effect::Cloud(CloudRequest::Machines));
        }
        if now.since(self.scanned) >= SCAN_EVERY {
            self.scanned = now;
            self.find_returns(now, cache, types, news);
            self.find_moves(cache);
        }
        self.ask_returns(now, &mut out);
        if !self.writing && seen >= self.wait_for {
            if self.unfenced {
                out.push(self.fence(cache, leader));
            } else if let Some(split) = self.split_oversize(now, cache, leader) {
                out.push(split);
            } else {
                out.extend(self.change_machines(cache, leader, types, news));
            }
        }
        self.ask_rentals(now, cache, leader, &mut out);
        self.rent(now, fleet, &mut out);
        out
    }

    /// Hires that an earlier leader recorded are repeated under their names.
    fn adopt_rentals(&mut self, now: Micros, cache: &WatchCache) {
        for (name, (_, rec)) in &cache.scale_outs {
            self.rentals
                .entry(name.clone())
                .or_insert_with(|| (rec.clone(), ScaleOutState::Ask(now)));
        }
    }

    /// Takes in the cloud's answer.
    pub fn handle_cloud_reply(&mut self, now: Micros, request: CloudRequest, reply: CloudReply) {
        match (request, reply) {
            (CloudRequest::Machines, reply) => {
                self.listing = false;
                if let CloudReply::Machines(list) = reply {
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
            (CloudRequest::ScaleOut(name, rental), reply) => {
                let Some((_, state)) = self.rentals.get_mut(&name) else {
                    return;
                };
                let offer = InstanceOffer {
                    machine_type: rental.machine_type.clone(),
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
                        *state = ScaleOutState::Rented(ids);
                    }
                    CloudReply::NoCapacity => {
                        let b = self.backoff.entry(offer).or_default();
                        b.times += 1;
                        b.until = now + Micros::from_millis(5_000 << b.times.min(3));
                        *state = ScaleOutState::Refused;
                        self.credits.remove(&name);
                    }
                    // It may have been carried out: only the same name may ask again.
                    _ => *state = ScaleOutState::Ask(now + Micros::from_millis(1_500)),
                }
            }
            (CloudRequest::Release(ids), reply) => {
                self.return_out.clear();
                for id in ids {
                    if reply == CloudReply::Released {
                        self.returning.remove(&id);
                        self.missing.remove(&id);
                        self.list.remove(&id);
                        self.returned.insert(id);
                    } else if let Some(at) = self.returning.get_mut(&id) {
                        *at = Some(now + Micros::from_millis(1_000));
                    }
                }
            }
            (CloudRequest::MachineTypes, _) => {}
        }
    }

    /// Takes in the store's answer to a write.
    pub fn handle_store_reply(&mut self, now: Micros, write: Write, reply: &Reply) {
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
                    Reply::Conflict(_) | Reply::Rejected => {}
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
            Write::ScaleOut { name, .. } => {
                let Some((_, state)) = self.rentals.get_mut(&name) else {
                    return;
                };
                match reply {
                    Reply::Committed(_) => *state = ScaleOutState::Ask(now),
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
                    *state = ScaleOutState::Refused;
                }
            }
        }
    }
}

/// The machine types, shared.
pub type MachineTypes = Arc<Vec<MachineType>>;
