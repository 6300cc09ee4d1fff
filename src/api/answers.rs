//! The answers to users and workers, and their mapping to HTTP status, headers and JSON bodies.
//!
//! The statuses, the headers, the field names of the bodies and the texts that the tests in
//! `tests/wire_form.rs` compare are the protocol and must never change. Other texts in the field
//! `error` explain an error to people.

use super::read_index::JobLookup;
use crate::ids::{JobId, Label};
use crate::jobs::{EndedRecord, JobState, SubmissionError};
use crate::workers::HeartbeatResponse;
use salvo::http::StatusCode;
use salvo::http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use salvo::prelude::Response;
use serde_json::{Value, json};

/// Seconds after which a user should retry a request that cannot be answered now.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("1");

/// The reason why a user's request is rejected permanently.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(super) enum ApiError {
    /// The request cannot be parsed, or a field is missing or invalid.
    #[error("{0}")]
    Malformed(String),
    /// The job in the request does not exist.
    #[error("no such job")]
    UnknownJob,
    /// The submitted job can never run on this cluster.
    #[error("{0}")]
    NeverRuns(String),
}

impl ApiError {
    pub(super) fn status(&self) -> StatusCode {
        match self {
            ApiError::Malformed(_) => StatusCode::BAD_REQUEST,
            ApiError::UnknownJob => StatusCode::NOT_FOUND,
            ApiError::NeverRuns(_) => StatusCode::UNPROCESSABLE_ENTITY,
        }
    }
}

impl From<SubmissionError> for ApiError {
    fn from(error: SubmissionError) -> Self {
        match error {
            SubmissionError::Malformed(reason) => ApiError::Malformed(reason.to_string()),
            SubmissionError::NeverRuns(reason) => ApiError::NeverRuns(reason.to_string()),
        }
    }
}

/// The numbers of done and of running tasks of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TaskCounts {
    pub(super) done: u32,
    pub(super) running: u32,
}

/// The answer to a user's request.
#[derive(Debug, PartialEq)]
pub(super) enum UserAnswer {
    /// The request was carried out, and the job is in this state.
    Job {
        status: StatusCode,
        id: JobId,
        state: JobState,
        counts: Option<TaskCounts>,
    },
    /// The request was rejected permanently, so a retry has the same outcome.
    Rejected(ApiError),
    /// The request cannot be decided or accepted now, for this reason. The user should retry.
    Unavailable(&'static str),
}

/// The answer to a user while the key-value store cannot be reached.
pub(super) const STORE_UNREACHABLE: UserAnswer =
    UserAnswer::Unavailable("the state service can't be reached");

impl UserAnswer {
    /// Logs and returns the permanent rejection of a submission.
    pub(super) fn rejected_submission(error: impl Into<SubmissionError>) -> Self {
        let error = error.into();
        tracing::info!(%error, "submission rejected");
        UserAnswer::Rejected(error.into())
    }

    /// Returns the state of a job that is known to have been accepted. A lookup that does not
    /// find the job is therefore answered as unavailable, never with "no such job".
    pub(super) fn known_job(lookup: JobLookup, id: &JobId) -> Self {
        match lookup {
            JobLookup::Live {
                state,
                done,
                running,
                ..
            } => UserAnswer::Job {
                status: StatusCode::OK,
                id: id.clone(),
                state,
                counts: Some(TaskCounts { done, running }),
            },
            JobLookup::Ended(record) => UserAnswer::ended_job(&record, id),
            JobLookup::NotFound | JobLookup::Unavailable => STORE_UNREACHABLE,
        }
    }

    /// Returns the state of an ended job.
    pub(super) fn ended_job(record: &EndedRecord, id: &JobId) -> Self {
        let done = match record.state {
            JobState::Done => record.tasks,
            _ => 0,
        };
        UserAnswer::Job {
            status: StatusCode::OK,
            id: id.clone(),
            state: record.state,
            counts: Some(TaskCounts { done, running: 0 }),
        }
    }

    pub(super) fn status(&self) -> StatusCode {
        match self {
            UserAnswer::Job { status, .. } => *status,
            UserAnswer::Rejected(error) => error.status(),
            UserAnswer::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn body(&self) -> Value {
        match self {
            UserAnswer::Job {
                id, state, counts, ..
            } => {
                let mut body = json!({"id": id, "standing": state});
                if let Some(counts) = counts {
                    body["done"] = counts.done.into();
                    body["running"] = counts.running.into();
                }
                body
            }
            UserAnswer::Rejected(error) => json!({"error": error.to_string()}),
            UserAnswer::Unavailable(reason) => json!({"error": reason}),
        }
    }

    /// Writes the answer to the response.
    pub(super) fn render(&self, response: &mut Response) {
        if matches!(self, UserAnswer::Unavailable(_)) {
            response.headers_mut().insert(RETRY_AFTER, RETRY_AFTER_S);
        }
        send_json(response, self.status(), &self.body());
    }
}

/// The answer to a worker's heartbeat.
#[derive(Debug, PartialEq)]
pub(super) enum WorkerAnswer {
    /// The heartbeat was accepted: the fencing token and the commands for the worker.
    Accepted(HeartbeatResponse),
    /// The heartbeat cannot be parsed, for this reason.
    Malformed(&'static str),
    /// The machine's partition belongs to this controller, to which the worker should send its
    /// heartbeats.
    Redirect(Label),
    /// This controller cannot answer the heartbeat now, for this reason.
    Unavailable(&'static str),
}

impl WorkerAnswer {
    pub(super) fn status(&self) -> StatusCode {
        match self {
            WorkerAnswer::Accepted(_) => StatusCode::OK,
            WorkerAnswer::Malformed(_) => StatusCode::BAD_REQUEST,
            WorkerAnswer::Redirect(_) => StatusCode::MISDIRECTED_REQUEST,
            WorkerAnswer::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    pub(super) fn body(&self) -> Value {
        match self {
            WorkerAnswer::Accepted(response) => json!(response),
            WorkerAnswer::Redirect(label) => json!({"answerTo": label}),
            WorkerAnswer::Malformed(reason) | WorkerAnswer::Unavailable(reason) => {
                json!({"error": reason})
            }
        }
    }

    /// Writes the answer to the response.
    pub(super) fn render(&self, response: &mut Response) {
        send_json(response, self.status(), &self.body());
    }
}

/// Writes a status and a JSON body to the response.
pub(super) fn send_json(response: &mut Response, status: StatusCode, body: &Value) {
    response.status_code(status);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    // Fails only if the response already has a body.
    let _ = response.write_body(body.to_string());
}
