//! The seeds of random tests.

use std::ops::Range;

/// Returns the seeds that a random test runs: the range `FROM..TO` in the environment variable, or
/// `default` (both without the end) if it is not set.
pub fn seeds(variable: &str, default: (u64, u64)) -> Range<u64> {
    let range = std::env::var(variable).ok();
    let range = range.as_deref().and_then(|range| range.split_once(".."));
    let number = |text: &str| text.parse().expect("a number");
    let (from, to) = range.map_or(default, |(from, to)| (number(from), number(to)));
    from..to
}
