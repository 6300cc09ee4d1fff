//! The messages that go into the core and the effects that come out of it: types only.
//!
//! Whoever feeds the core converts to these types at its edge; the core knows no other way in
//! or out.

use crate::api::ports::{ApiView, HeartbeatAnswer};
use crate::api::read_index::JobLookup;
use crate::autoscaler;
use crate::clock::Micros;
use crate::cloud::{CloudReply, CloudRequest};
use crate::ids::{JobId, MachineId, PartitionId, Revision, Term};
use crate::mesh::Message;
use crate::partition_owner;
use crate::store::{KeyValue, Reply, Request, RequestPriority, WatchEvent};
use crate::workers::{DirectCommand, Heartbeat};
use std::sync::Arc;

/// What a request to the store is for, as it comes back with the reply.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreOperation {
    /// This controller's membership.
    Membership,
    /// The lease that the leader's key is attached to.
    LeaderLease,
    /// Becoming the leader.
    Candidacy,
    /// Giving up leadership.
    StepDown,
    /// Grants of partitions.
    PartitionGrants,
    /// The list of machine types.
    MachineTypes,
    /// The teams' usage of this controller's partitions.
    TeamUsage,
    /// Handing a partition back.
    HandBackPartition {
        /// The partition.
        partition: PartitionId,
        /// The term that it is owned under.
        term: Term,
    },
    /// A write of a partition's owner.
    PartitionWrite {
        /// The partition.
        partition: PartitionId,
        /// The term that the write was made under.
        term: Term,
        /// What was written.
        write: partition_owner::Write,
    },
    /// The record of an ended job that a user looks up.
    EndedJobLookup(JobId),
    /// The record of a job that an owner does not know, but a machine of its partition runs.
    UnknownJob {
        /// The partition.
        partition: PartitionId,
        /// The term that it is owned under.
        term: Term,
        /// The job.
        job: JobId,
    },
    /// The record of an ended job that others depend on.
    DependencyEnd(JobId),
    /// The format level that every controller understands.
    FormatLevel,
    /// Deleting the progress pages of ended jobs.
    GarbageCollection,
    /// The states of all zones.
    Zones,
    /// A write of the autoscaler.
    AutoscalerWrite {
        /// The revision of the leader's key, which names the leadership.
        leader_revision: Revision,
        /// What was written.
        write: autoscaler::Write,
    },
}

/// All of the store's records, read from the start.
#[derive(Debug)]
pub struct StoreSnapshot {
    /// All that is below the root.
    pub entries: Vec<KeyValue>,
    /// The revision that the read has reached.
    pub revision: Revision,
    /// When the read was requested.
    pub requested_at: Micros,
}

/// Changes of the store since the last read.
#[derive(Debug)]
pub struct StoreChanges {
    /// The changes in their order.
    pub events: Vec<WatchEvent>,
    /// The revision that the read has reached.
    pub revision: Revision,
    /// When the read was requested.
    pub requested_at: Micros,
}

/// What became of a direct command.
#[derive(Debug)]
pub enum DirectAnswer {
    /// The worker's heartbeat after it.
    Heartbeat(Heartbeat),
    /// It was surely not sent.
    NotSent,
    /// It may still arrive.
    Indeterminate,
}

/// A message to the core.
#[derive(Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The store was read from the start.
    Loaded(StoreSnapshot),
    /// The store has changed, or has been read without a change.
    Changes(StoreChanges),
    /// The store's reply.
    StoreReply {
        /// What the request was for.
        operation: StoreOperation,
        /// The reply.
        reply: Reply,
    },
    /// A worker's heartbeat.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// Names the answer.
        request_id: u64,
    },
    /// A user looks up the state of a job.
    JobLookup {
        /// The job.
        id: JobId,
        /// Names the answer.
        request_id: u64,
    },
    /// What became of a direct command.
    DirectCommandReply {
        /// The partition that the machine was in.
        partition: PartitionId,
        /// The term under which the command was sent.
        term: Term,
        /// The machine that it was sent to.
        machine: MachineId,
        /// The answer, or that there is none.
        answer: DirectAnswer,
    },
    /// The cloud's reply.
    CloudReply {
        /// The request.
        request: CloudRequest,
        /// The reply.
        reply: CloudReply,
    },
    /// A peer's message.
    Mesh(Message),
    /// The store has confirmed to a user here that a job is cancelled.
    Cancelled {
        /// The cancelled job.
        job: JobId,
        /// The store's revision at which it was cancelled.
        revision: Revision,
    },
}

/// What the core decided, for the driver to carry out.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Send a request to the store.
    StoreRequest {
        /// Comes back with the reply.
        operation: StoreOperation,
        /// The request.
        request: Request,
        /// Which requests go first when the budget is short.
        priority: RequestPriority,
    },
    /// Answer a worker's heartbeat.
    AnswerHeartbeat {
        /// Of the heartbeat.
        request_id: u64,
        /// The answer.
        answer: HeartbeatAnswer,
    },
    /// Answer a user's lookup of a job.
    AnswerJobLookup {
        /// Of the lookup.
        request_id: u64,
        /// The answer.
        lookup: JobLookup,
    },
    /// Send a direct command.
    SendDirectCommand {
        /// The partition that the machine is in.
        partition: PartitionId,
        /// The term under which it is sent.
        term: Term,
        /// The machine that it is for.
        machine: MachineId,
        /// The address of its worker.
        addr: String,
        /// The command.
        command: DirectCommand,
        /// Not to be sent from then on: the owner's lease may have expired.
        send_before: Micros,
    },
    /// Send a request to the cloud.
    Cloud(CloudRequest),
    /// Send a message to all peers.
    Mesh(Message),
    /// Publish the API's view of this controller.
    PublishView(Arc<ApiView>),
}
