//! The key-value client: requests within this controller's budget, with retries.
//!
//! A request is retried only while it surely was not carried out; an indeterminate reply
//! goes to the caller, who alone knows what to read again.

use super::http::{TOO_MANY_REQUESTS, read_reply};
use super::reply::Reply;
use super::request::{Request, RequestPriority};
use super::request_budget::RequestBudget;
use crate::clock::{Micros, MonotonicClock};
use crate::http_client::{ConnectionPool, RequestError};
use crate::settings::StateLimits;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

pub(crate) use super::http::http_request;
pub use super::token_bucket::TokenBucket;
pub use super::watch::{LoadedKeys, WatchResponse};

/// No request waits longer than this for the store.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A request that the budget or the store's limit holds back is retried for so long.
const RETRY_TIMEOUT: Micros = Micros::from_millis(800);
/// The time between two tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// A handle of the key-value store; cheap to clone.
#[derive(Clone)]
pub struct KvClient {
    pub(super) pool: Rc<ConnectionPool>,
    budget: Rc<RefCell<RequestBudget>>,
    /// The largest value that may be written, in bytes.
    max_value_bytes: usize,
    clock: MonotonicClock,
}

/// What came of one try.
enum Attempt {
    Replied(Reply),
    /// The store's rate limit is used up: surely not carried out.
    RateLimited,
}

impl KvClient {
    /// A client of a controller that `share` (from 0 to 1) of the store's limits is for.
    pub fn new(
        pool: Rc<ConnectionPool>,
        clock: MonotonicClock,
        limits: &StateLimits,
        share: f64,
    ) -> Self {
        let budget = RequestBudget::new(limits, share, clock.now());
        KvClient {
            pool,
            budget: Rc::new(RefCell::new(budget)),
            max_value_bytes: limits.lowest_value_bytes(),
            clock,
        }
    }

    /// Whether the budget allows a request with this many writes now.
    pub(super) fn admit(&self, priority: RequestPriority, writes: usize) -> bool {
        let now = self.clock.now();
        self.budget.borrow_mut().admit(now, priority, writes)
    }

    /// Sends a request, waiting a little for the budget where it is used up.
    pub async fn execute(&self, request: Request, priority: RequestPriority) -> Reply {
        if let Some(oversized) = request.oversized_value(self.max_value_bytes) {
            // It would be rejected for its size, now or under the coming limits: it is
            // not sent at all.
            let (key, bytes) = (oversized.key, oversized.bytes);
            tracing::error!(key, bytes, "store value rejected as too large");
            return Reply::Rejected;
        }
        let writes = request.write_count();
        let retry_until = self.clock.now() + RETRY_TIMEOUT;
        loop {
            if self.admit(priority, writes) {
                match self.send(&request).await {
                    Attempt::Replied(reply) => return reply,
                    // Others used what was left of the limit: once more, a little later.
                    Attempt::RateLimited => self.record_rate_limit(writes),
                }
                if priority == RequestPriority::Background {
                    return Reply::Rejected;
                }
            }
            if self.clock.now() >= retry_until {
                return Reply::Rejected;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    fn record_rate_limit(&self, writes: usize) {
        if writes > 0 {
            let now = self.clock.now();
            self.budget.borrow_mut().record_write_rejection(now);
        }
    }

    async fn send(&self, request: &Request) -> Attempt {
        let http = http_request(request);
        let response = self.pool.send(&http, REQUEST_TIMEOUT).await;
        Attempt::Replied(match response {
            Ok((TOO_MANY_REQUESTS, _)) => return Attempt::RateLimited,
            Ok((status, body)) => read_reply(request, status, &body),
            Err(RequestError::NotSent) => Reply::Rejected,
            Err(RequestError::NoAnswer) => Reply::Indeterminate,
        })
    }
}
