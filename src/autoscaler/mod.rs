//! The leader's autoscaler. It decides which instances to scale out, which machines to release,
//! and in which partition each machine is recorded.
//!
//! It owns the requests to the cloud and the writes of machine shards and scale-out records.
//! Its inputs are a [`FleetSnapshot`] and the replies to its requests and writes, and its outputs
//! are [`Effect`]s. It does no I/O and reads no clock. Every write compares the revision of the
//! leader's key, so no write is carried out once another controller leads. The state in memory
//! lasts for one leadership. State that has to last longer is recorded in the store.

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

/// Minimum interval between two steps of the autoscaler.
const STEP_INTERVAL: Micros = Micros::from_millis(150);

/// Minimum interval between two scans of all machines for those to release, move or adopt.
const SCAN_INTERVAL: Micros = Micros::from_millis(800);

/// Maximum age of an owner's report of its partition. Older reports cause no scale-outs and no
/// releases.
const PARTITION_STATE_MAX_AGE: Micros = Micros::from_millis(4_000);

/// Identifies a write of the autoscaler when the store's reply is handled.
#[derive(Debug, Clone, PartialEq)]
pub enum Write {
    /// The write changes machine shards.
    RecordMachines {
        /// Names of the scale-outs whose machines are all recorded by the write. It deletes the
        /// records of these scale-outs.
        completed_scale_outs: Vec<String>,
    },
    /// The write makes an earlier write of machine shards fail if the store has not carried that
    /// one out yet.
    Fence,
    /// The write replaces an oversize shard by its parts.
    SplitShard,
    /// The write records a scale-out before it is requested from the cloud.
    RecordScaleOut {
        /// Name under which the scale-out is requested from the cloud.
        name: String,
        /// Machines to scale out.
        record: ScaleOutRecord,
    },
    /// The write deletes the record of a scale-out that the cloud refused.
    DeleteScaleOut {
        /// Name under which the scale-out was requested from the cloud.
        name: String,
    },
}

/// An action that the caller of the autoscaler has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Compare-and-swap that the caller has to send to the store.
    CompareAndSwap {
        /// Identifies the write. The caller passes it to [`Autoscaler::handle_store_reply`] with
        /// the store's reply.
        write: Write,
        /// Conditions that must all hold for the mutations to be carried out.
        compares: Vec<Compare>,
        /// Changes to the store.
        mutations: Vec<Mutation>,
    },
    /// Request that the caller has to send to the cloud. The caller passes it to
    /// [`Autoscaler::handle_cloud_reply`] with the cloud's reply.
    Cloud(CloudRequest),
}

/// Inputs of one step of the autoscaler.
#[derive(Clone, Copy)]
pub struct FleetSnapshot<'a> {
    /// The store's records as this controller has read them.
    pub cache: &'a WatchCache,
    /// Compare that holds only while this controller leads.
    pub leader: &'a Compare,
    /// Revision of the store up to which the cache includes all changes.
    pub applied_revision: Revision,
    /// Machine types that the cloud offers.
    pub machine_types: &'a [MachineType],
    /// Latest report of each partition's owner.
    pub partition_states: &'a BTreeMap<PartitionId, PartitionState>,
    /// Returns whether machines may be scaled out in a zone.
    pub scale_out_access: &'a dyn Fn(&str) -> ScaleOutAccess,
}

impl<'a> FleetSnapshot<'a> {
    fn machine_type(&self, name: &str) -> Option<&'a MachineType> {
        self.machine_types
            .iter()
            .find(|machine_type| machine_type.name == name)
    }
}

/// The autoscaler of a controller. Its steps run only while the controller leads.
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
    /// Creates the autoscaler of a controller that has not led yet.
    pub fn new(settings: &Settings, policy: &Policy) -> Self {
        let limits = WriteLimits {
            max_mutations: settings.max_mutations(),
            max_value_bytes: settings.platform.state.lowest_value_bytes(),
        };
        Autoscaler::initial(limits, ScaleOuts::new(policy.scale_out_horizon))
    }

    fn initial(limits: WriteLimits, scale_outs: ScaleOuts) -> Self {
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

    /// Returns the requests and writes that are due at `now`. It may be called at any rate: it
    /// returns nothing until the minimum interval since the last step has passed.
    pub fn step(&mut self, now: Micros, fleet: &FleetSnapshot<'_>) -> Vec<Effect> {
        let leader_revision = fleet.leader.revision;
        if self.scale_outs.leader_revision() != leader_revision {
            // The state of an earlier leadership is stale. The cloud's replies to its scale-outs
            // are ignored, because their names are unknown now. Its scale-outs are recorded in
            // the store and adopted from there.
            let scale_outs = self.scale_outs.for_leadership(leader_revision);
            *self = Autoscaler::initial(self.limits, scale_outs);
        }
        let mut effects = Vec::new();
        if now.since(self.last_step_at) < STEP_INTERVAL {
            return effects;
        }
        self.last_step_at = now;
        if self.shard_writes.are_visible_at(fleet.applied_revision) {
            // An older cache may still show the records of completed scale-outs.
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

    /// Handles the cloud's reply to a request.
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

    /// Handles the store's reply to a write.
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
