//! The channels between the HTTP interface and the controller, and the messages on them.
//!
//! The HTTP interface forwards requests and waits for the answers. Decisions are made by the
//! controller only.

use super::read_index::JobLookup;
use crate::cloud::MachineType;
use crate::ids::{JobId, Label, PartitionId, Revision, Term};
use crate::partitions::FormatLevel;
use crate::store::{Reply, Request};
use crate::workers::{Heartbeat, HeartbeatResponse};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

/// The HTTP interface's ends of the channels to the controller.
#[derive(Clone)]
pub struct ApiChannels {
    /// The latest view of the controller's state.
    pub view: watch::Receiver<Arc<ApiView>>,
    /// Channel for requests to the key-value store.
    pub store_queries: mpsc::Sender<StoreQuery>,
    /// Channel for workers' heartbeats.
    pub heartbeats: mpsc::Sender<HeartbeatRequest>,
    /// Channel for lookups of jobs.
    pub status_queries: mpsc::Sender<StatusQuery>,
    /// Channel for cancellations that the store has committed.
    pub cancellations: mpsc::Sender<CancelledJob>,
}

/// A request to the key-value store.
pub struct StoreQuery {
    /// The request.
    pub request: Request,
    /// Channel for the store's reply.
    pub answer: oneshot::Sender<Reply>,
}

/// A worker's heartbeat.
pub struct HeartbeatRequest {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// Channel for the controller's answer.
    pub answer: oneshot::Sender<HeartbeatAnswer>,
}

/// A cancellation that the store has committed.
pub struct CancelledJob {
    /// The cancelled job.
    pub job: JobId,
    /// The store's revision at which the cancellation was committed.
    pub revision: Revision,
}

/// A lookup of the state of a job.
pub struct StatusQuery {
    /// The job to look up.
    pub id: JobId,
    /// Channel for the result of the lookup.
    pub answer: oneshot::Sender<JobLookup>,
}

/// The answer to a worker's heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatAnswer {
    /// The heartbeat was accepted: the fencing token and the commands for the worker. Sent as
    /// status 200.
    Accepted(HeartbeatResponse),
    /// The machine's partition belongs to this controller. Sent as status 421.
    Redirect(Label),
    /// No owner of the machine's partition is known now. Sent as status 503.
    Unavailable,
}

/// The partition of a team, and the grant of the partition's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TeamPartition {
    /// The partition.
    pub partition: PartitionId,
    /// The revision of the partition's owner record; 0 if there is none.
    pub owner_revision: Revision,
    /// The fencing term of the owner's grant; 0 if there is none.
    pub term: Term,
}

/// The part of the controller's state that the HTTP interface needs, published at every change.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ApiView {
    /// The machine types; `None` until they are known.
    pub types: Option<Arc<Vec<MachineType>>>,
    /// The partition of each team, by the team's index in the settings.
    pub teams: Vec<TeamPartition>,
    /// Whether users should be routed to this controller.
    pub healthy: bool,
    /// The highest format level that every controller understands.
    pub format: FormatLevel,
}
