//! What the key-value store keeps of jobs, and the states that users see.

use super::JobDesc;
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::{Label, Term};
use crate::store::KeyValue;
use serde::{Deserialize, Serialize};

/// The record of a live job. It never changes, so that watchers do not read a description
/// again with every finished task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What its user submitted.
    pub desc: JobDesc,
    /// Wall-clock time at which it was accepted.
    #[serde(rename = "at")]
    pub accepted_at: Micros,
    /// The term of its team's partition then: no earlier owner can have run it.
    #[serde(rename = "born")]
    pub accepted_term: Term,
}

/// A page of a job's progress, written by its owner.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// Who wrote it.
    pub owner: Option<Label>,
    /// Finished tasks of this page as ranges, each with its end excluded.
    pub done: Vec<(u32, u32)>,
    /// How many tasks run, of the whole job; in the first page only.
    #[serde(default)]
    pub running: u32,
}

/// The state of a job as its user sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task runs.
    Pending,
    /// A task runs.
    Running,
    /// Every task is done.
    Done,
    /// Its user cancelled it, or a job before it was cancelled.
    Cancelled,
}

/// What each task of a job requests, and whose limit it counts against.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Footprint {
    /// The team's name.
    pub team: String,
    /// What a task requests.
    pub request: Resources,
}

/// The record of a job that has ended. It never changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndedRecord {
    /// The state that it ended in.
    #[serde(rename = "standing")]
    pub state: JobState,
    /// How many tasks it had.
    pub tasks: u32,
    /// For a later owner that finds an attempt of it still on a machine. Records of
    /// earlier versions lack it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub footprint: Option<Footprint>,
    /// Wall-clock time at which it ended, from which the waiting of its dependents counts.
    /// Records of earlier versions lack it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "at")]
    pub ended_at: Option<Micros>,
}

impl EndedRecord {
    /// The record in a row of the store. One that can't be read says nothing, and never
    /// that the job is done.
    pub fn read(row: &KeyValue) -> Result<EndedRecord, serde_json::Error> {
        EndedRecord::deserialize(&row.value)
    }
}
