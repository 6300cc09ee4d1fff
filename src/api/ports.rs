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

/// Where the users' and workers' side learns from and speaks to.
#[derive(Clone)]
pub struct ApiChannels {
    /// What the core has published.
    pub view: watch::Receiver<Arc<ApiView>>,
    /// Requests to the state service.
    pub questions: mpsc::Sender<StoreQuery>,
    /// Workers' reports.
    pub reports: mpsc::Sender<HeartbeatRequest>,
    /// Questions how a job stands.
    pub asks: mpsc::Sender<StatusQuery>,
    /// Cancellations that the store has confirmed.
    pub cancels: mpsc::Sender<CancelledJob>,
}

/// A question to the state service from the users' side.
pub struct StoreQuery {
    /// What to ask.
    pub request: Request,
    /// Where the reply goes.
    pub answer: oneshot::Sender<Reply>,
}

/// A worker's report and where its answer goes.
pub struct HeartbeatRequest {
    /// What the worker reported.
    pub report: Heartbeat,
    /// Where the answer goes.
    pub answer: oneshot::Sender<HeartbeatAnswer>,
}

/// A cancellation that the store has confirmed.
pub struct CancelledJob {
    /// The cancelled job.
    pub job: JobId,
    /// The store's revision at which it was cancelled.
    pub revision: Revision,
}

/// A user's question how a job stands.
pub struct StatusQuery {
    /// The job that is asked about.
    pub id: JobId,
    /// Where the answer goes.
    pub answer: oneshot::Sender<JobLookup>,
}

/// The answer to a worker's report.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatAnswer {
    /// 200: the token and what to do.
    Accepted(HeartbeatResponse),
    /// 421: another node answers this machine.
    Redirect(Label),
    /// 503: nobody is known to be entitled just now.
    Unavailable,
}

/// What the users' side needs to know, published whenever it changes.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ApiView {
    /// The machine types, once they are known.
    pub types: Option<Arc<Vec<MachineType>>>,
    /// For each team: its partition, and the revision and term of the partition's grant.
    pub teams: Vec<(PartitionId, Revision, Term)>,
    /// Whether users should come to this controller.
    pub healthy: bool,
    /// The format level that every controller understands.
    pub format: FormatLevel,
}
