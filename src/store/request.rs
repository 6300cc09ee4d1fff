//! Requests to the store: reads, compare-and-swaps and leases.

use crate::clock::Micros;
use crate::ids::{LeaseId, Revision};
use serde::Serialize;
use serde_json::Value;

/// A condition of a compare-and-swap on the revision of a key's last change.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Compare {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The expected revision of the key's last change; 0 if the key must not exist.
    #[serde(rename = "stamp")]
    pub revision: Revision,
}

impl Compare {
    /// Creates the condition that `key` was last changed at `revision`.
    pub fn new(key: String, revision: Revision) -> Compare {
        Compare { key, revision }
    }
}

/// One change in a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Mutation {
    /// Sets a key.
    Set {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// The key's new value.
        value: Value,
        /// The lease that the key is attached to, if any. The store deletes the key when the
        /// lease ends.
        #[serde(rename = "tenure", skip_serializing_if = "Option::is_none")]
        lease_id: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
    },
}

/// A value that exceeds the store's size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct OversizedValue<'a> {
    /// The key of the value.
    pub(super) key: &'a str,
    /// The size of the value as JSON, in bytes.
    pub(super) bytes: usize,
}

impl Mutation {
    /// Creates a mutation that sets a key without a lease.
    pub fn put(key: String, value: &impl Serialize) -> Mutation {
        Mutation::set(key, value, None)
    }

    /// Creates a mutation that sets a key which is deleted when the lease ends.
    pub fn put_with_lease(key: String, value: &impl Serialize, lease_id: LeaseId) -> Mutation {
        Mutation::set(key, value, Some(lease_id))
    }

    /// Creates a mutation that deletes a key.
    pub fn delete(key: String) -> Mutation {
        Mutation::Delete { key }
    }

    fn set(key: String, value: &impl Serialize, lease_id: Option<LeaseId>) -> Mutation {
        Mutation::Set {
            key,
            value: serde_json::to_value(value).unwrap_or(Value::Null),
            lease_id,
        }
    }

    fn key(&self) -> &str {
        match self {
            Mutation::Set { key, .. } | Mutation::Delete { key } => key,
        }
    }

    /// Returns the new value if its size exceeds `max_bytes`.
    fn oversized_value(&self, max_bytes: usize) -> Option<OversizedValue<'_>> {
        let Mutation::Set { key, value, .. } = self else {
            return None;
        };
        let bytes = serde_json::to_vec(value).map_or(0, |json| json.len());
        (bytes > max_bytes).then_some(OversizedValue { key, bytes })
    }
}

/// A request to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    /// Reads one key.
    Get {
        /// The key.
        key: String,
    },
    /// Reads a page of the keys with a common prefix.
    List {
        /// The prefix of the keys.
        prefix: String,
        /// The last key of the previous page; `None` for the first page.
        start_after: Option<String>,
    },
    /// Applies all mutations atomically if all conditions hold.
    CompareAndSwap {
        /// The conditions that must hold.
        compares: Vec<Compare>,
        /// The mutations to apply.
        mutations: Vec<Mutation>,
    },
    /// Grants a new lease.
    GrantLease {
        /// Time after which the lease expires unless it is renewed.
        ttl: Micros,
    },
    /// Renews a lease.
    RenewLease {
        /// The lease.
        lease_id: LeaseId,
    },
    /// Ends a lease.
    RevokeLease {
        /// The lease.
        lease_id: LeaseId,
    },
}

impl Request {
    fn mutations(&self) -> &[Mutation] {
        match self {
            Request::CompareAndSwap { mutations, .. } => mutations,
            _ => &[],
        }
    }

    /// Returns the number of mutations, each of which counts against the store's write rate
    /// limit.
    pub(super) fn write_count(&self) -> usize {
        self.mutations().len()
    }

    /// Returns the first value whose size exceeds `max_bytes`.
    pub(super) fn oversized_value(&self, max_bytes: usize) -> Option<OversizedValue<'_>> {
        let mut mutations = self.mutations().iter();
        mutations.find_map(|mutation| mutation.oversized_value(max_bytes))
    }

    /// Returns the keys that the request reads or changes, or the prefix for a listing. Requests
    /// about leases have no keys.
    pub(super) fn keys(&self) -> Vec<&str> {
        match self {
            Request::Get { key } => vec![key],
            Request::List { prefix, .. } => vec![prefix],
            Request::CompareAndSwap { mutations, .. } => {
                mutations.iter().map(Mutation::key).collect()
            }
            Request::GrantLease { .. }
            | Request::RenewLease { .. }
            | Request::RevokeLease { .. } => Vec::new(),
        }
    }
}

/// Priority of a request when this controller's request budget is nearly used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// Requests about leases and grants, without which this controller may do nothing else.
    Critical,
    /// Requests that a user or a machine waits for.
    Normal,
    /// Requests that can be deferred.
    Background,
}

#[cfg(test)]
mod tests;
