//! The client of the key-value store. It keeps requests within this controller's budget and
//! retries those that the budget or the store's rate limit held back.
//!
//! A request is retried only if it was certainly not carried out. An indeterminate reply is
//! returned to the caller, which knows what to read to find out the outcome.

use super::http::{TOO_MANY_REQUESTS, parse_reply};
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

/// Timeout of one HTTP request to the store.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for which a request is retried while the budget or the store's rate limit holds it back.
const RETRY_TIMEOUT: Micros = Micros::from_millis(800);
/// Time between two attempts of a request.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// A client of the key-value store. Clones are cheap and share connections and budget.
#[derive(Clone)]
pub struct KvClient {
    pub(super) pool: Rc<ConnectionPool>,
    budget: Rc<RefCell<RequestBudget>>,
    /// Maximum size of a value, in bytes, under both the current and the announced limits.
    max_value_bytes: usize,
    clock: MonotonicClock,
}

/// The outcome of one attempt to send a request.
enum Attempt {
    Replied(Reply),
    /// The store rejected the request for its rate limit and did not carry it out.
    RateLimited,
}

impl KvClient {
    /// Creates the client of a controller whose share of the store's limits is `share`, from 0
    /// to 1.
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

    /// Takes a request with `writes` mutations from the budget. Returns `false` if the budget
    /// does not allow the request now.
    pub(super) fn admit(&self, priority: RequestPriority, writes: usize) -> bool {
        let now = self.clock.now();
        self.budget.borrow_mut().admit(now, priority, writes)
    }

    /// Sends a request and returns the store's reply.
    ///
    /// Waits up to `RETRY_TIMEOUT` for the budget, and retries within that time if the store
    /// rejects the request for its rate limit. Background requests are not retried after such a
    /// rejection.
    pub async fn execute(&self, request: Request, priority: RequestPriority) -> Reply {
        if let Some(oversized) = request.oversized_value(self.max_value_bytes) {
            // The store would reject the value for its size, now or once the announced limits
            // take effect, so the request is not sent.
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
                    // Other controllers used up the shared rate limit: retry after an interval.
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
            Ok((status, body)) => parse_reply(request, status, &body),
            Err(RequestError::NotSent) => Reply::Rejected,
            Err(RequestError::NoAnswer) => Reply::Indeterminate,
        })
    }
}
