//! Hints for names that are not known, as error messages give them.

/// From this similarity on, a known name is probably what was meant.
const MIN_SIMILARITY: f64 = 0.75;

/// The known name that is most like the given one, or all that are known.
pub fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let mut known: Vec<&str> = known.collect();
    known.sort_by(|left, right| strsim::jaro(name, right).total_cmp(&strsim::jaro(name, left)));
    match known.first() {
        Some(best) if strsim::jaro(name, best) > MIN_SIMILARITY => format!("did you mean {best}?"),
        Some(_) => format!("known are {}", known.join(", ")),
        None => "none is known here".to_owned(),
    }
}
