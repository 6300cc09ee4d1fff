//! What the store answers, and the changes that a watch reports.

use crate::ids::{LeaseId, Revision};
use serde::Deserialize;
use serde_json::Value;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its value.
    pub value: Value,
    /// The revision of its last change.
    #[serde(rename = "stamp")]
    pub revision: Revision,
}

/// The store's reply to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The requested key.
    Value(KeyValue),
    /// There is no such key.
    NotFound,
    /// A page of keys.
    Page {
        /// The keys of this page.
        entries: Vec<KeyValue>,
        /// Whether there are more.
        more: bool,
        /// The revision that it was read at.
        revision: Revision,
    },
    /// The compare-and-swap was carried out, at this revision.
    Committed(Revision),
    /// It was not: conditions on these keys failed.
    Conflict(Vec<String>),
    /// The new lease.
    LeaseGranted(LeaseId),
    /// Done.
    Acknowledged,
    /// The lease named in a compare-and-swap or a renewal has ended.
    LeaseExpired,
    /// Surely not carried out (429, 503, no budget, no connection).
    Rejected,
    /// No reply: it may have been carried out, or may still be.
    Indeterminate,
}

/// One change that a watch reports.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct WatchEvent {
    /// The key that was set.
    pub set: Option<String>,
    /// The key that was deleted.
    pub delete: Option<String>,
    /// The new value of a key that was set.
    #[serde(default)]
    pub value: Value,
    /// The revision of the change.
    #[serde(rename = "stamp")]
    pub revision: Revision,
}

/// A record, with the revision of its key's last change.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Versioned<T> {
    /// The revision of its key's last change, 0 if there is no such key.
    pub revision: Revision,
    /// The record.
    pub record: T,
}
