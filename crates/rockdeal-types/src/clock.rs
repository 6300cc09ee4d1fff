//! Points in time and durations in whole microseconds, and the clocks that they are read from.
//!
//! Addition and subtraction of [`Micros`] saturate: they neither go below zero nor overflow.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// A point in time or a duration, in whole microseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Micros(pub u64);

impl Micros {
    /// The duration of zero, or the origin of a clock.
    pub const ZERO: Micros = Micros(0);

    /// Converts whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Micros(millis * 1_000)
    }

    /// Converts seconds, as messages contain them. Negative and non-finite values give zero.
    pub fn from_secs(secs: f64) -> Self {
        if secs.is_finite() && secs > 0.0 {
            Micros((secs * 1e6) as u64)
        } else {
            Micros(0)
        }
    }

    /// Converts to seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the time that has passed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns this duration multiplied by `fraction`.
    pub fn part(self, fraction: f64) -> Micros {
        Micros((self.0 as f64 * fraction) as u64)
    }

    /// Converts to the duration type of the standard library.
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

/// The monotonic clock of the process.
///
/// Only the code around the state machines reads it. The state machines never do: they are
/// given the current time as an argument.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock(std::time::Instant);

impl MonotonicClock {
    /// Starts a clock.
    pub fn start() -> Self {
        MonotonicClock(std::time::Instant::now())
    }

    /// Returns the time since the start of the clock, plus one second.
    pub fn now(&self) -> Micros {
        // The first reading is one second, so that it differs from `Micros::ZERO`, which stands
        // for "long ago".
        Micros(self.0.elapsed().as_micros() as u64 + 1_000_000)
    }
}

/// Returns the time of day, as microseconds since 1970 (UTC), or zero if the system clock is
/// set to an earlier date.
///
/// It is for records that outlive the process. Leases never use it, because a wall clock can
/// be set forward or back.
pub fn wall_clock_now() -> Micros {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    Micros(since.map_or(0, |since_epoch| since_epoch.as_micros() as u64))
}
