//! What the store keeps of jobs, and how a job stands.

use super::JobDesc;
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::{Label, Term};
use crate::store::KeyValue;
use serde::{Deserialize, Serialize};

/// What the store keeps of a job that is not over. It never changes, so that
/// watchers do not read a description again with every finished task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What its user asked for.
    pub desc: JobDesc,
    /// Time of day at which it was accepted.
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
    /// Finished tasks of this page.
    pub done: Vec<(u32, u32)>,
    /// How many tasks run, of the whole job; in the first page only.
    #[serde(default)]
    pub running: u32,
}

/// How a job stands, as its user is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// No task runs.
    Pending,
    /// A task runs.
    Running,
    /// Every task is done.
    Done,
    /// Its user has cancelled it.
    Cancelled,
}

/// What each task of a job takes, and whose limit it counts against.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Footprint {
    /// The team's name.
    pub team: String,
    /// What a task takes.
    pub request: Resources,
}

/// What the store keeps of a job that is over. It never changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndedRecord {
    /// How it ended.
    #[serde(rename = "standing")]
    pub state: JobState,
    /// How many tasks it had.
    pub tasks: u32,
    /// For a later owner that finds an attempt of it still on a machine. Records of
    /// earlier versions lack it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub footprint: Option<Footprint>,
    /// Time of day at which it ended, from which the times of jobs that need it count.
    /// Records of earlier versions lack it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "at")]
    pub ended_at: Option<Micros>,
}

impl EndedRecord {
    /// The record that the store answered with. One that can't be read says nothing, least
    /// of all that the job is done.
    pub fn read(row: &KeyValue) -> Result<EndedRecord, serde_json::Error> {
        EndedRecord::deserialize(&row.value)
    }
}
