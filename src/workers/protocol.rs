//! What workers report and are told: the messages of their HTTP interface.

use crate::clock::Micros;
use crate::ids::{AttemptId, FencingToken, MachineId};
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Ours alone: the launch was decided, no report has shown it yet.
    #[serde(skip)]
    Launching,
    Pulling,
    Running,
    Saving,
    Exited,
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    Done,
    Stopped,
    Error,
    NoRoom,
    InUse,
    Unknown,
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct TaskReport {
    #[serde(rename = "hand")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: AttemptId,
    #[serde(rename = "standing")]
    pub phase: Phase,
    #[serde(default)]
    pub cause: Option<Cause>,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Report {
    #[serde(rename = "rig")]
    pub machine: MachineId,
    pub addr: String,
    pub build: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Begins anew each time the worker's lease ends.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Rises with each report of a session.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest that the worker has seen.
    #[serde(rename = "baton")]
    pub token: FencingToken,
    #[serde(rename = "warningS", default)]
    pub warning_s: Option<f64>,
    #[serde(rename = "hands")]
    pub tasks: Vec<TaskReport>,
}

#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Order {
    Launch {
        #[serde(rename = "hand")]
        task: String,
        #[serde(rename = "try")]
        attempt: AttemptId,
    },
    Halt {
        #[serde(rename = "hand")]
        task: String,
        #[serde(rename = "try")]
        attempt: AttemptId,
        #[serde(rename = "leewayS")]
        leeway_s: f64,
    },
    Reap {
        #[serde(rename = "hand")]
        task: String,
        #[serde(rename = "try")]
        attempt: AttemptId,
    },
}

/// The answer to a report that counts.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Orders {
    #[serde(rename = "baton")]
    pub token: FencingToken,
    pub orders: Vec<Order>,
    /// Not to be sent from then on: our lease may be over.
    #[serde(skip)]
    pub until: Micros,
}

/// Commands sent straight to a worker.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Direct {
    #[serde(rename = "baton")]
    pub token: FencingToken,
    #[serde(rename = "shift")]
    pub session: u64,
    pub orders: Vec<Order>,
}
