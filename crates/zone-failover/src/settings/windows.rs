//! The tables `return.window` of the file: the times at which running work may be moved back.

use super::SettingsError;
use super::checks::refuse;
use crate::window::{ReturnWindow, WindowError};
use jiff::civil::{Time, Weekday};
use rockdeal_types::suggestion::nearest;
use serde::Deserialize;
use std::ops::Range;
use toml::Spanned;

/// A return window as it is written in the file, not yet checked.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct RawWindow {
    time_zone: Spanned<String>,
    days: Option<Spanned<Vec<Spanned<String>>>>,
    from: Spanned<String>,
    to: Spanned<String>,
}

/// The days of the week by their names in the file.
const DAYS: [(&str, Weekday); 7] = [
    ("monday", Weekday::Monday),
    ("tuesday", Weekday::Tuesday),
    ("wednesday", Weekday::Wednesday),
    ("thursday", Weekday::Thursday),
    ("friday", Weekday::Friday),
    ("saturday", Weekday::Saturday),
    ("sunday", Weekday::Sunday),
];

fn weekday(name: &Spanned<String>) -> Result<Weekday, SettingsError> {
    match DAYS.iter().find(|(day, _)| day == name.get_ref()) {
        Some((_, weekday)) => Ok(*weekday),
        None => refuse(
            name.span(),
            format!("{:?} is not a day of the week", name.get_ref()),
            nearest(name.get_ref(), DAYS.iter().map(|(day, _)| *day)),
        ),
    }
}

fn time_of_day(text: &Spanned<String>) -> Result<Time, SettingsError> {
    match Time::strptime("%H:%M", text.get_ref()) {
        Ok(time) => Ok(time),
        Err(_) => refuse(
            text.span(),
            format!("{:?} is not a time of day", text.get_ref()),
            "write hours and minutes, as in \"22:30\"",
        ),
    }
}

impl RawWindow {
    /// Checks the window. `span` is the position of its table in the file.
    pub(super) fn check(&self, span: Range<usize>) -> Result<ReturnWindow, SettingsError> {
        let days: Vec<Weekday> = match &self.days {
            None => DAYS.iter().map(|(_, weekday)| *weekday).collect(),
            Some(days) => days
                .get_ref()
                .iter()
                .map(weekday)
                .collect::<Result<_, _>>()?,
        };
        let (from, to) = (time_of_day(&self.from)?, time_of_day(&self.to)?);
        match ReturnWindow::new(self.time_zone.get_ref(), days, from, to) {
            Ok(window) => Ok(window),
            Err(error @ WindowError::UnknownTimeZone(_)) => refuse(
                self.time_zone.span(),
                error.to_string(),
                "use a name from the IANA time zone database, as in \"Australia/Hobart\"",
            ),
            Err(error @ WindowError::NeverOpen) => refuse(
                span,
                error.to_string(),
                "list at least one day, and choose different times for from and to",
            ),
        }
    }
}
