//! Requests to the cloud, its replies, and the record with which a later leader can repeat a
//! scale-out.

use super::{CloudMachine, MachineType};
use crate::ids::{MachineId, PartitionId};
use serde::{Deserialize, Serialize};

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// Reads the machine types and their prices.
    MachineTypes,
    /// Reads the whole list of instances, page by page.
    Machines,
    /// Creates instances. A request that is repeated under the same name creates them only once.
    ScaleOut {
        /// Name that makes the request idempotent.
        name: String,
        /// Machines to create.
        record: ScaleOutRecord,
    },
    /// Releases these machines.
    Release(Vec<MachineId>),
}

/// The cloud's reply to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    /// The machine types.
    MachineTypes(Vec<MachineType>),
    /// The listed instances.
    Machines(Vec<CloudMachine>),
    /// The created instances. There are fewer than requested if the cloud had no more.
    ScaledOut(Vec<MachineId>),
    /// The scale-out was not carried out and never will be. The cloud has no instance of this
    /// type, zone and kind (spot or on-demand), or rejected the request as malformed.
    NoCapacity,
    /// The machines are released, and nothing runs on them any more.
    Released,
    /// The request failed or had no reply. It may have been carried out, or may still be.
    Indeterminate,
}

/// Record of a scale-out. It is written before the request is sent to the cloud, so that a later
/// leader repeats the request under the same name and does not scale out a second time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScaleOutRecord {
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone of the machines.
    pub zone: String,
    /// Whether the machines are spot instances, which the cloud may preempt.
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
    /// Partition that the machines are requested for.
    #[serde(rename = "block")]
    pub partition: PartitionId,
}
