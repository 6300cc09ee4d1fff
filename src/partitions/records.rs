//! The records about partitions in the key-value store: terms, members, the format level, the
//! leader, partition owners and machines.
//!
//! This module owns only the stored form of the records. Where a stored field name differs from
//! the name in the code, `#[serde(rename)]` fixes it. The modules that write a record decide when
//! it may be written, and by which controller.

use super::format_level::FormatLevel;
use crate::ids::{Label, LeaseId, Revision, Term};
use serde::{Deserialize, Serialize};

/// Record of the allocated fencing terms. Every grant of a partition takes the next term.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct TermRecord {
    /// Last allocated term, 0 before the first allocation.
    pub last: Term,
}

/// Record of a controller that is a member of the cluster. Its key is attached to the member's
/// lease and written once per incarnation, so the key's revision identifies the incarnation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Address on which the member listens for its peers.
    pub addr: String,
    /// Lease to which the member's key is attached.
    #[serde(rename = "tenure")]
    pub lease_id: LeaseId,
    /// Newest format level that the member understands. Level 0 is not stored, and records of
    /// versions from before format levels lack the field.
    #[serde(default, skip_serializing_if = "FormatLevel::is_first")]
    pub format: FormatLevel,
}

/// Record of the format level in use: the highest that every controller understands.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FormatRecord {
    /// Format level in use.
    pub level: FormatLevel,
}

/// Record of the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Label of the leader.
    #[serde(rename = "holder")]
    pub leader: Label,
    /// Incarnation of the leader: the revision of its member key. A restarted controller has a
    /// new incarnation and does not continue its earlier leadership, so scale-out names that were
    /// allocated under one leadership are never used under the next.
    pub incarnation: Revision,
}

/// Record of the owner of a partition. It is valid while the member lease of the owner's
/// incarnation is valid.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartitionOwnerRecord {
    /// Label of the owner.
    #[serde(rename = "holder")]
    pub owner: Label,
    /// Incarnation of the owner. Revision 0 means that this owner has handed the partition back
    /// and that the partition has no owner.
    pub incarnation: Revision,
    /// Fencing term of the grant.
    pub term: Term,
    /// Names of the teams whose jobs belong to the partition.
    pub teams: Vec<String>,
}

/// Reason for which an owner released an idle machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReleaseReason {
    /// The machine moves to another partition.
    Move,
    /// The machine is returned to the cloud (scale-in).
    Return,
}

/// Record of a machine of a partition.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Address of the machine's worker, empty while unknown. It is learned from the worker's
    /// heartbeats and recorded when the machine is first used, or taken from the cloud's list
    /// when the machine is adopted.
    #[serde(rename = "a", default, skip_serializing_if = "String::is_empty")]
    pub addr: String,
    /// Name of the machine's type.
    #[serde(rename = "b")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether the machine is a spot instance, which the cloud may preempt.
    #[serde(rename = "s")]
    pub spot: bool,
    /// Fencing term of the machine. The higher of this term and the partition's term applies.
    #[serde(rename = "t")]
    pub term: Term,
    /// Whether an attempt may have been launched on the machine. Set before the first launch:
    /// after a failover, the new owner knows that nothing runs on a machine without this flag, and
    /// does not have to wait for its heartbeat.
    #[serde(rename = "u", default, skip_serializing_if = "std::ops::Not::not")]
    pub used: bool,
    /// Reason for which the owner released the machine, `None` if the machine is not released.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub release_reason: Option<ReleaseReason>,
}

/// Estimated size of a record without its machine type and its zone, in bytes.
const FIXED_RECORD_BYTES: usize = 100;

impl MachineRecord {
    /// Returns the estimated size of the record as JSON, in bytes. It includes the machine's
    /// identifier and the fields that are set later.
    pub(super) fn estimated_size(&self) -> usize {
        self.machine_type.len() + self.zone.len() + FIXED_RECORD_BYTES
    }

    /// Creates the record of a machine on which no attempt has been launched.
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
