//! What a machine is: the properties that its record and its machine type give it.

use crate::fairness::Resources;

/// What a machine is, and where its worker takes commands.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct MachineSpec {
    /// The name of its machine type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot instance, which the cloud may preempt.
    pub spot: bool,
    /// All that tasks may use of it.
    pub capacity: Resources,
    /// The address at which its worker takes direct commands; empty: not known yet.
    pub addr: String,
    /// The shard of the partition's machine records that it is recorded in.
    pub shard: u32,
    /// How fast it fetches an image, in gigabytes per second.
    pub image_fetch_gb_per_s: f64,
}
