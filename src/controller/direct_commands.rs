//! Commands that go straight to a worker, without waiting for its next heartbeat.
//!
//! Each is sent at most once: whether it is repeated is for the core to decide.

use super::messages::DirectAnswer;
use crate::http_client::{ConnectionPool, HttpRequest, RequestError};
use crate::workers::{DirectCommand, Heartbeat};
use std::time::Duration;

/// The request that carries a command to a worker.
pub(crate) fn direct_request(command: &DirectCommand) -> Result<HttpRequest, serde_json::Error> {
    let body = serde_json::to_value(command)?;
    Ok(HttpRequest::post("/do".into(), body))
}

/// Sends a command and waits for the worker's heartbeat after it, for `within` at most.
pub(super) async fn send_direct_command(
    worker: &ConnectionPool,
    command: DirectCommand,
    within: Duration,
) -> DirectAnswer {
    let Ok(request) = direct_request(&command) else {
        return DirectAnswer::NotSent;
    };
    match worker.send(&request, within).await {
        Ok((200 | 409, body)) => match serde_json::from_slice::<Heartbeat>(&body) {
            Ok(heartbeat) => DirectAnswer::Heartbeat(heartbeat),
            Err(_) => DirectAnswer::Indeterminate,
        },
        Err(RequestError::NotSent) => DirectAnswer::NotSent,
        Ok(_) | Err(RequestError::NoAnswer) => DirectAnswer::Indeterminate,
    }
}
