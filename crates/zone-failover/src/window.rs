//! Return windows: the hours of the day in which operators allow running work to be moved back.
//! They follow the local time of a time zone, including changes to and from daylight saving time.
//!
//! The time zone database is compiled in, because the machines have no disk.

use jiff::civil::{Date, DateTime, Time, Weekday};
use jiff::tz::{AmbiguousOffset, TimeZone, TimeZoneDatabase};
use jiff::{Timestamp, ToSpan};
use rockdeal_types::clock::Micros;

/// A window that opens at the same local time on chosen days of the week.
///
/// - If clocks are set forward and skip an hour, a window that would begin or end inside that hour
///   begins or ends at the change of the clocks.
/// - If clocks are set back and an hour occurs twice, a window that begins inside that hour begins
///   at the first occurrence, and a window that ends inside it ends at the second one.
/// - A window whose end is not after its beginning ends on the next day.
#[derive(Debug, Clone, PartialEq)]
pub struct ReturnWindow {
    time_zone: TimeZone,
    days: Vec<Weekday>,
    from: Time,
    to: Time,
}

/// The reason why a window is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WindowError {
    /// The IANA time zone database has no time zone of this name.
    #[error("time zone {0:?} is unknown")]
    UnknownTimeZone(String),
    /// The window has no day, or it begins and ends at the same time.
    #[error("the window is never open: it has no day, or it begins and ends at the same time")]
    NeverOpen,
}

impl ReturnWindow {
    /// Creates a window from one local time of day to another. `days` are the days on which the
    /// window begins.
    ///
    /// # Errors
    /// The time zone is unknown, or the window would never be open.
    pub fn new(
        time_zone: &str,
        days: Vec<Weekday>,
        from: Time,
        to: Time,
    ) -> Result<Self, WindowError> {
        let time_zone = TimeZoneDatabase::bundled()
            .get(time_zone)
            .map_err(|_| WindowError::UnknownTimeZone(time_zone.to_owned()))?;
        if days.is_empty() || from == to {
            return Err(WindowError::NeverOpen);
        }
        Ok(ReturnWindow {
            time_zone,
            days,
            from,
            to,
        })
    }

    /// Returns whether the window is open at `wall_clock`, in microseconds since 1970 (UTC).
    pub fn is_open(&self, wall_clock: Micros) -> bool {
        let Some(now) = to_timestamp(wall_clock) else {
            return false;
        };
        let today = self.time_zone.to_datetime(now).date();
        // A window that began yesterday may still be open.
        let first_days = [today.yesterday().ok(), Some(today)];
        first_days
            .into_iter()
            .flatten()
            .filter_map(|date| self.interval_from(date))
            .any(|(from, to)| from <= now && now < to)
    }

    /// Returns when the window opens and closes, or `None` if it does not begin on `date`.
    fn interval_from(&self, date: Date) -> Option<(Timestamp, Timestamp)> {
        if !self.days.contains(&date.weekday()) {
            return None;
        }
        let last_day = if self.to > self.from {
            date
        } else {
            date.checked_add(1.day()).ok()?
        };
        let from = self.instant(date.to_datetime(self.from), Occurrence::First)?;
        let to = self.instant(last_day.to_datetime(self.to), Occurrence::Second)?;
        Some((from, to))
    }

    /// Returns the moment at which local clocks show `local`. If they skip that time, returns the
    /// moment at which they are set forward.
    fn instant(&self, local: DateTime, occurrence: Occurrence) -> Option<Timestamp> {
        let ambiguous = self.time_zone.to_ambiguous_timestamp(local);
        let (is_skipped, resolved) = match ambiguous.offset() {
            AmbiguousOffset::Gap { .. } => (true, ambiguous.later()),
            _ if occurrence == Occurrence::First => (false, ambiguous.earlier()),
            _ => (false, ambiguous.later()),
        };
        let resolved = resolved.ok()?;
        if !is_skipped {
            return Some(resolved);
        }
        let change = self.time_zone.preceding(resolved).next()?;
        Some(change.timestamp())
    }
}

/// Selects one of the two moments at which local clocks show the same time after they are set back.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Occurrence {
    First,
    Second,
}

/// Converts microseconds since 1970 (UTC). Returns `None` if the library can't represent the time.
fn to_timestamp(wall_clock: Micros) -> Option<Timestamp> {
    Timestamp::from_microsecond(i64::try_from(wall_clock.0).ok()?).ok()
}
