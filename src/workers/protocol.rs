//! What workers report and are told: the messages of their HTTP interface.

use crate::clock::Micros;
use crate::ids::{AttemptId, FencingToken, MachineId};
use serde::{Deserialize, Serialize};

/// How far an attempt has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Ours alone: the launch was decided, no report has shown it yet.
    #[serde(skip)]
    Launching,
    /// Waiting for its image.
    Pulling,
    /// Running.
    Running,
    /// Told to stop, and saving its progress.
    Saving,
    /// Over; the worker reports it until it is reaped.
    Exited,
    /// One that this version does not know.
    #[serde(other)]
    Other,
}

/// Why an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It completed.
    Done,
    /// It was told to stop.
    Stopped,
    /// It failed.
    Error,
    /// Refused: not enough room on the machine.
    NoRoom,
    /// Refused: another attempt of the task is on the machine.
    InUse,
    /// Refused: no such job or task.
    Unknown,
    /// One that this version does not know.
    #[serde(other)]
    Other,
}

/// One attempt in a worker's report.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct TaskStatus {
    /// The task, as `job/index`.
    #[serde(rename = "hand")]
    pub task: String,
    /// Which attempt of it.
    #[serde(rename = "try")]
    pub attempt: AttemptId,
    /// How far it has got.
    #[serde(rename = "standing")]
    pub phase: Phase,
    /// Why it ended.
    #[serde(default)]
    pub cause: Option<Cause>,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Heartbeat {
    /// The machine's name.
    #[serde(rename = "rig")]
    pub machine: MachineId,
    /// Where the worker takes direct commands.
    pub addr: String,
    /// The machine's type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// The machine's zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the cloud may take the machine back.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Begins anew each time the worker's lease ends.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// Rises with each report of a session.
    #[serde(rename = "tally")]
    pub heartbeat_sequence: u64,
    /// The highest that the worker has seen.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Seconds until the cloud takes the machine.
    #[serde(rename = "warningS", default)]
    pub warning_s: Option<f64>,
    /// All attempts on the machine.
    #[serde(rename = "hands")]
    pub tasks: Vec<TaskStatus>,
}

/// One thing for a worker to do.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum WorkerCommand {
    /// Start an attempt.
    Launch {
        /// The task, as `job/index`.
        #[serde(rename = "hand")]
        task: String,
        /// Which attempt of it.
        #[serde(rename = "try")]
        attempt: AttemptId,
    },
    /// Stop an attempt.
    #[serde(rename = "halt")]
    Stop {
        /// The task, as `job/index`.
        #[serde(rename = "hand")]
        task: String,
        /// Which attempt of it.
        #[serde(rename = "try")]
        attempt: AttemptId,
        /// How long it may take to save, in seconds.
        #[serde(rename = "leewayS")]
        grace_period_s: f64,
    },
    /// Forget an attempt that has ended.
    Reap {
        /// The task, as `job/index`.
        #[serde(rename = "hand")]
        task: String,
        /// Which attempt of it.
        #[serde(rename = "try")]
        attempt: AttemptId,
    },
}

/// The answer to a report that counts.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct HeartbeatResponse {
    /// The token under which it is given.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// What to do, in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
    /// Not to be sent from then on: our lease may be over.
    #[serde(skip)]
    pub valid_until: Micros,
}

/// Commands sent straight to a worker.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DirectCommand {
    /// The token under which it is given.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// The session that it is meant for.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// What to do, in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}
