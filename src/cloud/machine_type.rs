//! The types of machines that the cloud offers.

use crate::fairness::Resources;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The price list as the cloud last gave it, shared by those that read it.
pub type MachineTypes = Arc<Vec<MachineType>>;

/// A type of machine that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// The type's name.
    pub name: String,
    /// Cores of a machine.
    pub cores: f64,
    /// GPUs of a machine.
    #[serde(default)]
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory of a machine, in GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Room for images, in GB.
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: f64,
    /// How fast an image is fetched, in GB per second.
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an ordinary (on-demand) instance per hour.
    pub price: f64,
    /// Price of a spot instance per hour.
    #[serde(rename = "lowPrice")]
    pub spot_price: f64,
    /// How long an instance usually takes to boot, in seconds.
    #[serde(rename = "readyS")]
    pub boot_s: f64,
    /// The zones that offer it.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// All that tasks may take of a machine.
    pub fn capacity(&self) -> Resources {
        Resources::new(self.cores, self.gpus, self.memory_gb)
    }
}
