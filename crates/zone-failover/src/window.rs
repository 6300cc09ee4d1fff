//! The operators' return windows: hours of the day in a time zone, with the days on which
//! clocks are changed.
//!
//! The time zones' data is compiled in: the machines have no disk.

use jiff::civil::{Date, DateTime, Time, Weekday};
use jiff::tz::{AmbiguousOffset, TimeZone, TimeZoneDatabase};
use jiff::{Timestamp, ToSpan};
use rockdeal_types::clock::Micros;

/// A window that opens on some days of the week.
///
/// - An hour that a day lacks, since clocks are set forward, is skipped: a window that begins
///   or ends inside it does so at its end.
/// - An hour that a day has twice, since clocks are set back, counts whole: a window that
///   begins inside it begins the first time, and one that ends inside it ends the second
///   time.
/// - A window whose end is not after its beginning ends on the next day.
#[derive(Debug, Clone, PartialEq)]
pub struct ReturnWindow {
    time_zone: TimeZone,
    days: Vec<Weekday>,
    from: Time,
    to: Time,
}

/// Why a window makes no sense.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WindowError {
    /// There is no such time zone.
    #[error("time zone {0:?} is unknown")]
    UnknownTimeZone(String),
    /// It has no day, or it begins and ends at the same time.
    #[error("the window is never open")]
    NeverOpen,
}

impl ReturnWindow {
    /// A window from one time of the day to another, on the days on which it begins.
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

    /// Whether it is open at that time of day, as microseconds since 1970.
    pub fn is_open(&self, wall_clock: Micros) -> bool {
        let Some(now) = timestamp(wall_clock) else {
            return false;
        };
        let today = self.time_zone.to_datetime(now).date();
        // One that began yesterday may still be open.
        let begins = [today.yesterday().ok(), Some(today)];
        begins
            .into_iter()
            .flatten()
            .filter_map(|date| self.on(date))
            .any(|(from, to)| from <= now && now < to)
    }

    /// When it opens and closes, if it begins on that date.
    fn on(&self, date: Date) -> Option<(Timestamp, Timestamp)> {
        if !self.days.contains(&date.weekday()) {
            return None;
        }
        let last = if self.to > self.from {
            date
        } else {
            date.checked_add(1.day()).ok()?
        };
        let from = self.instant(date.to_datetime(self.from), Repeated::First)?;
        let to = self.instant(last.to_datetime(self.to), Repeated::Second)?;
        Some((from, to))
    }

    /// The moment at which the local clocks show that time; where they skip it, the moment
    /// at which they do.
    fn instant(&self, local: DateTime, repeated: Repeated) -> Option<Timestamp> {
        let ambiguous = self.time_zone.to_ambiguous_timestamp(local);
        let (is_skipped, resolved) = match ambiguous.offset() {
            AmbiguousOffset::Gap { .. } => (true, ambiguous.later()),
            _ if repeated == Repeated::First => (false, ambiguous.earlier()),
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

/// Which of two moments is meant where the local clocks show a time twice.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Repeated {
    First,
    Second,
}

fn timestamp(wall_clock: Micros) -> Option<Timestamp> {
    Timestamp::from_microsecond(i64::try_from(wall_clock.0).ok()?).ok()
}
