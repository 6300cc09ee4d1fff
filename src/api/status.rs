//! The endpoint for the state of a job.

use super::answers::{ApiError, STORE_UNREACHABLE, UserAnswer};
use super::context::{ApiContext, job_in_path};
use super::read_index::JobLookup;
use crate::ids::JobId;
use salvo::prelude::{Request, Response, handler};

/// Handler of `GET /v1/jobs/{id}`.
pub(super) struct StatusHandler(pub(super) ApiContext);

#[handler]
impl StatusHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let id = job_in_path(request);
        self.0.status(&id).await.render(response);
    }
}

impl ApiContext {
    /// Returns the state of a job.
    pub(super) async fn status(&self, id: &str) -> UserAnswer {
        let id = JobId::from(id);
        if !id.is_well_formed() {
            return UserAnswer::Rejected(ApiError::UnknownJob);
        }
        match self.look_up_job(&id).await {
            JobLookup::NotFound => UserAnswer::Rejected(ApiError::UnknownJob),
            JobLookup::Unavailable => STORE_UNREACHABLE,
            found => UserAnswer::known_job(found, &id),
        }
    }
}
