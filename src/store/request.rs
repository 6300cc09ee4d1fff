//! Requests to the store: reads, compare-and-swaps and leases.

use crate::clock::Micros;
use crate::ids::{LeaseId, Revision};
use serde::Serialize;
use serde_json::Value;

/// A condition: the key's last change must be this one; revision 0: no such key.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Compare {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The expected revision of the key's last change.
    #[serde(rename = "stamp")]
    pub revision: Revision,
}

impl Compare {
    /// The condition that this is the revision of a key's last change.
    pub fn new(key: String, revision: Revision) -> Compare {
        Compare { key, revision }
    }
}

/// One change of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Mutation {
    /// Sets a key.
    Set {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// Its new value.
        value: Value,
        /// The lease that it is attached to.
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

/// A value that is too large to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct OversizedValue<'a> {
    /// The key that it was meant for.
    pub(super) key: &'a str,
    /// Its size as JSON, in bytes.
    pub(super) bytes: usize,
}

impl Mutation {
    /// Sets a key that is attached to no lease.
    pub fn put(key: String, value: &impl Serialize) -> Mutation {
        Mutation::set(key, value, None)
    }

    /// Sets a key that is deleted when the lease ends.
    pub fn put_with_lease(key: String, value: &impl Serialize, lease_id: LeaseId) -> Mutation {
        Mutation::set(key, value, Some(lease_id))
    }

    /// Deletes a key.
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

    /// The key that is changed.
    fn key(&self) -> &str {
        match self {
            Mutation::Set { key, .. } | Mutation::Delete { key } => key,
        }
    }

    /// The new value, if it is larger than this.
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
    /// Reads a page of the keys that begin alike.
    List {
        /// What they begin with.
        prefix: String,
        /// The last key of the page before.
        start_after: Option<String>,
    },
    /// Changes keys at once, if all conditions hold.
    CompareAndSwap {
        /// What must hold.
        compares: Vec<Compare>,
        /// What is changed if it does.
        mutations: Vec<Mutation>,
    },
    /// Grants a new lease.
    GrantLease {
        /// How long it is valid without a renewal.
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

    /// How many of the store's writes it uses up.
    pub(super) fn write_count(&self) -> usize {
        self.mutations().len()
    }

    /// The first value that is larger than this.
    pub(super) fn oversized_value(&self, max_bytes: usize) -> Option<OversizedValue<'_>> {
        let mut mutations = self.mutations().iter();
        mutations.find_map(|mutation| mutation.oversized_value(max_bytes))
    }

    /// The keys that it reads or changes; for a page, their prefix.
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

/// Which requests go first when the budget is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// Leases and grants: without them nothing else may be done.
    Critical,
    /// A user or a machine waits.
    Normal,
    /// What can be done a little later.
    Background,
}

#[cfg(test)]
mod tests;
