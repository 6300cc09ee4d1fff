//! The reasons for which a submission is refused permanently. Users read their texts in the
//! answer to the submission.

use super::MAX_TASKS;
use crate::ids::JobId;

/// The reason why a submission is refused permanently. A retry of the same submission would be
/// refused, too.
#[derive(Debug, thiserror::Error)]
pub enum SubmissionError {
    /// The submission can't be parsed, or a field is missing or invalid.
    #[error(transparent)]
    Malformed(#[from] MalformedJob),
    /// The submission is well formed, but the job can never run on this cluster.
    #[error(transparent)]
    NeverRuns(#[from] UnsatisfiableJob),
}

/// The fault in the text of a malformed submission. Error texts use the names that the fields have
/// on the wire.
#[derive(Debug, thiserror::Error)]
pub enum MalformedJob {
    /// The body is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The body is valid JSON, but not an object.
    #[error("not a JSON object")]
    NotAnObject,
    /// A field is missing or has a value of the wrong type.
    #[error("a field is missing or invalid: {0}")]
    InvalidField(#[source] serde_json::Error),
    /// The id does not have the form of a job id.
    #[error("id must be j- followed by digits")]
    InvalidId,
    /// The job has no task, or more tasks than a job may have.
    #[error("hands must be from 1 to {MAX_TASKS}")]
    TaskCountOutOfRange,
    /// An amount is negative or not finite.
    #[error("{field} must be finite and not negative")]
    InvalidAmount {
        /// Name of the field on the wire.
        field: &'static str,
    },
    /// A task requests neither cores nor accelerators nor memory.
    #[error("at least one of cores, cards and memGb must be greater than 0")]
    NoResources,
    /// A name is empty.
    #[error("{field} must not be empty")]
    EmptyName {
        /// Name of the field on the wire.
        field: &'static str,
    },
}

/// The reason why a well-formed job can never run on this cluster.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum UnsatisfiableJob {
    /// The settings have no team of this name.
    #[error("unknown team {0}")]
    UnknownTeam(String),
    /// The tasks that must run at the same time exceed the limit of the job's team: one task of an
    /// array, or all tasks of a service.
    #[error("the tasks that must run at the same time exceed their team's limit")]
    ExceedsTeamLimit,
    /// The job's record would exceed the size limit of a value in the key-value store.
    #[error("the job description is too long to be stored")]
    DescriptionTooLong,
    /// The job's record would exceed the size limit of a value in the key-value store because of
    /// its dependencies.
    #[error("the job depends on {named} jobs, but only about {recordable} can be stored")]
    TooManyDependencies {
        /// Number of dependencies that the job names.
        named: usize,
        /// Estimated number of dependencies that can be stored, if their ids are as long on
        /// average as those named.
        recordable: usize,
    },
    /// No machine type that the job allows has room for one task in a zone that the job allows.
    #[error("one task does not fit on any allowed machine type in any allowed zone")]
    NoFittingMachineType,
    /// At most half of the job's tasks may be in one zone, but only one zone is allowed.
    #[error("apart requires two zones, but the tasks are allowed in only one")]
    AntiAffinityInSingleZone,
    /// The job depends on a job that was never accepted.
    #[error("the job depends on {0}, which was never accepted")]
    UnknownDependency(JobId),
}
