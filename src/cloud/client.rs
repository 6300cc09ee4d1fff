//! The HTTP client of the cloud's interface. It stays below the interface's rate limit at all
//! times, and it sends each request once. The caller decides whether to repeat a request.

use super::wire::{self, HttpResponse, ResponseError};
use super::{CloudMachine, CloudReply, CloudRequest};
use crate::clock::MonotonicClock;
use crate::http_client::{ConnectionPool, HttpRequest};
use crate::store::client::TokenBucket;
use std::cell::RefCell;
use std::time::Duration;

pub(crate) use super::wire::http_request;

/// Timeout of a request, from its sending to the receipt of the whole response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);

/// Interval between two checks of the rate limit while it is exhausted.
const RATE_LIMIT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Share of the interface's rate limit that the client of a leader uses. Only the leader sends
/// requests regularly. The few requests that the other controllers send at their start fit into
/// the remaining share.
const LEADER_RATE_SHARE: f64 = 0.75;

/// A client of the cloud's interface.
pub struct CloudClient {
    pool: ConnectionPool,
    bucket: RefCell<TokenBucket>,
    clock: MonotonicClock,
}

impl CloudClient {
    /// Creates a client that stays below a rate limit of `rps` requests per second.
    pub fn new(pool: ConnectionPool, clock: MonotonicClock, rps: f64) -> Self {
        let bucket = TokenBucket::new(rps * LEADER_RATE_SHARE, clock.now());
        CloudClient {
            pool,
            bucket: RefCell::new(bucket),
            clock,
        }
    }

    /// Executes a request once, as soon as the rate limit allows. Returns
    /// [`CloudReply::Indeterminate`] if there is no response, or if the response does not show
    /// whether the request was carried out.
    pub async fn execute(&self, request: &CloudRequest) -> CloudReply {
        self.request(request).await.unwrap_or_else(failure_reply)
    }

    async fn request(&self, request: &CloudRequest) -> Result<CloudReply, ResponseError> {
        let send = || self.send(http_request(request));
        match request {
            CloudRequest::MachineTypes => {
                wire::machine_types(&send().await?).map(CloudReply::MachineTypes)
            }
            CloudRequest::Machines => self.list_machines().await.map(CloudReply::Machines),
            CloudRequest::ScaleOut { .. } => {
                wire::scaled_out(&send().await?).map(CloudReply::ScaledOut)
            }
            CloudRequest::Release(_) => {
                wire::released(&send().await?).map(|()| CloudReply::Released)
            }
        }
    }

    /// Reads the whole list of instances, page by page.
    async fn list_machines(&self) -> Result<Vec<CloudMachine>, ResponseError> {
        let mut machines: Vec<CloudMachine> = Vec::new();
        loop {
            let last = machines.last().map(|machine| &machine.id);
            let response = self.send(wire::list_request(last)).await?;
            let page = wire::machines_page(&response)?;
            let is_last = !page.has_more || page.machines.is_empty();
            machines.extend(page.machines);
            if is_last {
                return Ok(machines);
            }
        }
    }

    async fn send(&self, request: HttpRequest) -> Result<HttpResponse, ResponseError> {
        while !self.bucket.borrow_mut().take(self.clock.now(), 1.0, 0.0) {
            tokio::time::sleep(RATE_LIMIT_RETRY_INTERVAL).await;
        }
        let (status, body) = self.pool.send(&request, REQUEST_TIMEOUT).await?;
        Ok(HttpResponse { status, body })
    }
}

/// Returns the reply to a request that has no response with a result.
fn failure_reply(error: ResponseError) -> CloudReply {
    match error {
        ResponseError::NoCapacity => CloudReply::NoCapacity,
        ResponseError::NoResponse(_) | ResponseError::Status(_) | ResponseError::Malformed(_) => {
            CloudReply::Indeterminate
        }
    }
}

#[cfg(test)]
mod tests;
