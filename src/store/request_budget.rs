//! This controller's share of the store's limits, and which requests may use it first.

use super::adaptive_token_bucket::{AdaptiveTokenBucket, RateBounds};
use super::request::RequestPriority;
use super::token_bucket::TokenBucket;
use crate::clock::Micros;
use crate::settings::StateLimits;

/// Controllers rarely need their share all at once, and what exceeds the limit is
/// rejected and retried: each may use so many shares.
const OVERBOOKING_FACTOR: f64 = 2.0;
/// The share of all writes that one controller may come to use while the others leave it.
const MAX_WRITE_SHARE: f64 = 0.85;

/// Renewals are never held back here: they may leave the budget in debt.
const CRITICAL_RESERVE: f64 = -1.0;
/// What normal requests leave of the burst for critical ones.
const NORMAL_RESERVE: f64 = 0.1;
/// What background requests leave of the burst for all others.
const BACKGROUND_RESERVE: f64 = 0.35;

impl RequestPriority {
    /// The share of the burst that must be left for requests of higher priority.
    fn reserve(self) -> f64 {
        match self {
            RequestPriority::Critical => CRITICAL_RESERVE,
            RequestPriority::Normal => NORMAL_RESERVE,
            RequestPriority::Background => BACKGROUND_RESERVE,
        }
    }
}

/// The requests and the writes that this controller may send.
pub(super) struct RequestBudget {
    requests: TokenBucket,
    writes: AdaptiveTokenBucket,
}

impl RequestBudget {
    /// The budget of a controller that `share` (from 0 to 1) of the store's limits is for.
    pub(super) fn new(limits: &StateLimits, share: f64, now: Micros) -> Self {
        let usable_share = (share * OVERBOOKING_FACTOR).min(1.0);
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

    /// Takes one request with this many writes from the budget, if it allows them now.
    pub(super) fn admit(&mut self, now: Micros, priority: RequestPriority, writes: usize) -> bool {
        let reserve = priority.reserve();
        if writes > 0 && !self.writes.take(now, writes as f64, reserve) {
            return false;
        }
        self.requests.take(now, 1.0, reserve)
    }

    /// The store has rejected writes for its limit.
    pub(super) fn record_write_rejection(&mut self, now: Micros) {
        self.writes.record_rejection(now);
    }
}
