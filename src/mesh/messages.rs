//! The messages that controllers send each other.
//!
//! Postcard is positional: the order and the types of variants and fields are the wire form
//! and must never change within a frame version.

use crate::clock::Micros;
use crate::ids::{JobId, Label, MachineId, PartitionId, Revision, Term};
use crate::placement::CapacityRequest;
use serde::{Deserialize, Serialize};
use zone_failover::evidence::ZoneEvidence;

/// The state of a partition, as its owner sends it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartitionState {
    /// When it was received, by the receiver's monotonic clock. Not sent.
    #[serde(skip)]
    pub received_at: Micros,
    /// The partition.
    pub partition: PartitionId,
    /// The term of the owner's grant.
    pub term: Term,
    /// The capacity that its pending tasks lack.
    pub capacity_requests: Vec<CapacityRequest>,
    /// Idle machines that its owner offers for release.
    pub releasable_machines: Vec<MachineId>,
}

/// The state of a controller, which it sends at a fixed interval.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerState {
    /// The controller that sends it.
    pub sender: Label,
    /// The sender's incarnation.
    pub incarnation: Revision,
    /// Whether it reaches the key-value store.
    pub store_reachable: bool,
    /// Whether it receives its machines' heartbeats.
    pub workers_reachable: bool,
    /// The partitions that it owns.
    pub partitions: Vec<PartitionState>,
}

/// A message between controllers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The state of a controller and of its partitions.
    PeerState(PeerState),
    /// The store has committed a job's cancellation at this revision. The owner of its
    /// partition receives it here before its watch does, or while the store is unreachable.
    Cancelled {
        /// The cancelled job.
        job: JobId,
        /// The store's revision at which it was cancelled.
        revision: Revision,
    },
    /// A controller's evidence on the health of the zones. Sent only where zone failover is
    /// on; versions that do not know it drop the frame.
    ZoneEvidence(ZoneEvidence),
}
