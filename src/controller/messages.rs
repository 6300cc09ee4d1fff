//! What the core is told and what it decides: messages and effects, types only.

use crate::api::read_index::Found;
use crate::blocks::{FormatLevel, holder};
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
    /// This controller's membership.
    Member,
    /// The lease that the leader's key is attached to.
    LeaderLease,
    /// Becoming the leader.
    Candidacy,
    /// Giving up the lead.
    StepDown,
    /// Grants of blocks.
    Grants,
    /// The list of machine types.
    Types,
    /// The teams' sums.
    Sums,
    /// Handing a block back.
    Resign(BlockId, Term),
    /// A holder's write, for the block and the term that it was made under.
    Holder(BlockId, Term, holder::Write),
    /// The record of an ended job that a user asks about.
    Ended(JobId),
    /// A job that a holder does not know, but a machine of its block shows.
    UnknownJob(BlockId, Term, JobId),
    /// The record of an ended job that others need.
    DependencyEnd(JobId),
    /// The format level that every controller understands.
    Format,
    /// Clearing what ended jobs left behind.
    GarbageCollection,
    /// The states of all zones.
    Zones,
    /// A write of the fleet's manager, under this leadership.
    Manager(Revision, manager::Write),
}

/// A message to the core.
#[derive(Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The store was read from the start.
    Loaded {
        /// All that is below the root.
        rows: Vec<Row>,
        /// The revision that the reading has reached.
        ledger: u64,
        /// When the reading was asked for.
        sent: Micros,
    },
    /// Changes of the store since the last reading.
    Changes {
        /// The changes in their order.
        log: Vec<Change>,
        /// The revision that the reading has reached.
        ledger: u64,
        /// When the reading was asked for.
        sent: Micros,
    },
    /// The store's answer.
    Stored {
        /// What was asked.
        tag: StoreOperation,
        /// What it answered.
        reply: Reply,
    },
    /// A worker's report.
    CheckIn {
        /// What it reported.
        report: Report,
        /// Names the answer.
        ticket: u64,
    },
    /// How does this job stand?
    Ask {
        /// The job that is asked about.
        id: JobId,
        /// Names the answer.
        ticket: u64,
    },
    /// What became of a direct command.
    DirectAnswer {
        /// The block that the machine was in.
        block: BlockId,
        /// The term under which it was sent.
        term: Term,
        /// The machine that it was sent to.
        machine: MachineId,
        /// The answer, or that there is none.
        answer: DirectAnswer,
    },
    /// The cloud's answer.
    Cloud {
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
    Report(Report),
    /// It surely did not go out.
    NotSent,
    /// It may still arrive.
    Lost,
}

/// The answer to a worker's report.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// 200: the token and what to do.
    Orders(Orders),
    /// 421: another node answers this machine.
    Elsewhere(Label),
    /// 503: nobody is known to be entitled just now.
    NotNow,
}

/// What the core wants done.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Ask the state service.
    Store {
        /// Comes back with the answer.
        tag: StoreOperation,
        /// What to ask.
        request: Request,
        /// Who goes first when the budget is short.
        urgency: Urgency,
    },
    /// Answer a worker's report.
    Answer {
        /// Of the report.
        ticket: u64,
        /// The answer.
        answer: Answer,
    },
    /// Answer a question how a job stands.
    Found {
        /// Of the question.
        ticket: u64,
        /// The answer.
        found: Found,
    },
    /// Send a direct command.
    Do {
        /// The block that the machine is in.
        block: BlockId,
        /// The term under which it is sent.
        term: Term,
        /// The machine that it is for.
        machine: MachineId,
        /// The address of its worker.
        addr: String,
        /// The command.
        direct: Direct,
        /// Not to be sent from then on: our lease may be over.
        until: Micros,
    },
    /// Ask the cloud.
    Cloud(CloudRequest),
    /// To all peers.
    Mesh(Message),
    /// Publish what the users' side needs to know.
    View(Arc<View>),
}

/// What the users' side needs to know, published whenever it changes.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct View {
    /// The machine types, once they are known.
    pub types: Option<Arc<Vec<MachineType>>>,
    /// For each team: its block, and the revision and term of the block's grant.
    pub teams: Vec<(BlockId, Revision, Term)>,
    /// Whether users should come to this controller.
    pub healthy: bool,
    /// The format level that every controller understands.
    pub format: FormatLevel,
}
