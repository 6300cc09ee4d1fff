//! Replies of the store, and the changes that a watch reports.

use crate::ids::{LeaseId, Revision};
use serde::Deserialize;
use serde_json::Value;

/// A key with its value and revision.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The value of the key.
    pub value: Value,
    /// The revision of the key's last change.
    #[serde(rename = "stamp")]
    pub revision: Revision,
}

/// The store's reply to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The requested key and its value.
    Value(KeyValue),
    /// The requested key does not exist.
    NotFound,
    /// A page of a listing.
    Page {
        /// The keys of this page, in ascending order.
        entries: Vec<KeyValue>,
        /// Whether further pages follow.
        more: bool,
        /// The revision at which the page was read.
        revision: Revision,
    },
    /// The compare-and-swap was committed at this revision.
    Committed(Revision),
    /// The compare-and-swap was not applied, because the conditions on these keys failed.
    Conflict(Vec<String>),
    /// A new lease was granted.
    LeaseGranted(LeaseId),
    /// The lease was renewed or revoked.
    Acknowledged,
    /// The lease named in the request has expired or was revoked.
    LeaseExpired,
    /// The request was not carried out. Causes include status 429, 503 or another 4xx, a used-up
    /// request budget, an oversized value, or no connection.
    Rejected,
    /// There was no valid reply. The request may have been carried out, or may still be.
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

/// A record with the revision of its key's last change.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Versioned<T> {
    /// The revision of the key's last change; 0 if the key does not exist.
    pub revision: Revision,
    /// The record.
    pub record: T,
}
