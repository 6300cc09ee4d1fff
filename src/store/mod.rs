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

pub mod keys {
    use crate::ids::{BlockId, JobId, Label};

    pub const TERM: &str = "r/term";
    pub const LEADER: &str = "r/leader";
    pub const TYPES: &str = "r/types";

    pub fn member(label: &Label) -> String {
        format!("r/members/{label}")
    }
    pub fn holder(b: BlockId) -> String {
        format!("r/blocks/{b}/holder")
    }
    /// A block's machines don't fit one value: they are kept in shards.
    pub fn machines(b: BlockId, shard: u32) -> String {
        format!("r/blocks/{b}/machines/{shard}")
    }
    pub fn job(id: &JobId) -> String {
        format!("r/jobs/{id}")
    }
    pub fn page(id: &JobId, page: u32) -> String {
        format!("r/done/{id}/{page:04}")
    }
    pub fn ended(id: &JobId) -> String {
        format!("ended/{id}")
    }
    pub fn sums(label: &Label) -> String {
        format!("r/sums/{label}")
    }
    pub fn rental(name: &str) -> String {
        format!("r/hires/{name}")
    }
}

/// A condition: the key's last change must be this one; revision 0: no such key.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Cond {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "stamp")]
    pub revision: Revision,
}

pub fn cond(key: String, revision: Revision) -> Cond {
    Cond { key, revision }
}

#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Op {
    Set {
        #[serde(rename = "set")]
        key: String,
        value: Value,
        #[serde(rename = "tenure", skip_serializing_if = "Option::is_none")]
        lease_id: Option<LeaseId>,
    },
    Delete {
        #[serde(rename = "delete")]
        key: String,
    },
}

pub fn set(key: String, value: &impl Serialize) -> Op {
    Op::Set {
        key,
        value: serde_json::to_value(value).unwrap_or(Value::Null),
        lease_id: None,
    }
}

pub fn set_leased(key: String, value: &impl Serialize, lease_id: LeaseId) -> Op {
    Op::Set {
        key,
        value: serde_json::to_value(value).unwrap_or(Value::Null),
        lease_id: Some(lease_id),
    }
}

pub fn delete(key: String) -> Op {
    Op::Delete { key }
}

#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    Get {
        key: String,
    },
    List {
        starts: String,
        since: Option<String>,
    },
    Txn {
        conds: Vec<Cond>,
        ops: Vec<Op>,
    },
    NewLease {
        life: Micros,
    },
    Renew {
        lease_id: LeaseId,
    },
    EndLease {
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

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Row {
    #[serde(rename = "k")]
    pub key: String,
    pub value: Value,
    #[serde(rename = "stamp")]
    pub revision: Revision,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    Found(Row),
    Missing,
    Rows {
        rows: Vec<Row>,
        more: bool,
        ledger: u64,
    },
    Committed(Revision),
    Conflict(Vec<String>),
    Leased(LeaseId),
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
    pub set: Option<String>,
    pub delete: Option<String>,
    #[serde(default)]
    pub value: Value,
    #[serde(rename = "stamp")]
    pub revision: Revision,
}
