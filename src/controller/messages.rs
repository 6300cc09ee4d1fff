//! What the core is told and what it decides: messages and effects, types only.

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

/// Who asked the store, as the answer comes back.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreOperation {
    /// This controller's membership.
    Membership,
    /// The lease that the leader's key is attached to.
    LeaderLease,
    /// Becoming the leader.
    Candidacy,
    /// Giving up the lead.
    StepDown,
    /// Grants of partitions.
    PartitionGrants,
    /// The list of machine types.
    MachineTypes,
    /// The teams' sums.
    TeamUsage,
    /// Handing a partition back.
    HandBackPartition(PartitionId, Term),
    /// An owner's write, for the partition and the term that it was made under.
    OwnedPartition(PartitionId, Term, partition_owner::Write),
    /// The record of an ended job that a user asks about.
    EndedJobLookup(JobId),
    /// A job that an owner does not know, but a machine of its partition shows.
    UnknownJob(PartitionId, Term, JobId),
    /// The record of an ended job that others need.
    DependencyEnd(JobId),
    /// The format level that every controller understands.
    FormatLevel,
    /// Clearing what ended jobs left behind.
    GarbageCollection,
    /// The states of all zones.
    Zones,
    /// A write of the fleet's manager, under this leadership.
    Autoscaler(Revision, autoscaler::Write),
}

/// A message to the core.
#[derive(Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The store was read from the start.
    Loaded {
        /// All that is below the root.
        entries: Vec<KeyValue>,
        /// The revision that the reading has reached.
        revision: u64,
        /// When the reading was asked for.
        requested_at: Micros,
    },
    /// Changes of the store since the last reading.
    Changes {
        /// The changes in their order.
        events: Vec<WatchEvent>,
        /// The revision that the reading has reached.
        revision: u64,
        /// When the reading was asked for.
        requested_at: Micros,
    },
    /// The store's answer.
    StoreReply {
        /// What was asked.
        operation: StoreOperation,
        /// What it answered.
        reply: Reply,
    },
    /// A worker's report.
    Heartbeat {
        /// What it reported.
        heartbeat: Heartbeat,
        /// Names the answer.
        request_id: u64,
    },
    /// How does this job stand?
    JobLookup {
        /// The job that is asked about.
        id: JobId,
        /// Names the answer.
        request_id: u64,
    },
    /// What became of a direct command.
    DirectCommandReply {
        /// The partition that the machine was in.
        partition: PartitionId,
        /// The term under which it was sent.
        term: Term,
        /// The machine that it was sent to.
        machine: MachineId,
        /// The answer, or that there is none.
        answer: DirectAnswer,
    },
    /// The cloud's answer.
    CloudReply {
        /// What was asked.
        request: CloudRequest,
        /// What it answered.
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

/// What became of a direct command.
#[derive(Debug)]
pub enum DirectAnswer {
    /// The worker's report after it.
    Heartbeat(Heartbeat),
    /// It surely did not go out.
    NotSent,
    /// It may still arrive.
    Indeterminate,
}

/// What the core wants done.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Ask the state service.
    StoreRequest {
        /// Comes back with the answer.
        operation: StoreOperation,
        /// What to ask.
        request: Request,
        /// Who goes first when the budget is short.
        priority: RequestPriority,
    },
    /// Answer a worker's report.
    AnswerHeartbeat {
        /// Of the report.
        request_id: u64,
        /// The answer.
        answer: HeartbeatAnswer,
    },
    /// Answer a question how a job stands.
    AnswerJobLookup {
        /// Of the question.
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
        /// Not to be sent from then on: our lease may be over.
        send_before: Micros,
    },
    /// Ask the cloud.
    Cloud(CloudRequest),
    /// To all peers.
    Mesh(Message),
    /// Publish what the users' side needs to know.
    PublishView(Arc<ApiView>),
}
