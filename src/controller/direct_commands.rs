//! Direct commands: commands that are sent to a worker without waiting for its next heartbeat.
//!
//! Each command is sent at most once. The core decides whether to repeat a command.

use super::messages::DirectAnswer;
use crate::http_client::{ConnectionPool, HttpRequest, RequestError};
use crate::workers::{DirectCommand, Heartbeat};
use std::time::Duration;

/// Returns the HTTP request that sends a command to a worker.
pub(crate) fn direct_request(command: &DirectCommand) -> Result<HttpRequest, serde_json::Error> {
    let body = serde_json::to_value(command)?;
    Ok(HttpRequest::post("/do".into(), body))
}

/// Sends a command and waits at most `within` for the heartbeat by which the worker answers it.
pub(super) async fn send_direct_command(
    worker: &ConnectionPool,
    command: DirectCommand,
    within: Duration,
) -> DirectAnswer {
    let Ok(request) = direct_request(&command) else {
        return DirectAnswer::NotSent;
    };
    match worker.send(&request, within).await {
        Ok((status @ (200 | 409), body)) => match serde_json::from_slice::<Heartbeat>(&body) {
            Ok(heartbeat) => {
                if status == 409 {
                    log_refusal(&command, &heartbeat);
                }
                DirectAnswer::Heartbeat(heartbeat)
            }
            Err(_) => DirectAnswer::Indeterminate,
        },
        Err(RequestError::NotSent) => DirectAnswer::NotSent,
        Ok(_) | Err(RequestError::NoAnswer) => DirectAnswer::Indeterminate,
    }
}

/// Logs that a worker refused a command because of its fencing token or agent epoch.
fn log_refusal(command: &DirectCommand, heartbeat: &Heartbeat) {
    tracing::debug!(
        machine = %heartbeat.machine,
        token = %command.fencing_token,
        agent_epoch = command.agent_epoch,
        seen_token = %heartbeat.fencing_token,
        current_agent_epoch = heartbeat.agent_epoch,
        "direct command refused"
    );
}
