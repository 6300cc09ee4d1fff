//! Records that this version can't parse.

use serde::de::DeserializeOwned;
use serde_json::Value;

/// A record whose value this version can't parse. An earlier or a later version may have
/// written it, so it is counted and logged, and its content is never guessed.
#[derive(Debug, thiserror::Error)]
#[error("the record of key `{key}` is unreadable")]
pub(super) struct UnreadableRecord {
    /// The record's key.
    pub(super) key: String,
    /// Why its value could not be parsed.
    pub(super) source: serde_json::Error,
}

/// The record that a key's value holds.
pub(super) fn parse_record<T: DeserializeOwned>(
    key: &str,
    value: Value,
) -> Result<T, UnreadableRecord> {
    serde_json::from_value(value).map_err(|source| UnreadableRecord {
        key: key.into(),
        source,
    })
}
