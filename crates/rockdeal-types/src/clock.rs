//! Time as whole microseconds.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// A point in time, or a span of it, in whole microseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Micros(pub u64);

impl Micros {
    /// No time.
    pub const ZERO: Micros = Micros(0);

    /// From milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Micros(ms * 1_000)
    }

    /// Seconds from the wire; negative and non-finite values count as zero.
    pub fn from_secs(s: f64) -> Self {
        if s.is_finite() && s > 0.0 {
            Micros((s * 1e6) as u64)
        } else {
            Micros(0)
        }
    }

    /// In seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The time since `earlier`, zero if that is not earlier.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// A part of this span.
    pub fn part(self, of: f64) -> Micros {
        Micros((self.0 as f64 * of) as u64)
    }

    /// As the standard library's duration.
    pub fn duration(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        self.since(other)
    }
}

/// The process's monotonic clock. The cores never read it: the time is passed to them.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock(std::time::Instant);

impl MonotonicClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        MonotonicClock(std::time::Instant::now())
    }

    /// The time since the start.
    pub fn now(&self) -> Micros {
        // A second is added so that "long ago" can be told from zero.
        Micros(self.0.elapsed().as_micros() as u64 + 1_000_000)
    }
}

/// The time of day, for records that outlive a process. Never used for leases.
pub fn wall_clock_now() -> Micros {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    Micros(since.map_or(0, |since_epoch| since_epoch.as_micros() as u64))
}
