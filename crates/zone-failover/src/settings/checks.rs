//! Checks of single settings: each names the setting, its value and the remedy.

use super::SettingsError;
use super::file::Duration;
use rockdeal_types::clock::Micros;
use std::ops::{Range, RangeInclusive};
use toml::Spanned;

/// Refuses what stands at that place in the file.
pub(super) fn refuse<T>(
    span: Range<usize>,
    why: impl Into<String>,
    remedy: impl Into<String>,
) -> Result<T, SettingsError> {
    Err(SettingsError {
        span,
        why: why.into(),
        remedy: remedy.into(),
    })
}

pub(super) const ONE_SECOND: Micros = Micros::from_millis(1_000);
pub(super) const ONE_MINUTE: Micros = Micros::from_millis(60_000);
pub(super) const ONE_HOUR: Micros = Micros::from_millis(3_600_000);
pub(super) const ONE_DAY: Micros = Micros::from_millis(24 * 3_600_000);
/// Evidence comes every 0.7 s, so less than this says nothing.
pub(super) const MIN_DETECTION_TIME: Micros = Micros::from_millis(500);
/// A job that waits longer beside a machine with room counts as left waiting.
pub(super) const MAX_PATIENCE: Micros = Micros::from_millis(60_000);

/// A length of time for a message, in seconds.
pub(super) fn text_of(time: Micros) -> String {
    format!("{} s", time.as_secs())
}

/// A length of time, or its default, within what is allowed.
pub(super) fn duration(
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
        let why = format!("{name} is {}", text_of(value));
        let remedy = format!(
            "choose from {} to {}",
            text_of(*allowed.start()),
            text_of(*allowed.end())
        );
        return refuse(given.span(), why, remedy);
    }
    Ok(value)
}

/// A number, or its default, within what is allowed.
pub(super) fn number<T: Copy + PartialOrd + std::fmt::Display>(
    name: &str,
    given: &Option<Spanned<T>>,
    default: T,
    allowed: RangeInclusive<T>,
) -> Result<T, SettingsError> {
    let Some(given) = given else {
        return Ok(default);
    };
    let value = *given.get_ref();
    // NaN is in no range, so it is refused, too.
    if !allowed.contains(&value) {
        let why = format!("{name} is {value}");
        return refuse(
            given.span(),
            why,
            format!("choose from {} to {}", allowed.start(), allowed.end()),
        );
    }
    Ok(value)
}

/// The place of the first of two settings that is in the file.
pub(super) fn span_of<T>(first: &Option<Spanned<T>>, second: &Option<Spanned<T>>) -> Range<usize> {
    let given = first.as_ref().or(second.as_ref());
    given.map_or(0..0, Spanned::span)
}
