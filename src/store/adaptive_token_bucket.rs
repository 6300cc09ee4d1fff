//! A token bucket whose rate adapts to the part of a shared limit that other controllers leave
//! unused.

use super::token_bucket::TokenBucket;
use crate::clock::Micros;

/// Fraction of the bucket's maximum rate by which its rate increases per second.
const INCREASE_PER_SECOND: f64 = 0.02;
/// Factor by which a rejection multiplies the rate.
const DECREASE_FACTOR: f64 = 0.7;
/// Minimum time between two decreases of the rate. Rejections within this time of the last
/// decrease belong to the same burst and do not decrease the rate again.
const MIN_DECREASE_INTERVAL: Micros = Micros::from_millis(500);

/// The bounds of an [`AdaptiveTokenBucket`]'s rate, in tokens per second.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateBounds {
    /// The initial and minimum rate.
    pub(super) min: f64,
    /// The maximum rate until the first rejection.
    pub(super) max: f64,
    /// The maximum rate after the store has rejected a request for its rate limit.
    pub(super) max_after_rejection: f64,
}

/// A token bucket with additive increase and multiplicative decrease (AIMD) of its rate.
///
/// The rate increases steadily, and decreases when the store rejects a request for its rate
/// limit. With a constant rate, a controller would be held to its even share of the writes even
/// while the other controllers write almost nothing.
#[derive(Debug)]
pub(super) struct AdaptiveTokenBucket {
    bucket: TokenBucket,
    bounds: RateBounds,
    increased_at: Micros,
    decreased_at: Micros,
}

impl AdaptiveTokenBucket {
    /// Creates a full bucket at its minimum rate.
    ///
    /// A rejection may mean that the store's announced lower limit has taken effect. From the
    /// first rejection on, the rate therefore rises to `max_after_rejection` only. Otherwise the
    /// rate would keep rising above a limit that has fallen, and the store would reject requests
    /// of all controllers.
    pub(super) fn new(bounds: RateBounds, now: Micros) -> Self {
        AdaptiveTokenBucket {
            bucket: TokenBucket::new(bounds.min, now),
            bounds: RateBounds {
                min: bounds.min,
                max: bounds.max.max(bounds.min),
                max_after_rejection: bounds.max_after_rejection.max(bounds.min),
            },
            increased_at: now,
            decreased_at: Micros::ZERO,
        }
    }

    /// Increases the rate for the time since the last call, then takes tokens as
    /// [`TokenBucket::take`] does.
    pub(super) fn take(&mut self, now: Micros, count: f64, reserve: f64) -> bool {
        let elapsed = now.since(self.increased_at).as_secs();
        let increase = elapsed * self.bounds.max * INCREASE_PER_SECOND;
        self.increased_at = now;
        self.set_rate(now, self.bucket.rate() + increase);
        self.bucket.take(now, count, reserve)
    }

    /// Records that the store rejected a request for its rate limit, and decreases the rate.
    pub(super) fn record_rejection(&mut self, now: Micros) {
        if now.since(self.decreased_at) >= MIN_DECREASE_INTERVAL {
            self.decreased_at = now;
            self.bounds.max = self.bounds.max.min(self.bounds.max_after_rejection);
            self.set_rate(now, self.bucket.rate() * DECREASE_FACTOR);
        }
    }

    fn set_rate(&mut self, now: Micros, rate: f64) {
        let rate = rate.clamp(self.bounds.min, self.bounds.max);
        self.bucket.set_rate(now, rate);
    }
}

#[cfg(test)]
mod tests;
