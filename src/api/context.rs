//! The context that all endpoints share: the settings, the clock, the channels to the
//! controller, and the requests that are sent over these channels.
//!
//! This module defines the timeouts of the requests. If a channel is full, the request is refused
//! immediately instead of waiting, and the answer says when to retry.

use super::channels::{ApiChannels, StatusQuery, StoreQuery};
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

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Error text for a request body that cannot be read.
pub(super) const UNREADABLE_BODY: &str = "the request body is larger than 64 KiB or incomplete";
/// Maximum number of attempts of a write that conflicts with concurrent writes.
pub(super) const MAX_WRITE_ATTEMPTS: usize = 4;
/// Timeout of a request to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Timeout of a lookup of a job. It is longer than the time for which the read index keeps a
/// lookup pending, so that the read index answers first.
const JOB_LOOKUP_TIMEOUT: Duration = Duration::from_millis(1_900);

/// The settings, clock and channels that all endpoints share.
#[derive(Clone)]
pub(super) struct ApiContext {
    pub(super) settings: Arc<Settings>,
    pub(super) clock: MonotonicClock,
    pub(super) channels: ApiChannels,
}

impl ApiContext {
    /// Sends a request to the store through the controller. Returns [`Reply::Rejected`] if the
    /// channel is full, and [`Reply::Indeterminate`] if there is no reply in time.
    pub(super) async fn execute(&self, request: store::Request) -> Reply {
        let (answer, reply) = oneshot::channel();
        let query = StoreQuery { request, answer };
        if self.channels.store_queries.try_send(query).is_err() {
            return Reply::Rejected;
        }
        match timeout(STORE_TIMEOUT, reply).await {
            Ok(Ok(reply)) => reply,
            _ => Reply::Indeterminate,
        }
    }

    /// Looks up a job by a linearizable read. A cache that lags could give an older state than
    /// one that another controller has already answered with.
    pub(super) async fn look_up_job(&self, id: &JobId) -> JobLookup {
        let (answer, lookup) = oneshot::channel();
        let id = id.clone();
        let query = StatusQuery { id, answer };
        if self.channels.status_queries.try_send(query).is_err() {
            return JobLookup::Unavailable;
        }
        match timeout(JOB_LOOKUP_TIMEOUT, lookup).await {
            Ok(Ok(lookup)) => lookup,
            _ => JobLookup::Unavailable,
        }
    }
}

/// Returns the body of a request, or `None` if the body is longer than `MAX_BODY_BYTES` or
/// incomplete.
pub(super) async fn read_body(request: &mut Request) -> Option<Vec<u8>> {
    let body = request.payload_with_max_size(MAX_BODY_BYTES).await;
    body.ok().map(|bytes| bytes.to_vec())
}

/// Returns the job id in the path of a request, or an empty string if there is none.
pub(super) fn job_in_path(request: &Request) -> String {
    request.param::<String>("id").unwrap_or_default()
}
