//! The endpoint for the workers' heartbeats.

use super::answers::WorkerAnswer;
use super::channels::{HeartbeatAnswer, HeartbeatRequest};
use super::connection_limiter::ConnectionLimiter;
use super::context::{ApiContext, UNREADABLE_BODY, read_body};
use crate::workers::Heartbeat;
use salvo::http::StatusCode;
use salvo::http::header::{CONNECTION, HeaderValue};
use salvo::prelude::{Request, Response, handler};
use std::time::Duration;
use tokio::sync::oneshot;

/// Timeout of the controller's answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Handler of `POST /checkin`.
pub(super) struct HeartbeatHandler {
    context: ApiContext,
    connection_limiter: ConnectionLimiter,
}

#[handler]
impl HeartbeatHandler {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let answer = match read_body(request).await {
            Some(body) => self.context.heartbeat(&body).await,
            None => WorkerAnswer::Malformed(UNREADABLE_BODY),
        };
        // A worker whose heartbeat is not accepted here connects to another controller. Near the
        // connection limit, a worker whose heartbeat is accepted opens a new connection for its
        // next heartbeat.
        if answer.status() != StatusCode::OK || self.connection_limiter.is_near_limit() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        answer.render(response);
    }
}

impl HeartbeatHandler {
    pub(super) fn new(context: ApiContext, connection_limiter: ConnectionLimiter) -> Self {
        HeartbeatHandler {
            context,
            connection_limiter,
        }
    }
}

impl ApiContext {
    /// Forwards a heartbeat to the controller and waits for the answer.
    pub(super) async fn heartbeat(&self, body: &[u8]) -> WorkerAnswer {
        let Ok(heartbeat) = serde_json::from_slice::<Heartbeat>(body) else {
            return WorkerAnswer::Malformed("malformed report");
        };
        let (answer, answered) = oneshot::channel();
        let request = HeartbeatRequest { heartbeat, answer };
        if self.channels.heartbeats.try_send(request).is_err() {
            return WorkerAnswer::Unavailable("this controller's heartbeat queue is full; retry");
        }
        match tokio::time::timeout(HEARTBEAT_TIMEOUT, answered).await {
            // This is the last check before the answer is sent: the answer may have been delayed
            // in the channel, and must not be sent after the expiry of the lease under which it
            // was decided.
            Ok(Ok(HeartbeatAnswer::Accepted(response)))
                if self.clock.now() < response.valid_until =>
            {
                WorkerAnswer::Accepted(response)
            }
            Ok(Ok(HeartbeatAnswer::Redirect(owner))) => WorkerAnswer::Redirect(owner),
            _ => WorkerAnswer::Unavailable("not entitled to answer"),
        }
    }
}
