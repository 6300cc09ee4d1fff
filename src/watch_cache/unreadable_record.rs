//! Parsing of records, and the error for records that this version cannot parse.

use serde::de::DeserializeOwned;
use serde_json::Value;

/// Error for a record whose value this version cannot parse. An earlier or a later version may
/// have written it. The caller counts and logs the error and must not guess the content.
#[derive(Debug, thiserror::Error)]
#[error("cannot parse the record of key `{key}`")]
pub(super) struct UnreadableRecord {
    /// Key of the record.
    pub(super) key: String,
    /// Reason for which the value could not be parsed.
    pub(super) source: serde_json::Error,
}

/// Parses the value of a key as a record.
pub(super) fn parse_record<T: DeserializeOwned>(
    key: &str,
    value: Value,
) -> Result<T, UnreadableRecord> {
    serde_json::from_value(value).map_err(|source| UnreadableRecord {
        key: key.into(),
        source,
    })
}
