//! The leader's autoscaler: which instances to scale out, which machines to release, and which
//! partition each machine is recorded in.
//!
//! It owns the requests to the cloud and the writes of machines' shards and scale-out records.
//! It decides by a [`FleetSnapshot`] alone and returns [`Effect`]s; it never does I/O and reads
//! no clock. All of its writes name the leader's key, so none is carried out once another
//! controller leads. What it knows lives only as long as one leadership; what must outlive it
//! is in the store.

mod instance_list;
mod offers;
mod partition_balancer;
mod pending_capacity;
mod releases;
mod scale_out;
mod scale_outs;
mod shard_transaction;
mod shard_update;
mod shard_writes;

use crate::clock::Micros;
use crate::cloud::{CloudReply, CloudRequest, MachineType, ScaleOutRecord};
use crate::ids::{PartitionId, Revision};
use crate::mesh::PartitionState;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::store::{Compare, Mutation, Reply};
use crate::watch_cache::WatchCache;
use instance_list::InstanceList;
use releases::Releases;
use scale_outs::ScaleOuts;
use shard_writes::{ShardWrites, WriteLimits};
use std::collections::BTreeMap;
use zone_failover::leader::ScaleOutAccess;

/// How often the autoscaler decides.
const STEP_INTERVAL: Micros = Micros::from_millis(150);

/// How often all machines are scanned for those to release, move or adopt.
const SCAN_INTERVAL: Micros = Micros::from_millis(800);

/// How old an owner's report of its partition may be to be decided by.
const PARTITION_STATE_MAX_AGE: Micros = Micros::from_millis(4_000);

/// A write of the autoscaler, as it comes back with the store's reply.
#[derive(Debug, Clone, PartialEq)]
pub enum Write {
    /// Machines' shards.
    RecordMachines {
        /// The scale-outs whose machines are all recorded with it.
        completed_scale_outs: Vec<String>,
    },
    /// Makes an earlier write of machines fail, should it still be under way.
    Fence,
    /// A shard is recorded in parts.
    SplitShard,
    /// A scale-out, before the cloud gets the request.
    RecordScaleOut {
        /// The name that the cloud knows the scale-out by.
        name: String,
        /// What is to be scaled out.
        record: ScaleOutRecord,
    },
    /// The record of a scale-out that the cloud refused goes.
    DeleteScaleOut {
        /// The name that the cloud knows the scale-out by.
        name: String,
    },
}

/// What the autoscaler wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// A write to the store.
    CompareAndSwap {
        /// Handed back with the reply.
        write: Write,
        /// The conditions.
        compares: Vec<Compare>,
        /// The changes.
        mutations: Vec<Mutation>,
    },
    /// A request to the cloud.
    Cloud(CloudRequest),
}

/// What the autoscaler decides by.
#[derive(Clone, Copy)]
pub struct FleetSnapshot<'a> {
    /// What was read of the store.
    pub cache: &'a WatchCache,
    /// The condition that this controller still leads.
    pub leader: &'a Compare,
    /// The store's revision that the cache has reached.
    pub applied_revision: Revision,
    /// The machine types.
    pub machine_types: &'a [MachineType],
    /// What the partitions' owners last reported.
    pub partition_states: &'a BTreeMap<PartitionId, PartitionState>,
    /// Whether machines may be scaled out in a zone.
    pub scale_out_access: &'a dyn Fn(&str) -> ScaleOutAccess,
}

impl<'a> FleetSnapshot<'a> {
    fn machine_type(&self, name: &str) -> Option<&'a MachineType> {
        self.machine_types
            .iter()
            .find(|machine_type| machine_type.name == name)
    }
}

/// The autoscaler of a controller. It acts only while the controller leads.
pub struct Autoscaler {
    limits: WriteLimits,
    last_step_at: Micros,
    last_scan_at: Micros,
    instances: InstanceList,
    scale_outs: ScaleOuts,
    releases: Releases,
    shard_writes: ShardWrites,
}

