//! The budget of this controller's requests to the store: its share of the store's rate limits,
//! with a part reserved for requests of higher priority.

use super::adaptive_token_bucket::{AdaptiveTokenBucket, RateBounds};
use super::request::RequestPriority;
use super::token_bucket::TokenBucket;
use crate::clock::Micros;
use crate::settings::StateLimits;

/// Factor by which each controller may exceed its even share of the store's limits. Controllers
/// rarely need their shares at the same time, and requests above the limit are rejected and
/// retried.
const OVERCOMMIT_FACTOR: f64 = 2.0;
/// Maximum fraction of the store's write rate limit that one controller may use while the other
/// controllers leave it unused.
const MAX_WRITE_SHARE: f64 = 0.85;

/// Reserve for critical requests, such as lease renewals. It is negative so that they are not
/// held back in practice: the budget may go into debt by up to one second's tokens.
const CRITICAL_RESERVE: f64 = -1.0;
/// Fraction of the burst that normal requests leave for critical ones.
const NORMAL_RESERVE: f64 = 0.1;
/// Fraction of the burst that background requests leave for all others.
const BACKGROUND_RESERVE: f64 = 0.35;

impl RequestPriority {
    /// Returns the fraction of the burst that a request must leave for requests of higher
    /// priority.
    fn reserve(self) -> f64 {
        match self {
            RequestPriority::Critical => CRITICAL_RESERVE,
            RequestPriority::Normal => NORMAL_RESERVE,
            RequestPriority::Background => BACKGROUND_RESERVE,
        }
    }
}

/// Rate limits on the requests and the writes of this controller.
pub(super) struct RequestBudget {
    requests: TokenBucket,
    writes: AdaptiveTokenBucket,
}

impl RequestBudget {
    /// Creates the budget of a controller whose share of the store's limits is `share`, from 0
    /// to 1.
    pub(super) fn new(limits: &StateLimits, share: f64, now: Micros) -> Self {
        let usable_share = (share * OVERCOMMIT_FACTOR).min(1.0);
        let lowest_write_rate = limits.lowest_write_rps();
        let write_rate = RateBounds {
            min: lowest_write_rate * usable_share,
            max: limits.write_rps * MAX_WRITE_SHARE,
            max_after_rejection: lowest_write_rate * MAX_WRITE_SHARE,
        };
        RequestBudget {
            requests: TokenBucket::new(limits.lowest_rps() * usable_share, now),
            writes: AdaptiveTokenBucket::new(write_rate, now),
        }
    }

    /// Takes one request with `writes` mutations from the budget. Returns `false` if the budget
    /// does not allow the request now.
    pub(super) fn admit(&mut self, now: Micros, priority: RequestPriority, writes: usize) -> bool {
        let reserve = priority.reserve();
        if writes > 0 && !self.writes.take(now, writes as f64, reserve) {
            return false;
        }
        self.requests.take(now, 1.0, reserve)
    }

    /// Records that the store rejected writes for its rate limit.
    pub(super) fn record_write_rejection(&mut self, now: Micros) {
        self.writes.record_rejection(now);
    }
}
