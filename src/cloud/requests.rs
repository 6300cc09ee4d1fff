//! What is requested of the cloud, what it replies, and the record that lets a successor
//! repeat a scale-out.

use super::{CloudMachine, MachineType};
use crate::ids::{MachineId, PartitionId};
use serde::{Deserialize, Serialize};

/// A request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// The machine types and their prices.
    MachineTypes,
    /// The whole list of instances, page by page.
    Machines,
    /// New instances. Idempotent: a request repeated under its name scales out once.
    ScaleOut {
        /// The name that makes the request idempotent.
        name: String,
        /// What is to be scaled out.
        record: ScaleOutRecord,
    },
    /// Release of these machines.
    Release(Vec<MachineId>),
}

/// The cloud's reply.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    /// The machine types.
    MachineTypes(Vec<MachineType>),
    /// The instances.
    Machines(Vec<CloudMachine>),
    /// The new instances: as many as the cloud had, at most as many as were requested.
    ScaledOut(Vec<MachineId>),
    /// The scale-out was not carried out and never will be: the cloud has no instance of
    /// this type, zone and kind, or cannot read the request.
    NoCapacity,
    /// The machines and all that ran on them are released.
    Released,
    /// A failure or no reply: the request may have been carried out, or may still be.
    Indeterminate,
}

/// A scale-out that was decided. It is recorded before the cloud gets the request: a successor
/// repeats it under the same name instead of scaling out a second time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScaleOutRecord {
    /// The type of the machines.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Their zone.
    pub zone: String,
    /// Whether they are spot instances, which the cloud may take back.
    pub spot: bool,
    /// How many.
    pub count: u32,
    /// The partition that they are for.
    #[serde(rename = "block")]
    pub partition: PartitionId,
}
