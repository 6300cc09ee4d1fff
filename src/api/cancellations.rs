//! The endpoint that cancels a job.
//!
//! A cancellation is idempotent: a repeat is answered with the state in which the job ended.

use super::answers::{ApiError, STORE_UNREACHABLE, UserAnswer};
use super::channels::CancelledJob;
use super::context::{ApiContext, MAX_WRITE_ATTEMPTS, job_in_path};
use super::read_index::JobLookup;
use crate::clock::wall_clock_now;
use crate::ids::{JobId, Revision};
use crate::jobs::{EndedRecord, JobState};
use crate::store::{self, Compare, Mutation, Reply, keys};
use salvo::http::StatusCode;
use salvo::prelude::{Request, Response, handler};

/// Handler of `POST /v1/jobs/{id}/abort`.
pub(super) struct CancelHandler(pub(super) ApiContext);

#[handler]
impl CancelHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let id = job_in_path(request);
        self.0.cancel(&id).await.render(response);
    }
}

impl ApiContext {
    /// Cancels a job. If the job has ended before, returns the state in which it ended.
    pub(super) async fn cancel(&self, id: &str) -> UserAnswer {
        let id = JobId::from(id);
        if !id.is_well_formed() {
            return UserAnswer::Rejected(ApiError::UnknownJob);
        }
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let (revision, ended) = match self.look_up_job(&id).await {
                JobLookup::Live {
                    revision,
                    tasks,
                    footprint,
                    ..
                } => {
                    let ended = EndedRecord {
                        state: JobState::Cancelled,
                        tasks,
                        footprint: Some(footprint),
                        ended_at: Some(wall_clock_now()),
                    };
                    (revision, ended)
                }
                JobLookup::NotFound => return UserAnswer::Rejected(ApiError::UnknownJob),
                JobLookup::Unavailable => return STORE_UNREACHABLE,
                found => return UserAnswer::known_job(found, &id),
            };
            match self.execute(cancellation(&id, revision, &ended)).await {
                Reply::Committed(revision) => return self.cancelled(id, revision),
                // Another write was committed first: the job has ended, or its record changed.
                Reply::Conflict(_) => {}
                _ => return STORE_UNREACHABLE,
            }
        }
        UserAnswer::Unavailable("the job changed during every attempt to cancel it; retry")
    }

    /// Notifies the controller of a cancellation that the store committed at `revision`, and
    /// returns the answer to the user.
    fn cancelled(&self, id: JobId, revision: Revision) -> UserAnswer {
        let job = id.clone();
        // If the queue is full, the notification is dropped: the owner of the job's partition
        // learns of the cancellation from its watch of the store.
        let notification = CancelledJob { job, revision };
        let _ = self.channels.cancellations.try_send(notification);
        UserAnswer::Job {
            status: StatusCode::OK,
            id,
            state: JobState::Cancelled,
            counts: None,
        }
    }
}

/// Returns the compare-and-swap that ends a job whose record was read at `revision`.
fn cancellation(id: &JobId, revision: Revision, ended: &EndedRecord) -> store::Request {
    store::Request::CompareAndSwap {
        compares: vec![
            Compare::new(keys::job(id), revision),
            Compare::new(keys::ended(id), Revision(0)),
        ],
        mutations: vec![
            Mutation::delete(keys::job(id)),
            Mutation::put(keys::ended(id), ended),
        ],
    }
}
