//! The messages that controllers send to each other.
//!
//! Postcard is a positional format: the order and the types of variants and fields are the wire
//! form. They must never change within a frame version.

use crate::clock::Micros;
use crate::ids::{JobId, Label, MachineId, PartitionId, Revision, Term};
use crate::placement::CapacityRequest;
use serde::{Deserialize, Serialize};
use zone_failover::evidence::ZoneEvidence;

/// The state of a partition, as sent by its owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartitionState {
    /// Time of receipt, by the receiver's monotonic clock. Not part of the wire form.
    #[serde(skip)]
    pub received_at: Micros,
    /// The partition.
    pub partition: PartitionId,
    /// The fencing term of the owner's grant.
    pub term: Term,
    /// The missing capacity for the partition's pending tasks.
    pub capacity_requests: Vec<CapacityRequest>,
    /// Machines that the owner reports as faulty, so that the leader releases them to the cloud.
    /// They are silent, or neither responses nor direct commands reach them, or they are idle and
    /// must not be given tasks, for example because tasks failed on them. Idle machines that are
    /// no longer needed are not listed here: the owner marks them as released in their records.
    pub releasable_machines: Vec<MachineId>,
}

/// The state of a controller, which the controller sends to its peers at a fixed interval.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerState {
    /// The label of the sending controller.
    pub sender: Label,
    /// The sender's incarnation, by the revision of its member key; 0 if the sender is not a
    /// member.
    pub incarnation: Revision,
    /// Whether the sender reaches the key-value store.
    pub store_reachable: bool,
    /// Whether the sender receives the heartbeats of its machines.
    pub workers_reachable: bool,
    /// The states of the partitions that the sender owns.
    pub partitions: Vec<PartitionState>,
}

/// A message between controllers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The state of a controller and of the partitions that it owns.
    PeerState(PeerState),
    /// The cancellation of a job, which the store has committed. This message reaches the owner
    /// of the job's partition sooner than the owner's watch, or while the store is unreachable.
    Cancelled {
        /// The cancelled job.
        job: JobId,
        /// The store's revision at which the cancellation was committed.
        revision: Revision,
    },
    /// A controller's evidence on the health of the zones. Sent only if zone failover is enabled.
    /// Versions that do not know this message drop the frame.
    ZoneEvidence(ZoneEvidence),
}
