//! Jobs: their descriptions, their records, and the states of their tasks.
//!
//! This module defines the description of a job and the checks of a submission, the job's records
//! in the key-value store, the state that the owner of a partition keeps of each live job, the
//! order of jobs inside a team, and the dependency graph. It uses no data of machines except
//! their ids, and must not decide where a task runs.

pub mod dependencies;
mod dependency_state;
mod description;
mod failure_backoff;
mod job;
mod policy_choice;
mod progress_pages;
pub mod ranges;
mod records;
mod scheduling_order;
mod submission_checks;
mod submission_error;
mod task_states;
mod write_state;

pub use description::{ImageKey, JobDesc, JobKind, MAX_TASKS, Priority, allows_machine_type};
pub use job::Job;
pub use policy_choice::PolicyChoice;
pub use progress_pages::{ProgressTransaction, tasks_per_page};
pub use records::{EndedRecord, Footprint, JobRecord, JobState, ProgressRecord};
pub use scheduling_order::{SchedulingOrder, Urgency};
pub use submission_error::{MalformedJob, SubmissionError, UnsatisfiableJob};

#[cfg(test)]
pub(crate) mod tests;
