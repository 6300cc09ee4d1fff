//! What all endpoints share: the settings, the clock, the channels to the controller, and
//! the requests that are sent over them.
//!
//! Owns the timeouts of these requests. A full channel is never waited for: the request is
//! refused at once, and the answer says when to retry.

use super::ports::{ApiChannels, StatusQuery, StoreQuery};
use super::read_index::JobLookup;
use crate::clock::MonotonicClock;
use crate::ids::JobId;
use crate::settings::Settings;
use crate::store::{self, Reply};
use salvo::prelude::Request;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// A request body may be at most this long.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// What is wrong with a body that can't be read.
pub(super) const UNREADABLE_BODY: &str = "the body is over 64 KiB or broken off";
/// How often a write is attempted that conflicts with someone else's changes.
pub(super) const MAX_WRITE_ATTEMPTS: usize = 4;
/// How long the store may take for a request.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// How long a lookup of a job may take. Longer than the read index keeps one pending.
const JOB_LOOKUP_TIMEOUT: Duration = Duration::from_millis(1_900);

/// What all endpoints share.
#[derive(Clone)]
pub(super) struct ApiContext {
    pub(super) settings: Arc<Settings>,
    pub(super) clock: MonotonicClock,
    pub(super) ports: ApiChannels,
}

impl ApiContext {
    /// Has the store carry out a request. Rejected: it was not sent; indeterminate: no reply
    /// came in time.
    pub(super) async fn execute(&self, request: store::Request) -> Reply {
        let (answer, reply) = oneshot::channel();
        let query = StoreQuery { request, answer };
        if self.ports.store_queries.try_send(query).is_err() {
            return Reply::Rejected;
        }
        match timeout(STORE_TIMEOUT, reply).await {
            Ok(Ok(reply)) => reply,
            _ => Reply::Indeterminate,
        }
    }

    /// Looks up a job by a linearizable read: a cache that lags might give an older state
    /// than one that some controller has answered with before.
    pub(super) async fn look_up_job(&self, id: &JobId) -> JobLookup {
        let (answer, lookup) = oneshot::channel();
        let id = id.clone();
        let query = StatusQuery { id, answer };
        if self.ports.status_queries.try_send(query).is_err() {
            return JobLookup::Unavailable;
        }
        match timeout(JOB_LOOKUP_TIMEOUT, lookup).await {
            Ok(Ok(lookup)) => lookup,
            _ => JobLookup::Unavailable,
        }
    }
}

/// The body of a request; none if it is too long or ends early.
pub(super) async fn read_body(request: &mut Request) -> Option<Vec<u8>> {
    let body = request.payload_with_max_size(MAX_BODY_BYTES).await;
    body.ok().map(|bytes| bytes.to_vec())
}

/// The job that a request's path names.
pub(super) fn job_in_path(request: &Request) -> String {
    request.param::<String>("id").unwrap_or_default()
}
