//! The messages of the workers' HTTP interface: heartbeats, the responses to them, and direct
//! commands.
//!
//! The serde names are the interface's own and never change; the Rust names are the field's.

use crate::clock::Micros;
use crate::ids::{AttemptId, FencingToken, MachineId};
use serde::{Deserialize, Serialize};

/// How far an attempt has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptPhase {
    /// Known to the owner alone: the launch was decided, no heartbeat has shown it yet.
    #[serde(skip)]
    Launching,
    /// Waiting for its image.
    Pulling,
    /// Running.
    Running,
    /// Being stopped, and saving a checkpoint of its progress.
    Saving,
    /// Ended; the worker shows it until it is reaped.
    Exited,
    /// A value that this version does not know.
    #[serde(other)]
    Other,
}

/// Why an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// It completed.
    Done,
    /// It was stopped by a command.
    Stopped,
    /// It failed.
    Error,
    /// Rejected: not enough free capacity on the machine.
    NoRoom,
    /// Rejected: another attempt of the task is on the machine.
    InUse,
    /// Rejected: no such job or task.
    Unknown,
    /// A value that this version does not know.
    #[serde(other)]
    Other,
}

/// One attempt in a worker's heartbeat.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct TaskStatus {
    /// The task, as `job/index`.
    #[serde(rename = "hand")]
    pub task: String,
    /// Which attempt of the task.
    #[serde(rename = "try")]
    pub attempt: AttemptId,
    /// How far it has got.
    #[serde(rename = "standing")]
    pub phase: AttemptPhase,
    /// Why it ended, once it has.
    #[serde(default)]
    pub cause: Option<ExitCause>,
}

/// A worker's heartbeat, with the status of all tasks on its machine.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Heartbeat {
    /// The machine's name.
    #[serde(rename = "rig")]
    pub machine: MachineId,
    /// The address at which the worker takes direct commands.
    pub addr: String,
    /// The machine's type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// The machine's zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot instance, which the cloud may preempt.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Increases each time the worker's lease expires, when it stops all tasks.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// Increases with each heartbeat of an agent epoch.
    #[serde(rename = "tally")]
    pub heartbeat_sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Seconds until the cloud preempts the machine, once it has given notice.
    #[serde(rename = "warningS", default)]
    pub termination_notice_s: Option<f64>,
    /// All attempts on the machine.
    #[serde(rename = "hands")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker about one attempt.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum WorkerCommand {
    /// Start an attempt.
    Launch {
        /// The task, as `job/index`.
        #[serde(rename = "hand")]
        task: String,
        /// Which attempt of the task.
        #[serde(rename = "try")]
        attempt: AttemptId,
    },
    /// Stop an attempt.
    #[serde(rename = "halt")]
    Stop {
        /// The task, as `job/index`.
        #[serde(rename = "hand")]
        task: String,
        /// Which attempt of the task.
        #[serde(rename = "try")]
        attempt: AttemptId,
        /// How long it may take for its checkpoint, in seconds.
        #[serde(rename = "leewayS")]
        grace_period_s: f64,
    },
    /// Forget an attempt that has ended.
    Reap {
        /// The task, as `job/index`.
        #[serde(rename = "hand")]
        task: String,
        /// Which attempt of the task.
        #[serde(rename = "try")]
        attempt: AttemptId,
    },
}

/// The response to a heartbeat: it renews the worker's lease.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct HeartbeatResponse {
    /// The fencing token under which it is sent.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// What to do, in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
    /// Not to be sent from this instant on: the owner's lease may have expired.
    #[serde(skip)]
    pub valid_until: Micros,
}

/// Commands that are sent straight to a worker, not in a response.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DirectCommand {
    /// The fencing token under which it is sent.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// The agent epoch that it is meant for; the worker rejects it in another one.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// What to do, in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

#[cfg(test)]
mod tests;
