//! The types of the inputs that the core handles and of the effects that it returns.
//!
//! The driver converts requests, replies and messages to these types. The core has no other
//! input or output.

use crate::api::channels::{ApiView, HeartbeatAnswer};
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

/// Purpose of a request to the store. The driver returns it to the core with the reply.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreOperation {
    /// A step of this controller's registration as a member, or the renewal of its lease.
    Membership,
    /// Grant or renewal of the lease that the leader's key is attached to.
    LeaderLease,
    /// Write of the leader's key, by which this controller becomes the leader.
    Candidacy,
    /// Deletion of the leader's key, which ends the leadership of this controller or of an
    /// earlier incarnation of it.
    StepDown,
    /// Write of partition grants by the leader.
    PartitionGrants,
    /// Write of the list of machine types.
    MachineTypes,
    /// Write of the teams' usage of this controller's partitions.
    TeamUsage,
    /// Write by which the owner of a partition hands it back to the leader.
    HandBackPartition {
        /// The partition that is handed back.
        partition: PartitionId,
        /// Term under which the partition is owned.
        term: Term,
    },
    /// Write by the owner of a partition.
    PartitionWrite {
        /// The partition of the owner that writes.
        partition: PartitionId,
        /// Term under which the write was made.
        term: Term,
        /// Content of the write.
        write: partition_owner::Write,
    },
    /// Read of the record of an ended job that a user looks up.
    EndedJobLookup(JobId),
    /// Read of the ended record of a job that a machine of a partition reports, but that the
    /// owner of the partition does not know.
    UnknownJob {
        /// The partition of the machine.
        partition: PartitionId,
        /// Term under which the partition is owned.
        term: Term,
        /// The job that the owner does not know.
        job: JobId,
    },
    /// Read of the record of an ended job that other jobs depend on.
    DependencyEnd(JobId),
    /// Write of the format level that every controller understands.
    FormatLevel,
    /// Deletion of progress pages of ended jobs.
    GarbageCollection,
    /// Write of the states of all zones.
    Zones,
    /// Write by the autoscaler.
    AutoscalerWrite {
        /// Revision of the leader's key, which identifies the leadership under which the write
        /// was made.
        leader_revision: Revision,
        /// Content of the write.
        write: autoscaler::Write,
    },
}

/// Result of a full read of the store.
#[derive(Debug)]
pub struct StoreSnapshot {
    /// All keys below the root, with their values.
    pub entries: Vec<KeyValue>,
    /// Store revision after which the watch for changes begins.
    pub revision: Revision,
    /// Monotonic time at which the read was requested.
    pub requested_at: Micros,
}

/// Changes of the store since the last read, as a watch returned them.
#[derive(Debug)]
pub struct StoreChanges {
    /// The changes, in the order of their revisions. Empty if nothing has changed.
    pub events: Vec<WatchEvent>,
    /// Store revision that the watch has reached.
    pub revision: Revision,
    /// Monotonic time at which the watch was requested.
    pub requested_at: Micros,
}

/// Outcome of a direct command.
#[derive(Debug)]
pub enum DirectAnswer {
    /// Heartbeat by which the worker answered the command.
    Heartbeat(Heartbeat),
    /// The command was not sent, so the worker cannot receive it.
    NotSent,
    /// There is no valid answer: the worker may have received the command, or may still
    /// receive it.
    Indeterminate,
}

/// An input of the core.
#[derive(Debug)]
pub enum Input {
    /// Tick of the driver's timer, on which the core runs its periodic checks.
    Tick,
    /// Result of a full read of the store.
    Loaded(StoreSnapshot),
    /// Result of a watch of the store, with or without changes.
    Changes(StoreChanges),
    /// Reply of the store.
    StoreReply {
        /// Purpose of the request that the store replies to.
        operation: StoreOperation,
        /// Reply of the store.
        reply: Reply,
    },
    /// Heartbeat of a worker.
    Heartbeat {
        /// Content of the heartbeat.
        heartbeat: Heartbeat,
        /// Id that the answer to the heartbeat must have.
        request_id: u64,
    },
    /// Lookup of the state of a job by a user.
    JobLookup {
        /// The job that is looked up.
        id: JobId,
        /// Id that the answer to the lookup must have.
        request_id: u64,
    },
    /// Outcome of a direct command.
    DirectCommandReply {
        /// The partition of the machine when the command was sent.
        partition: PartitionId,
        /// Term under which the command was sent.
        term: Term,
        /// The machine that the command was sent to.
        machine: MachineId,
        /// Answer of the worker, or why there is none.
        answer: DirectAnswer,
    },
    /// Reply of the cloud.
    CloudReply {
        /// The request that the cloud replies to.
        request: CloudRequest,
        /// Reply of the cloud.
        reply: CloudReply,
    },
    /// Message from a peer.
    PeerMessage(Message),
    /// Cancellation of a job that a user of this controller requested and the store has
    /// committed.
    Cancelled {
        /// The cancelled job.
        job: JobId,
        /// Store revision at which the job was cancelled.
        revision: Revision,
    },
}

/// An effect that the core has decided on and the driver carries out.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Send a request to the store.
    StoreRequest {
        /// Purpose of the request, which is returned with the reply.
        operation: StoreOperation,
        /// The request to send.
        request: Request,
        /// Priority of the request when the request budget does not suffice for all.
        priority: RequestPriority,
    },
    /// Answer a worker's heartbeat.
    AnswerHeartbeat {
        /// Id of the heartbeat request.
        request_id: u64,
        /// Answer to the worker.
        answer: HeartbeatAnswer,
    },
    /// Answer a user's lookup of a job.
    AnswerJobLookup {
        /// Id of the lookup request.
        request_id: u64,
        /// Result of the lookup.
        lookup: JobLookup,
    },
    /// Send a direct command to a worker.
    SendDirectCommand {
        /// The partition of the machine.
        partition: PartitionId,
        /// Term under which the command is sent.
        term: Term,
        /// The machine that the command is for.
        machine: MachineId,
        /// Address of the machine's worker.
        addr: String,
        /// The command to send.
        command: DirectCommand,
        /// Time from which the command must not be sent, because the owner's lease may have
        /// expired by then.
        send_before: Micros,
    },
    /// Send a request to the cloud.
    Cloud(CloudRequest),
    /// Send a message to all peers.
    SendToPeers(Message),
    /// Publish a new view of this controller's state to the API.
    PublishView(Arc<ApiView>),
}
