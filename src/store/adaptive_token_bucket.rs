//! A rate limit that follows what the other controllers leave of a shared limit.

use super::token_bucket::TokenBucket;
use crate::clock::Micros;

/// The share of its highest rate that a bucket's rate increases by in a second.
const INCREASE_PER_SECOND: f64 = 0.02;
/// The share of the rate that is left after a rejection.
const DECREASE_FACTOR: f64 = 0.7;
/// Rejections this soon after one are of the same burst: the rate decreases once.
const MIN_DECREASE_INTERVAL: Micros = Micros::from_millis(500);

/// The bounds of an [`AdaptiveTokenBucket`]'s rate, in tokens per second.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateBounds {
    /// The rate that it begins at and never falls below.
    pub(super) min: f64,
    /// The highest rate while no request has been rejected.
    pub(super) max: f64,
    /// The highest rate once the store has rejected a request for its limit.
    pub(super) max_after_rejection: f64,
}

/// A bucket whose rate follows what the others leave: additive increase, and a
/// multiplicative decrease as soon as the store rejects a request for its limit. Guards
/// against an owner that may use only its even share of the writes while the other
/// controllers need almost none.
#[derive(Debug)]
pub(super) struct AdaptiveTokenBucket {
    bucket: TokenBucket,
    bounds: RateBounds,
    increased_at: Micros,
    decreased_at: Micros,
}

impl AdaptiveTokenBucket {
    /// A bucket that begins at its lowest rate. A rejection indicates that the coming
    /// limit may hold by now: from then on the rate rises to `max_after_rejection` only.
    /// Guards against a bucket that goes on rising above a limit that has fallen, so that
    /// all are rejected.
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

    /// As [`TokenBucket::take`].
    pub(super) fn take(&mut self, now: Micros, count: f64, reserve: f64) -> bool {
        let elapsed = now.since(self.increased_at).as_secs();
        let increase = elapsed * self.bounds.max * INCREASE_PER_SECOND;
        self.increased_at = now;
        self.set_rate(now, self.bucket.rate() + increase);
        self.bucket.take(now, count, reserve)
    }

    /// The store has rejected a request for its limit.
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
