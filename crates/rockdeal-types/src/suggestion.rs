//! Suggestions that error messages add to an unknown name.

/// Jaro similarity (0 to 1) above which a known name is suggested as the intended one.
const MIN_SIMILARITY: f64 = 0.75;

/// Returns the remedy part of an error message about an unknown `name`.
///
/// Suggests the known name that is most similar to `name`. If none is similar enough, lists
/// all known names instead.
pub fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let mut known: Vec<&str> = known.collect();
    known.sort_by(|left, right| strsim::jaro(name, right).total_cmp(&strsim::jaro(name, left)));
    match known.first() {
        Some(best) if strsim::jaro(name, best) > MIN_SIMILARITY => format!("did you mean {best}?"),
        Some(_) => format!("known are {}", known.join(", ")),
        None => "no name is defined here".to_owned(),
    }
}
