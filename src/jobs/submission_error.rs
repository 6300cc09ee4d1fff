//! Why a submission is refused for good.

use super::MAX_TASKS;
use crate::ids::JobId;

/// Why a submission is refused for good. Sent again, it would be refused again.
#[derive(Debug, thiserror::Error)]
pub enum SubmissionError {
    /// It can't be read, or a field is missing or invalid.
    #[error(transparent)]
    Malformed(#[from] MalformedJob),
    /// It can never run here.
    #[error(transparent)]
    NeverRuns(#[from] UnsatisfiableJob),
}

/// What is wrong with the text of a submission. Fields have their names on the wire.
#[derive(Debug, thiserror::Error)]
pub enum MalformedJob {
    /// The body is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The body is JSON, but no object.
    #[error("not an object")]
    NotAnObject,
    /// A field is missing or of another type.
    #[error("{0}")]
    InvalidField(#[source] serde_json::Error),
    /// The id is no job id.
    #[error("id must be j- and digits")]
    InvalidId,
    /// It has no task, or more than a job may have.
    #[error("hands must be from 1 to {MAX_TASKS}")]
    TaskCountOutOfRange,
    /// An amount is negative or not finite.
    #[error("{field} must be finite and not negative")]
    InvalidAmount {
        /// The field.
        field: &'static str,
    },
    /// A task requests neither cores nor accelerators nor memory.
    #[error("a task must take something of its machine")]
    NoResources,
    /// A name is empty.
    #[error("{field} is empty")]
    EmptyName {
        /// The field.
        field: &'static str,
    },
}

/// Why a well-formed job can never run here.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum UnsatisfiableJob {
    /// The settings have no such team.
    #[error("unknown team {0}")]
    UnknownTeam(String),
    /// What must run together exceeds the limit of its team.
    #[error("one task is over its team's limit")]
    ExceedsTeamLimit,
    /// Its record would exceed what a value may hold.
    #[error("its description is too long to be recorded")]
    DescriptionTooLong,
    /// Its record would exceed what a value may hold, for its dependencies.
    #[error("it names {named} jobs before it, and about {recordable} can be recorded")]
    TooManyDependencies {
        /// How many it names.
        named: usize,
        /// How many of that length can be recorded.
        recordable: usize,
    },
    /// No machine type that it allows has room for a task in a zone that it allows.
    #[error("a task fits no allowed machine type")]
    NoFittingMachineType,
    /// At most half of its tasks may be in one zone, and only one zone is allowed.
    #[error("its tasks must be apart, but only one zone is allowed")]
    AntiAffinityInSingleZone,
    /// It names a job that was never accepted.
    #[error("it names {0}, which was never accepted")]
    UnknownDependency(JobId),
}
