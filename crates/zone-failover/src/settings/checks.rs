//! Checks that a single setting is in its allowed range. An error names the setting, its value,
//! the allowed range, and the position in the file.

use super::SettingsError;
use super::file::Duration;
use rockdeal_types::clock::Micros;
use std::ops::{Range, RangeInclusive};
use toml::Spanned;

/// Returns the error for an invalid setting at `span`, which is in bytes of the file.
pub(super) fn refuse<T>(
    span: Range<usize>,
    problem: impl Into<String>,
    remedy: impl Into<String>,
) -> Result<T, SettingsError> {
    Err(SettingsError {
        span,
        problem: problem.into(),
        remedy: remedy.into(),
    })
}

pub(super) const ONE_SECOND: Micros = Micros::from_millis(1_000);
pub(super) const ONE_MINUTE: Micros = Micros::from_millis(60_000);
pub(super) const ONE_HOUR: Micros = Micros::from_millis(3_600_000);
pub(super) const ONE_DAY: Micros = Micros::from_millis(24 * 3_600_000);
/// Shortest time in which a change of a zone can be detected. Evidence arrives every 0.7 s, so a
/// shorter time has no meaning.
pub(super) const MIN_DETECTION_TIME: Micros = Micros::from_millis(500);
/// Longest `patience`. A job that waits longer than this while a machine has room for it counts as
/// starved.
pub(super) const MAX_PATIENCE: Micros = Micros::from_millis(60_000);

/// Formats a duration in seconds, for error messages.
pub(super) fn format_seconds(time: Micros) -> String {
    format!("{} s", time.as_secs())
}

/// Returns the given duration, or `default` if none is given.
///
/// # Errors
/// The given duration is outside the allowed range.
pub(super) fn duration_in_range(
    name: &str,
    given: &Option<Spanned<Duration>>,
    default: Micros,
    allowed: RangeInclusive<Micros>,
) -> Result<Micros, SettingsError> {
    let Some(given) = given else {
        return Ok(default);
    };
    let value = given.get_ref().0;
    if !allowed.contains(&value) {
        let problem = format!("{name} is {}", format_seconds(value));
        let remedy = format!(
            "choose from {} to {}",
            format_seconds(*allowed.start()),
            format_seconds(*allowed.end())
        );
        return refuse(given.span(), problem, remedy);
    }
    Ok(value)
}

/// Returns the given number, or `default` if none is given.
///
/// # Errors
/// The given number is outside the allowed range.
pub(super) fn number_in_range<T: Copy + PartialOrd + std::fmt::Display>(
    name: &str,
    given: &Option<Spanned<T>>,
    default: T,
    allowed: RangeInclusive<T>,
) -> Result<T, SettingsError> {
    let Some(given) = given else {
        return Ok(default);
    };
    let value = *given.get_ref();
    // NaN is in no range, so it is an error as well.
    if !allowed.contains(&value) {
        let problem = format!("{name} is {value}");
        return refuse(
            given.span(),
            problem,
            format!("choose from {} to {}", allowed.start(), allowed.end()),
        );
    }
    Ok(value)
}

/// Returns the position of the first of two settings, or of the second one if the first is not in
/// the file. Returns the start of the file if neither is.
pub(super) fn span_of_first_given<T>(
    first: &Option<Spanned<T>>,
    second: &Option<Spanned<T>>,
) -> Range<usize> {
    let given = first.as_ref().or(second.as_ref());
    given.map_or(0..0, Spanned::span)
}
