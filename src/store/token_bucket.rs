//! A rate limit: a bucket of tokens that refills steadily.

use crate::clock::Micros;

/// Differences in tokens below this come from rounding.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// A bucket that refills at a steady rate; burst: one second's worth.
#[derive(Debug)]
pub struct TokenBucket {
    /// In tokens per second.
    rate: f64,
    /// Below zero while it is in debt.
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// A full bucket of this rate, in tokens per second.
    pub fn new(rate: f64, now: Micros) -> Self {
        TokenBucket {
            rate,
            tokens: rate,
            refilled_at: now,
        }
    }

    /// The rate at which it refills, in tokens per second.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    /// Refills at the old rate up to now, and at this rate from now on.
    pub(super) fn set_rate(&mut self, now: Micros, rate: f64) {
        self.refill(now);
        self.rate = rate;
    }

    fn refill(&mut self, now: Micros) {
        let elapsed = now.since(self.refilled_at).as_secs();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate.max(1.0));
        self.refilled_at = now;
    }

    /// Takes `count` tokens if that leaves `reserve` (a share of the burst, from 0 to 1)
    /// for other requests. A negative reserve allows a debt.
    pub fn take(&mut self, now: Micros, count: f64, reserve: f64) -> bool {
        self.refill(now);
        // More than the bucket ever holds for this may be taken at once, as a debt:
        // or what is larger than that would wait for ever.
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
