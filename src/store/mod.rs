//! The state service: the only place where anything outlives a process.

pub mod client;

use crate::clock::Micros;
use crate::ids::{LeaseId, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// What every controller watches lies below this; ended jobs lie outside it,
/// so that a watch or a fresh start never reads all of history.
pub const ROOT: &str = "r/";

/// Our transactions stay below this; they may have 64 KiB.
pub const TXN_BYTES: usize = 40 * 1024;

/// The names of all keys.
pub mod keys {
    use crate::ids::{JobId, Label, PartitionId};

    /// The last term given out.
    pub const TERM: &str = "r/term";
    /// Who leads.
    pub const LEADER: &str = "r/leader";
    /// The machine types.
    pub const TYPES: &str = "r/types";
    /// The format level that every controller understands.
    pub const FORMAT: &str = "r/format";

    /// The states of all zones.
    pub const ZONES: &str = "r/zones";

    /// A controller's membership.
    pub fn member(label: &Label) -> String {
        format!("r/members/{label}")
    }
    /// Who holds a partition.
    pub fn partition_owner(b: PartitionId) -> String {
        format!("r/blocks/{b}/holder")
    }
    /// A partition's machines don't fit one value: they are kept in shards.
    pub fn shard(b: PartitionId, shard: u32) -> String {
        format!("r/blocks/{b}/machines/{shard}")
    }
    /// A job that is not over.
    pub fn job(id: &JobId) -> String {
        format!("r/jobs/{id}")
    }
    /// A page of a job's progress.
    pub fn progress_page(id: &JobId, page: u32) -> String {
        format!("r/done/{id}/{page:04}")
    }
    /// A job that is over.
    pub fn ended(id: &JobId) -> String {
        format!("ended/{id}")
    }
    /// The teams' sums of a controller's partitions.
    pub fn team_usage(label: &Label) -> String {
        format!("r/sums/{label}")
    }
    /// A rental.
    pub fn scale_out(name: &str) -> String {
        format!("r/hires/{name}")
    }
}

/// A condition: the key's last change must be this one; revision 0: no such key.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Compare {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// What its last change must be.
    #[serde(rename = "stamp")]
    pub revision: Revision,
}

/// A condition on one key.
pub fn compare(key: String, revision: Revision) -> Compare {
    Compare { key, revision }
}

/// One change of a transaction.
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

/// Sets a key that is attached to no lease.
pub fn put(key: String, value: &impl Serialize) -> Mutation {
    Mutation::Set {
        key,
        value: serde_json::to_value(value).unwrap_or(Value::Null),
        lease_id: None,
    }
}

/// Sets a key that is deleted when the lease ends.
pub fn put_with_lease(key: String, value: &impl Serialize, lease_id: LeaseId) -> Mutation {
    Mutation::Set {
        key,
        value: serde_json::to_value(value).unwrap_or(Value::Null),
        lease_id: Some(lease_id),
    }
}

/// Deletes a key.
pub fn delete(key: String) -> Mutation {
    Mutation::Delete { key }
}

/// What the state service is asked.
#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    /// One key.
    Get {
        /// The key.
        key: String,
    },
    /// A page of the keys that begin alike.
    List {
        /// What they begin with.
        prefix: String,
        /// The last key of the page before.
        start_after: Option<String>,
    },
    /// A transaction.
    CompareAndSwap {
        /// What must hold.
        compares: Vec<Compare>,
        /// What is changed if it does.
        mutations: Vec<Mutation>,
    },
    /// A new lease.
    GrantLease {
        /// How long it lives without a renewal.
        ttl: Micros,
    },
    /// To renew a lease.
    RenewLease {
        /// Which.
        lease_id: LeaseId,
    },
    /// To end a lease.
    RevokeLease {
        /// Which.
        lease_id: LeaseId,
    },
}

/// Who goes first when the budget is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPriority {
    /// Leases and grants: without them nothing else may be done.
    Critical,
    /// A user or a machine waits.
    Normal,
    /// What can be done a little later.
    Background,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its value.
    pub value: Value,
    /// Of its last change.
    #[serde(rename = "stamp")]
    pub revision: Revision,
}

/// What the state service answers.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The key that was asked for.
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
        revision: u64,
    },
    /// The transaction was carried out, at this revision.
    Committed(Revision),
    /// It was not: conditions on these keys failed.
    Conflict(Vec<String>),
    /// The new lease.
    LeaseGranted(LeaseId),
    /// Done.
    Acknowledged,
    /// The lease named in a transaction or a renewal has ended.
    LeaseExpired,
    /// Surely not carried out (429, 503, no budget, no connection).
    Rejected,
    /// No answer: it may have been carried out, or may still be.
    Indeterminate,
}

/// One change that a watch tells of.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct WatchEvent {
    /// The key that was set.
    pub set: Option<String>,
    /// The key that was deleted.
    pub delete: Option<String>,
    /// The new value of a key that was set.
    #[serde(default)]
    pub value: Value,
    /// Of the change.
    #[serde(rename = "stamp")]
    pub revision: Revision,
}
