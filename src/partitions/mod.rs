//! Partitions of machines: who leads, who holds which partition, under which term.

pub mod lease;
pub mod membership;

use crate::ids::{Label, LeaseId, MachineId, PartitionId, Revision, Term};
use crate::store::{self, Compare, Mutation, compare, keys};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The last term given out; every grant takes the next.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct TermRecord {
    /// The last term given out.
    pub last: Term,
}

/// A controller that takes part, attached to its own lease. The key is written
/// once per incarnation, so its revision names the incarnation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Where it listens for its peers.
    pub addr: String,
    /// The lease that its key is attached to.
    #[serde(rename = "tenure")]
    pub lease_id: LeaseId,
    /// The newest format that it understands. Records of earlier versions lack it.
    #[serde(default, skip_serializing_if = "FormatLevel::is_first")]
    pub format: FormatLevel,
}

/// Which records and requests a version understands. A new level is used only once every
/// controller has been seen with it; the store remembers that, and the level never falls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FormatLevel(pub u32);

impl FormatLevel {
    /// Jobs may name others that have to be done before them. A version of an earlier
    /// level would start them at once.
    pub const DEPENDENCIES: FormatLevel = FormatLevel(1);
    /// The newest level that this version understands.
    pub const NEWEST: FormatLevel = FormatLevel::DEPENDENCIES;

    fn is_first(&self) -> bool {
        *self == FormatLevel::default()
    }
}

/// The format level that every controller understands.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FormatRecord {
    /// The level.
    pub level: FormatLevel,
}

/// Who leads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leader's label.
    #[serde(rename = "holder")]
    pub leader: Label,
    /// Of the owner, by its member key's revision: names given out under one
    /// leadership are never used by the next, even of the same controller.
    pub incarnation: Revision,
}

/// Who holds a partition. Valid while that incarnation's member lease lives.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartitionOwnerRecord {
    /// The owner's label.
    #[serde(rename = "holder")]
    pub owner: Label,
    /// Revision 0: handed back, nobody holds it.
    pub incarnation: Revision,
    /// The term of the grant.
    pub term: Term,
    /// The teams whose jobs belong to the partition.
    pub teams: Vec<String>,
}

/// What an owner wants done with a machine that it gave up, idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReleaseReason {
    /// To another partition.
    Move,
    /// Back to the cloud.
    Return,
}

/// A machine of a partition.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Learnt from its reports, and recorded when it is first used.
    #[serde(rename = "a", default, skip_serializing_if = "String::is_empty")]
    pub addr: String,
    /// The machine's type.
    #[serde(rename = "b")]
    pub machine_type: String,
    /// The machine's zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether the cloud may take it back.
    #[serde(rename = "s")]
    pub spot: bool,
    /// The machine's own term; the partition's counts if that is higher.
    #[serde(rename = "t")]
    pub term: Term,
    /// Set before anything is launched on it: a successor knows then that a
    /// machine without it is blank, and need not wait for its report.
    #[serde(rename = "u", default, skip_serializing_if = "std::ops::Not::not")]
    pub used: bool,
    /// Given up by its owner, and what for.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub release_reason: Option<ReleaseReason>,
}

impl MachineRecord {
    /// About how long the record is as JSON, its name and later marks included.
    fn size(&self) -> usize {
        self.machine_type.len() + self.zone.len() + 100
    }

    /// A machine that nothing was launched on yet.
    pub fn blank(addr: String, machine_type: &str, zone: &str, spot: bool) -> Self {
        MachineRecord {
            addr,
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            term: Term(0),
            used: false,
            release_reason: None,
        }
    }
}

/// A shard of a partition's machines.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MachinesRecord(pub BTreeMap<MachineId, MachineRecord>);

/// Larger shards cost every watcher more at each change than they save.
const SHARD_BYTES: usize = 8 * 1024;

impl MachinesRecord {
    /// About how long it is as JSON.
    pub fn size(&self) -> usize {
        self.0.values().map(MachineRecord::size).sum()
    }

    /// Whether one more fits without coming near what a value may hold.
    pub fn has_room(&self, rec: &MachineRecord, value_bytes: usize) -> bool {
        self.0.is_empty() || self.size() + rec.size() <= most_shard_bytes(value_bytes)
    }

    /// Whether it is too large to be written under this limit. An earlier version may
    /// have written it under a higher one.
    pub fn is_oversize(&self, value_bytes: usize) -> bool {
        self.0.len() > 1 && self.size() > most_shard_bytes(value_bytes)
    }

    /// In parts that each can be written under this limit.
    pub fn split(self, value_bytes: usize) -> Vec<MachinesRecord> {
        let mut parts = vec![MachinesRecord::default()];
        for (id, rec) in self.0 {
            let last = parts.len() - 1;
            if parts[last].has_room(&rec, value_bytes) {
                parts[last].0.insert(id, rec);
            } else {
                parts.push(MachinesRecord(BTreeMap::from([(id, rec)])));
            }
        }
        parts
    }
}

/// Writes a shard of a partition in parts: the first in its place, the others under free numbers.
pub fn write_parts(
    partition: PartitionId,
    (shard, revision): (u32, Revision),
    parts: Vec<MachinesRecord>,
    free: impl Iterator<Item = u32>,
) -> (Vec<Compare>, Vec<Mutation>) {
    let further = free.map(|number| (number, Revision(0)));
    let places = std::iter::once((shard, revision)).chain(further);
    let (mut compares, mut mutations) = (Vec::new(), Vec::new());
    for ((number, revision), part) in places.zip(parts) {
        let key = keys::shard(partition, number);
        compares.push(compare(key.clone(), revision));
        mutations.push(store::put(key, &part));
    }
    (compares, mutations)
}

/// What a shard may hold where a value holds so much.
fn most_shard_bytes(value_bytes: usize) -> usize {
    SHARD_BYTES.min(value_bytes - value_bytes / SPARE_PART)
}

/// One part in so many of a value stays free, since sizes are estimates.
const SPARE_PART: usize = 8;
