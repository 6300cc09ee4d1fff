//! The channels between the HTTP interface and the controller, and the messages on them.
//!
//! The interface decides nothing that the controller decides: it passes requests on and
//! waits for their answers.

use super::read_index::JobLookup;
use crate::cloud::MachineType;
use crate::ids::{JobId, Label, PartitionId, Revision, Term};
use crate::partitions::FormatLevel;
use crate::store::{Reply, Request};
use crate::workers::{Heartbeat, HeartbeatResponse};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

/// The interface's ends of the channels to the controller.
#[derive(Clone)]
pub struct ApiChannels {
    /// What the controller has published.
    pub view: watch::Receiver<Arc<ApiView>>,
    /// Requests to the key-value store.
    pub store_queries: mpsc::Sender<StoreQuery>,
    /// Workers' heartbeats.
    pub heartbeats: mpsc::Sender<HeartbeatRequest>,
    /// Lookups of jobs.
    pub status_queries: mpsc::Sender<StatusQuery>,
    /// Cancellations that the store has committed.
    pub cancellations: mpsc::Sender<CancelledJob>,
}

/// A request to the key-value store.
pub struct StoreQuery {
    /// The request.
    pub request: Request,
    /// Where the store's reply goes.
    pub answer: oneshot::Sender<Reply>,
}

/// A worker's heartbeat.
pub struct HeartbeatRequest {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// Where the answer goes.
    pub answer: oneshot::Sender<HeartbeatAnswer>,
}

/// A cancellation that the store has committed.
pub struct CancelledJob {
    /// The cancelled job.
    pub job: JobId,
    /// The store's revision at which it was cancelled.
    pub revision: Revision,
}

/// A lookup of a job.
pub struct StatusQuery {
    /// The job.
    pub id: JobId,
    /// Where the result goes.
    pub answer: oneshot::Sender<JobLookup>,
}

/// The answer to a worker's heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatAnswer {
    /// 200: the fencing token and the commands.
    Accepted(HeartbeatResponse),
    /// 421: the controller that owns the machine's partition.
    Redirect(Label),
    /// 503: no owner of the machine's partition is known just now.
    Unavailable,
}

/// The partition of a team, and its owner's grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TeamPartition {
    /// The partition.
    pub partition: PartitionId,
    /// The revision of the owner's record; 0 if there is none.
    pub owner_revision: Revision,
    /// The term of the owner's grant.
    pub term: Term,
}

/// What the interface needs to know of the controller's state, published at every change.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ApiView {
    /// The machine types, once they are known.
    pub types: Option<Arc<Vec<MachineType>>>,
    /// The partition of each team, by the team's index in the settings.
    pub teams: Vec<TeamPartition>,
    /// Whether users should be routed to this controller.
    pub healthy: bool,
    /// The format level that every controller understands.
    pub format: FormatLevel,
}
