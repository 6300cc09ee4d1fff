//! The properties of a machine that are taken from its record and from its machine type.

use crate::fairness::Resources;

/// The properties of a machine, and the address of its worker.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct MachineSpec {
    /// The name of the machine type.
    pub machine_type: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether the machine is a spot instance, which the cloud may preempt.
    pub spot: bool,
    /// The resources that tasks may use on the machine.
    pub capacity: Resources,
    /// The address at which the worker takes direct commands; empty if it is not known yet.
    pub addr: String,
    /// The shard of the partition's machine records that holds this machine's record.
    pub shard: u32,
    /// Rate at which the machine fetches images, in gigabytes per second.
    pub image_fetch_gb_per_s: f64,
}
