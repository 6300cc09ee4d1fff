//! Hints for names that are not known, as error messages give them.

/// From this likeness on, a known name is probably what was meant.
const ALIKE: f64 = 0.75;

/// The known name that is most like the given one, or all that are known.
pub fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let mut known: Vec<&str> = known.collect();
    known.sort_by(|a, b| strsim::jaro(name, b).total_cmp(&strsim::jaro(name, a)));
    match known.first() {
        Some(best) if strsim::jaro(name, best) > ALIKE => format!("did you mean {best}?"),
        Some(_) => format!("known are {}", known.join(", ")),
        None => "none is known here".to_owned(),
    }
}
