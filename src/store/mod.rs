//! The state service: the only place where anything outlives a process.

pub mod client;
pub mod mirror;

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
    use crate::ids::{BlockId, JobId, Label};

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
    /// Who holds a block.
    pub fn holder(b: BlockId) -> String {
        format!("r/blocks/{b}/holder")
    }
    /// A block's machines don't fit one value: they are kept in shards.
    pub fn machines(b: BlockId, shard: u32) -> String {
        format!("r/blocks/{b}/machines/{shard}")
    }
    /// A job that is not over.
    pub fn job(id: &JobId) -> String {
        format!("r/jobs/{id}")
    }
    /// A page of a job's progress.
    pub fn page(id: &JobId, page: u32) -> String {
        format!("r/done/{id}/{page:04}")
    }
    /// A job that is over.
    pub fn ended(id: &JobId) -> String {
        format!("ended/{id}")
    }
    /// The teams' sums of a controller's blocks.
    pub fn sums(label: &Label) -> String {
        format!("r/sums/{label}")
    }
    /// A rental.
    pub fn rental(name: &str) -> String {
        format!("r/hires/{name}")
    }
}

/// A condition: the key's last change must be this one; revision 0: no such key.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Cond {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// What its last change must be.
    #[serde(rename = "stamp")]
    pub revision: Revision,
}

/// A condition on one key.
pub fn cond(key: String, revision: Revision) -> Cond {
    Cond { key, revision }
}

/// One change of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Op {
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
pub fn set(key: String, value: &impl Serialize) -> Op {
    Op::Set {
        key,
        value: serde_json::to_value(value).unwrap_or(Value::Null),
        lease_id: None,
    }
}

/// Sets a key that is deleted when the lease ends.
pub fn set_leased(key: String, value: &impl Serialize, lease_id: LeaseId) -> Op {
    Op::Set {
        key,
        value: serde_json::to_value(value).unwrap_or(Value::Null),
        lease_id: Some(lease_id),
    }
}

/// Deletes a key.
pub fn delete(key: String) -> Op {
    Op::Delete { key }
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
        starts: String,
        /// The last key of the page before.
        since: Option<String>,
    },
    /// A transaction.
    Txn {
        /// What must hold.
        conds: Vec<Cond>,
        /// What is changed if it does.
        ops: Vec<Op>,
    },
    /// A new lease.
    NewLease {
        /// How long it lives without a renewal.
        life: Micros,
    },
    /// To renew a lease.
    Renew {
        /// Which.
        lease_id: LeaseId,
    },
    /// To end a lease.
    EndLease {
        /// Which.
        lease_id: LeaseId,
    },
}

/// Who goes first when the budget is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Leases and grants: without them nothing else may be done.
    Vital,
    /// A user or a machine waits.
    Prompt,
    /// What can be done a little later.
    Spare,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Row {
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
    Found(Row),
    /// There is no such key.
    Missing,
    /// A page of keys.
    Rows {
        /// The keys of this page.
        rows: Vec<Row>,
        /// Whether there are more.
        more: bool,
        /// The revision that it was read at.
        ledger: u64,
    },
    /// The transaction was carried out, at this revision.
    Committed(Revision),
    /// It was not: conditions on these keys failed.
    Conflict(Vec<String>),
    /// The new lease.
    Leased(LeaseId),
    /// Done.
    Done,
    /// The lease named in a transaction or a renewal has ended.
    LeaseGone,
    /// Surely not carried out (429, 503, no budget, no connection).
    Refused,
    /// No answer: it may have been carried out, or may still be.
    Unknown,
}

/// One change that a watch tells of.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Change {
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
