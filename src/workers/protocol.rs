//! The messages of the workers' HTTP interface: heartbeats, the responses to them, and direct
//! commands.
//!
//! The serde names are fixed by the interface and must never change. The Rust names follow the
//! usual terms of cluster schedulers.

use crate::clock::Micros;
use crate::ids::{AttemptId, FencingToken, MachineId};
use serde::{Deserialize, Serialize};

/// The phase of an attempt's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptPhase {
    /// The owner decided to launch the attempt, and no accepted heartbeat has shown it yet.
    /// Workers never report this phase.
    #[serde(skip)]
    Launching,
    /// The machine is fetching the attempt's image.
    Pulling,
    /// The attempt runs.
    Running,
    /// The attempt is being stopped and saves a checkpoint of its progress.
    Saving,
    /// The attempt has ended. The worker reports it until it is reaped.
    Exited,
    /// A phase that this version does not know.
    #[serde(other)]
    Other,
}

/// The reason why an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// The attempt completed its task.
    Done,
    /// The attempt was stopped by a command.
    Stopped,
    /// The attempt failed.
    Error,
    /// The worker rejected the launch: the machine has too little free capacity.
    NoRoom,
    /// The worker rejected the launch: another attempt of the task is on the machine.
    InUse,
    /// The worker rejected the launch: the job or the task does not exist.
    Unknown,
    /// A cause that this version does not know.
    #[serde(other)]
    Other,
}

/// The status of one attempt in a worker's heartbeat.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct TaskStatus {
    /// The task, in the form `job/index`.
    #[serde(rename = "hand")]
    pub task: String,
    /// The attempt of the task.
    #[serde(rename = "try")]
    pub attempt: AttemptId,
    /// The attempt's phase.
    #[serde(rename = "standing")]
    pub phase: AttemptPhase,
    /// The reason why the attempt ended; `None` while it has not ended.
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
    /// Number of the agent epoch. It increases each time the worker's lease expires, which
    /// makes the worker stop all of its tasks.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// Number of the heartbeat. It increases with each heartbeat of an agent epoch.
    #[serde(rename = "tally")]
    pub heartbeat_sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Seconds until the cloud preempts the machine; `None` if the cloud has given no notice.
    #[serde(rename = "warningS", default)]
    pub termination_notice_s: Option<f64>,
    /// The status of every attempt on the machine.
    #[serde(rename = "hands")]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker about one attempt.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum WorkerCommand {
    /// Starts an attempt.
    Launch {
        /// The task, in the form `job/index`.
        #[serde(rename = "hand")]
        task: String,
        /// The attempt of the task.
        #[serde(rename = "try")]
        attempt: AttemptId,
    },
    /// Stops an attempt.
    #[serde(rename = "halt")]
    Stop {
        /// The task, in the form `job/index`.
        #[serde(rename = "hand")]
        task: String,
        /// The attempt of the task.
        #[serde(rename = "try")]
        attempt: AttemptId,
        /// Time that the attempt may take to save its checkpoint, in seconds.
        #[serde(rename = "leewayS")]
        grace_period_s: f64,
    },
    /// Makes the worker forget an attempt that has ended.
    Reap {
        /// The task, in the form `job/index`.
        #[serde(rename = "hand")]
        task: String,
        /// The attempt of the task.
        #[serde(rename = "try")]
        attempt: AttemptId,
    },
}

impl WorkerCommand {
    /// Whether the command starts an attempt.
    pub fn is_launch(&self) -> bool {
        matches!(self, WorkerCommand::Launch { .. })
    }
}

/// The response to a heartbeat. It renews the worker's lease.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct HeartbeatResponse {
    /// The fencing token under which the response is sent.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// The commands that the worker is to carry out, in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
    /// Instant from which the response must not be sent, because the owner's lease may have
    /// expired.
    #[serde(skip)]
    pub valid_until: Micros,
}

/// Commands that are sent directly to a worker, not in the response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DirectCommand {
    /// The fencing token under which the command is sent.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// The agent epoch for which the command is meant. The worker rejects the command in any
    /// other epoch.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// The commands that the worker is to carry out, in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

#[cfg(test)]
mod tests;
