//! What this controller has read of the store, in the order of its changes.
//!
//! It may lag. Nothing is decided by it alone: every write names the stamps
//! that it relies on, so a view that is out of date makes the write fail.

use super::{Change, Row, keys};
use crate::blocks::{HireRec, HolderRec, LeaderRec, MachinesRec, MemberRec, TermRec};
use crate::fleet::MachineType;
use crate::ids::{BlockId, JobId, Label, Stamp};
use crate::jobs::JobRec;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeMap;
use std::rc::Rc;

type Table<K, V> = BTreeMap<K, (Stamp, V)>;

#[derive(Debug, Default)]
pub struct Mirror {
    pub loaded: bool,
    pub term: (Stamp, TermRec),
    pub leader: Option<(Stamp, LeaderRec)>,
    pub types: Option<(Stamp, Vec<MachineType>)>,
    pub members: Table<Label, MemberRec>,
    pub holders: Table<BlockId, HolderRec>,
    pub machines: Table<BlockId, Rc<MachinesRec>>,
    pub jobs: Table<JobId, Rc<JobRec>>,
    pub pages: Table<(JobId, u32), Vec<(u32, u32)>>,
    pub hires: Table<String, HireRec>,
    pub sums: Table<Label, Value>,
}

/// What a change touched, for those who keep more than the mirror does.
#[derive(Debug, Clone, PartialEq)]
pub enum Touched {
    Holder(BlockId),
    Machines(BlockId),
    Job(JobId),
    Other,
}

fn put<K: Ord, T: DeserializeOwned>(
    table: &mut Table<K, T>,
    key: K,
    value: Option<Value>,
    stamp: Stamp,
) {
    match value.and_then(|v| serde_json::from_value(v).ok()) {
        Some(v) => table.insert(key, (stamp, v)),
        None => table.remove(&key),
    };
}

fn put_rc<K: Ord, T: DeserializeOwned>(
    table: &mut Table<K, Rc<T>>,
    key: K,
    value: Option<Value>,
    stamp: Stamp,
) {
    match value.and_then(|v| serde_json::from_value(v).ok()) {
        Some(v) => table.insert(key, (stamp, Rc::new(v))),
        None => table.remove(&key),
    };
}

impl Mirror {
    /// Starts over from a full reading.
    pub fn load(&mut self, rows: Vec<Row>) {
        *self = Mirror {
            loaded: true,
            ..Mirror::default()
        };
        for row in rows {
            self.apply(&row.key, Some(row.value), row.stamp);
        }
    }

    pub fn change(&mut self, c: Change) -> Touched {
        match (c.set, c.delete) {
            (Some(key), _) => self.apply(&key, Some(c.value), c.stamp),
            (None, Some(key)) => self.apply(&key, None, c.stamp),
            (None, None) => Touched::Other,
        }
    }

    fn apply(&mut self, key: &str, value: Option<Value>, stamp: Stamp) -> Touched {
        let parts: Vec<&str> = key.split('/').collect();
        match parts.as_slice() {
            ["r", "term"] => {
                let rec = value.and_then(|v| serde_json::from_value(v).ok());
                self.term = rec.map_or_else(Default::default, |r| (stamp, r));
            }
            ["r", "leader"] => {
                self.leader = value
                    .and_then(|v| serde_json::from_value(v).ok())
                    .map(|r| (stamp, r));
            }
            ["r", "types"] => {
                self.types = value
                    .and_then(|v| serde_json::from_value(v).ok())
                    .map(|r| (stamp, r));
            }
            ["r", "members", label] => put(&mut self.members, Label::from(*label), value, stamp),
            ["r", "sums", label] => put(&mut self.sums, Label::from(*label), value, stamp),
            ["r", "hires", name] => put(&mut self.hires, name.to_string(), value, stamp),
            ["r", "blocks", b, what] => {
                let Ok(b) = b.parse().map(BlockId) else {
                    return Touched::Other;
                };
                if *what == "holder" {
                    put(&mut self.holders, b, value, stamp);
                    return Touched::Holder(b);
                }
                put_rc(&mut self.machines, b, value, stamp);
                return Touched::Machines(b);
            }
            ["r", "jobs", id] => {
                let id = JobId::from(*id);
                put_rc(&mut self.jobs, id.clone(), value, stamp);
                return Touched::Job(id);
            }
            ["r", "done", id, page] => {
                if let Ok(page) = page.parse() {
                    put(&mut self.pages, (JobId::from(*id), page), value, stamp);
                }
            }
            _ => {}
        }
        Touched::Other
    }

    /// The stamp of a block's holder key, 0 if it has none.
    pub fn holder_stamp(&self, b: BlockId) -> Stamp {
        self.holders.get(&b).map_or(Stamp(0), |h| h.0)
    }

    pub fn machines_stamp(&self, b: BlockId) -> Stamp {
        self.machines.get(&b).map_or(Stamp(0), |m| m.0)
    }

    /// Whether the incarnation that a block names still has its member lease.
    pub fn holder_alive(&self, rec: &HolderRec) -> bool {
        self.members
            .get(&rec.holder)
            .is_some_and(|(stamp, _)| *stamp == rec.incarnation)
    }

    /// The keys of a job's finished pages, for tidying up.
    pub fn page_keys(&self, id: &JobId) -> Vec<String> {
        self.pages
            .range((id.clone(), 0)..=(id.clone(), u32::MAX))
            .map(|((id, page), _)| keys::page(id, *page))
            .collect()
    }
}
