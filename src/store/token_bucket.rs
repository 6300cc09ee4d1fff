//! A token bucket with a constant refill rate.

use crate::clock::Micros;

/// Tolerance for floating-point rounding errors, in tokens.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// A token bucket whose burst, i.e. its capacity, is one second's tokens, but at least one token.
#[derive(Debug)]
pub struct TokenBucket {
    /// Refill rate, in tokens per second.
    rate: f64,
    /// Available tokens; negative while the bucket is in debt.
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `rate` tokens per second.
    pub fn new(rate: f64, now: Micros) -> Self {
        TokenBucket {
            rate,
            tokens: rate,
            refilled_at: now,
        }
    }

    /// Returns the refill rate, in tokens per second.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    /// Sets the refill rate from `now` on. The time before `now` is refilled at the old rate.
    pub(super) fn set_rate(&mut self, now: Micros, rate: f64) {
        self.refill(now);
        self.rate = rate;
    }

    fn refill(&mut self, now: Micros) {
        let elapsed = now.since(self.refilled_at).as_secs();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate.max(1.0));
        self.refilled_at = now;
    }

    /// Takes `count` tokens if this leaves the fraction `reserve` of the burst, at most 1, for
    /// other requests. Returns whether the tokens were taken. A negative reserve lets the bucket
    /// go into debt.
    pub fn take(&mut self, now: Micros, count: f64, reserve: f64) -> bool {
        self.refill(now);
        // A request for more tokens than a full bucket has above the reserve is admitted once
        // the bucket is full, and leaves a debt. Otherwise the request would never be admitted.
        let max_needed = (1.0 - reserve).min(1.0) * self.rate;
        if self.tokens - count.min(max_needed) < reserve * self.rate - ROUNDING_TOLERANCE {
            return false;
        }
        self.tokens -= count;
        true
    }
}

#[cfg(test)]
mod tests;
