//! The records about partitions that the key-value store holds: terms, members, the
//! leader, partition owners and machines.
//!
//! Owns only their stored form. The field names on the wire are fixed by
//! `#[serde(rename)]`; who may write a record, and when, is decided by its writers.

use super::format_level::FormatLevel;
use crate::ids::{Label, LeaseId, Revision, Term};
use serde::{Deserialize, Serialize};

/// The last allocated term; every grant of a partition takes the next.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct TermRecord {
    /// The last allocated term.
    pub last: Term,
}

/// A controller that is a member of the cluster. Its key is attached to the member's own
/// lease and written once per incarnation, so that its revision names the incarnation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The address on which it listens for its peers.
    pub addr: String,
    /// The lease that its key is attached to.
    #[serde(rename = "tenure")]
    pub lease_id: LeaseId,
    /// The newest format level that it understands. Records of earlier versions lack it.
    #[serde(default, skip_serializing_if = "FormatLevel::is_first")]
    pub format: FormatLevel,
}

/// The format level in use: the highest that every controller understands.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FormatRecord {
    /// The level.
    pub level: FormatLevel,
}

/// The leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leader's label.
    #[serde(rename = "holder")]
    pub leader: Label,
    /// The leader's incarnation, by its member key's revision: machine names allocated
    /// under one leadership are never used by the next, even of the same controller.
    pub incarnation: Revision,
}

/// The owner of a partition. Valid while that incarnation's member lease is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartitionOwnerRecord {
    /// The owner's label.
    #[serde(rename = "holder")]
    pub owner: Label,
    /// The owner's incarnation. Revision 0: handed back, the partition has no owner.
    pub incarnation: Revision,
    /// The term of the grant.
    pub term: Term,
    /// The teams whose jobs belong to the partition.
    pub teams: Vec<String>,
}

/// Why an owner released an idle machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReleaseReason {
    /// It moves to another partition.
    Move,
    /// It goes back to the cloud: scale in.
    Return,
}

/// A machine of a partition.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Its address, learnt from its heartbeats and recorded when it is first used.
    #[serde(rename = "a", default, skip_serializing_if = "String::is_empty")]
    pub addr: String,
    /// The machine's type.
    #[serde(rename = "b")]
    pub machine_type: String,
    /// The machine's zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether it is a spot instance, which the cloud may preempt.
    #[serde(rename = "s")]
    pub spot: bool,
    /// The machine's own fencing term; the partition's counts if that is higher.
    #[serde(rename = "t")]
    pub term: Term,
    /// Set before any attempt is launched on it: after a failover the next owner knows
    /// that a machine without it is blank, and need not wait for its heartbeat.
    #[serde(rename = "u", default, skip_serializing_if = "std::ops::Not::not")]
    pub used: bool,
    /// Set once its owner released it.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub release_reason: Option<ReleaseReason>,
}

/// What the record takes beside its machine type and zone, in bytes.
const FIXED_BYTES: usize = 100;

impl MachineRecord {
    /// The estimated size of the record as JSON, in bytes, with its name and the fields
    /// that are set later.
    pub(super) fn estimated_size(&self) -> usize {
        self.machine_type.len() + self.zone.len() + FIXED_BYTES
    }

    /// A machine on which nothing was launched yet.
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
