//! The types of machines that the cloud offers.

use crate::fairness::Resources;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Shared list of the machine types with their prices.
pub type MachineTypes = Arc<Vec<MachineType>>;

/// A type of machine that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// Number of cores of a machine.
    pub cores: f64,
    /// Number of GPUs of a machine.
    #[serde(default)]
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory of a machine, in GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Size of the cache for images, in GB.
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: f64,
    /// Rate at which an image is fetched, in GB per second.
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand instance per hour.
    pub price: f64,
    /// Price of a spot instance per hour.
    #[serde(rename = "lowPrice")]
    pub spot_price: f64,
    /// Usual boot time of an instance, in seconds.
    #[serde(rename = "readyS")]
    pub boot_s: f64,
    /// Zones in which the type is offered.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// Returns the resources of a machine that are available to tasks.
    pub fn capacity(&self) -> Resources {
        Resources::new(self.cores, self.gpus, self.memory_gb)
    }
}
