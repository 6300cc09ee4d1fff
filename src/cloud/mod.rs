//! Machines of the cloud: types, renting, returning.

pub mod client;

use crate::fairness::Resources;
use crate::ids::{MachineId, PartitionId};
use serde::{Deserialize, Serialize};

/// A type of machine that the cloud rents out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// The type's name.
    pub name: String,
    /// Cores of a machine.
    pub cores: f64,
    /// Accelerators of a machine.
    #[serde(default)]
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory of a machine, in GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Room for images, in GB.
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: f64,
    /// How fast an image is fetched, in GB a second.
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    pub price: f64,
    /// Price an hour of one that the cloud may take back.
    #[serde(rename = "lowPrice")]
    pub spot_price: f64,
    /// How long it takes to come up, usually, in seconds.
    #[serde(rename = "readyS")]
    pub boot_s: f64,
    /// Where it is offered.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

impl MachineType {
    /// All that tasks may take of a machine.
    pub fn capacity(&self) -> Resources {
        Resources::new(self.cores, self.gpus, self.memory_gb)
    }
}

/// What the cloud says of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// Not up yet.
    Booting,
    /// Up.
    Running,
    /// It stopped on its own.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CloudMachine {
    /// The machine's name.
    pub id: MachineId,
    /// Where its worker takes direct commands.
    #[serde(default)]
    pub addr: Option<String>,
    /// Its type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the cloud may take it back.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Whether it is up.
    #[serde(rename = "standing")]
    pub state: InstanceState,
    /// Seconds since it was rented, when the list was made.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

/// What the cloud is asked.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// Which types there are, and their prices.
    MachineTypes,
    /// The whole list, page by page.
    Machines,
    /// To rent machines, under this name.
    ScaleOut(String, ScaleOutRecord),
    /// To take machines back.
    Release(Vec<MachineId>),
}

/// What the cloud answers.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    /// The types.
    MachineTypes(Vec<MachineType>),
    /// The machines.
    Machines(Vec<CloudMachine>),
    /// Rented, as many as there were.
    Rented(Vec<MachineId>),
    /// There are none of this type, zone and kind.
    NoCapacity,
    /// They and all that was on them are gone.
    Released,
    /// Trouble, or no answer: it may still be carried out.
    Indeterminate,
}

/// A rental that was decided, recorded before the cloud is asked: a successor
/// repeats it under the same name instead of renting again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScaleOutRecord {
    /// The type of the machines.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Their zone.
    pub zone: String,
    /// Whether the cloud may take them back.
    pub spot: bool,
    /// How many.
    pub count: u32,
    /// The partition that they are for.
    #[serde(rename = "block")]
    pub partition: PartitionId,
}
