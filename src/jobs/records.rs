//! The records of jobs in the key-value store, and the job states that users see.

use super::JobDesc;
use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::{Label, Term};
use crate::store::KeyValue;
use serde::{Deserialize, Serialize};

/// The record of a live job. It never changes while the job lives, so that a finished task does
/// not make watchers read the job's description again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The description that the user submitted.
    pub desc: JobDesc,
    /// Wall-clock time at which the job was accepted.
    #[serde(rename = "at")]
    pub accepted_at: Micros,
    /// The term of the team's partition when the job was accepted. No owner of an earlier term can
    /// have run the job.
    #[serde(rename = "born")]
    pub accepted_term: Term,
}

/// A page, or a part of a page, of a job's progress. It is written by the job's owner.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// The controller that wrote the record.
    pub owner: Option<Label>,
    /// Finished tasks of this record as half-open ranges of indexes.
    pub done: Vec<(u32, u32)>,
    /// Number of running tasks of the whole job in the first record; 0 in all others.
    #[serde(default)]
    pub running: u32,
}

/// The state of a job as users see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobState {
    /// The job has not ended, and none of its tasks runs.
    Pending,
    /// The job has not ended, and at least one of its tasks runs.
    Running,
    /// Every task is done.
    Done,
    /// The user cancelled the job, or a job on which it depends was cancelled.
    Cancelled,
}

/// The resources that each task of a job requests, and the team whose limit they count against.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Footprint {
    /// The team's name.
    pub team: String,
    /// The resources that a task requests.
    pub request: Resources,
}

/// The record of a job that has ended. It never changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndedRecord {
    /// The final state of the job.
    #[serde(rename = "standing")]
    pub state: JobState,
    /// Number of tasks of the job.
    pub tasks: u32,
    /// The job's footprint, for a later owner that finds an attempt of the job still on a machine.
    /// `None` in records of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub footprint: Option<Footprint>,
    /// Wall-clock time at which the job ended. The waiting time of the jobs that depend on it is
    /// measured from this time. `None` in records of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "at")]
    pub ended_at: Option<Micros>,
}

impl EndedRecord {
    /// Parses the record in a row of the store. Returns an error if the record can't be read. The
    /// caller must not take such a job for done.
    pub fn read(row: &KeyValue) -> Result<EndedRecord, serde_json::Error> {
        EndedRecord::deserialize(&row.value)
    }
}