impl Autoscaler {
    /// An autoscaler before its first leadership.
    pub fn new(settings: &Settings, policy: &Policy) -> Self {
        let limits = WriteLimits {
            max_mutations: settings.max_mutations(),
            max_value_bytes: settings.platform.state.lowest_value_bytes(),
        };
        Autoscaler::at_start(limits, ScaleOuts::new(policy.scale_out_horizon))
    }

    fn at_start(limits: WriteLimits, scale_outs: ScaleOuts) -> Self {
        Autoscaler {
            limits,
            last_step_at: Micros::ZERO,
            last_scan_at: Micros::ZERO,
            instances: InstanceList::default(),
            scale_outs,
            releases: Releases::default(),
            shard_writes: ShardWrites::new(limits),
        }
    }

    /// Decides what is to be done now. Called often; does little when nothing is due.
    pub fn step(&mut self, now: Micros, fleet: &FleetSnapshot<'_>) -> Vec<Effect> {
        let leader_revision = fleet.leader.revision;
        if self.scale_outs.leader_revision() != leader_revision {
            // What an earlier leadership knew is stale; replies under way are dropped by their
            // names. Its scale-outs are in the store.
            let scale_outs = self.scale_outs.under_leadership(leader_revision);
            *self = Autoscaler::at_start(self.limits, scale_outs);
        }
        let mut effects = Vec::new();
        if now.since(self.last_step_at) < STEP_INTERVAL {
            return effects;
        }
        self.last_step_at = now;
        if self.shard_writes.are_visible_at(fleet.applied_revision) {
            // Before that the cache may show scale-outs that are completed.
            self.scale_outs.adopt_recorded(now, fleet.cache);
        }
        effects.extend(self.instances.next_request(now).map(Effect::Cloud));
        if now.since(self.last_scan_at) >= SCAN_INTERVAL {
            self.last_scan_at = now;
            self.releases.scan(now, fleet, &self.instances);
            self.shard_writes
                .scan(fleet.cache, &self.instances, &self.scale_outs);
        }
        effects.extend(self.releases.next_request(now).map(Effect::Cloud));
        effects.extend(self.shard_writes.next_write(
            now,
            fleet,
            &self.instances,
            &self.scale_outs,
            &self.releases,
        ));
        self.scale_outs.advance(now, fleet, &mut effects);
        self.scale_outs
            .note_capacity_requests(now, fleet.partition_states);
        if !self.instances.is_first_requested_at(now) {
            self.scale_outs.request_capacity(now, fleet, &mut effects);
        }
        effects
    }

    /// Takes in the cloud's reply to a request.
    pub fn handle_cloud_reply(&mut self, now: Micros, request: CloudRequest, reply: CloudReply) {
        match request {
            CloudRequest::MachineTypes => {}
            CloudRequest::Machines => self.instances.handle_reply(reply),
            CloudRequest::ScaleOut { name, record } => {
                self.scale_outs
                    .handle_cloud_reply(now, &name, &record, reply);
            }
            CloudRequest::Release(machines) => {
                let is_released = reply == CloudReply::Released;
                self.releases.handle_reply(now, &machines, is_released);
                if is_released {
                    self.instances.mark_released(machines);
                }
            }
        }
    }

    /// Takes in the store's reply to a write.
    pub fn handle_store_reply(&mut self, now: Micros, write: Write, reply: &Reply) {
        match write {
            Write::RecordMachines {
                completed_scale_outs,
            } => {
                self.shard_writes.handle_machines_reply(reply);
                if matches!(reply, Reply::Committed(_)) {
                    self.scale_outs.complete(&completed_scale_outs);
                }
            }
            Write::Fence => self.shard_writes.handle_fence_reply(reply),
            Write::SplitShard => self.shard_writes.handle_split_reply(reply),
            Write::RecordScaleOut { name, .. } => {
                self.scale_outs.handle_record_reply(now, &name, reply);
            }
            Write::DeleteScaleOut { name } => {
                if let Reply::Committed(revision) = reply {
                    self.shard_writes.wait_for(*revision);
                }
                self.scale_outs.handle_delete_reply(&name, reply);
            }
        }
    }
}
