//! What the core is told and what it decides: messages and effects, types only.

use crate::api::read_index::Found;
use crate::blocks::holder;
use crate::clock::Micros;
use crate::fleet::{CloudReply, CloudRequest, MachineType, manager};
use crate::ids::{BlockId, JobId, Label, MachineId, Revision, Term};
use crate::mesh::Message;
use crate::store::{Change, Reply, Request, Row, Urgency};
use crate::workers::{Direct, Orders, Report};
use std::sync::Arc;

/// Who asked the store, as the answer comes back.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreOperation {
    Member,
    LeaderLease,
    Candidacy,
    StepDown,
    Grants,
    Types,
    Sums,
    Resign(BlockId, Term),
    Holder(BlockId, Term, holder::Write),
    Ended(JobId),
    /// A job that a holder does not know, but a machine of its block shows.
    UnknownJob(BlockId, Term, JobId),
    GarbageCollection,
    Manager(Revision, manager::Write),
}

#[derive(Debug)]
pub enum Input {
    Tick,
    Loaded {
        rows: Vec<Row>,
        ledger: u64,
        sent: Micros,
    },
    Changes {
        log: Vec<Change>,
        ledger: u64,
        sent: Micros,
    },
    Stored {
        tag: StoreOperation,
        reply: Reply,
    },
    CheckIn {
        report: Report,
        ticket: u64,
    },
    /// How does this job stand?
    Ask {
        id: JobId,
        ticket: u64,
    },
    DirectAnswer {
        block: BlockId,
        term: Term,
        machine: MachineId,
        answer: DirectAnswer,
    },
    Cloud {
        request: CloudRequest,
        reply: CloudReply,
    },
    /// A peer's message.
    Mesh(Message),
    /// The store has confirmed to a user here that a job is cancelled.
    Cancelled {
        job: JobId,
        revision: Revision,
    },
}

#[derive(Debug)]
pub enum DirectAnswer {
    Report(Report),
    /// It surely did not go out.
    NotSent,
    /// It may still arrive.
    Lost,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Orders(Orders),
    /// 421: another node answers this machine.
    Elsewhere(Label),
    /// 503: nobody is known to be entitled just now.
    NotNow,
}

#[derive(Debug, PartialEq)]
pub enum Effect {
    Store {
        tag: StoreOperation,
        request: Request,
        urgency: Urgency,
    },
    Answer {
        ticket: u64,
        answer: Answer,
    },
    Found {
        ticket: u64,
        found: Found,
    },
    Do {
        block: BlockId,
        term: Term,
        machine: MachineId,
        addr: String,
        direct: Direct,
        /// Not to be sent from then on: our lease may be over.
        until: Micros,
    },
    Cloud(CloudRequest),
    /// To all peers.
    Mesh(Message),
    View(Arc<View>),
}

/// What the users' side needs to know, published whenever it changes.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct View {
    pub types: Option<Arc<Vec<MachineType>>>,
    /// For each team: its block, and the revision and term of the block's grant.
    pub teams: Vec<(BlockId, Revision, Term)>,
    pub healthy: bool,
}
