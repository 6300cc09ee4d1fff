//! Machines of the cloud: types, renting, returning.

pub mod client;
pub mod manager;
mod shards;

use crate::fairness::Resources;
use crate::ids::MachineId;
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: String,
    pub cores: f64,
    #[serde(default)]
    pub cards: f64,
    #[serde(rename = "memGb")]
    pub mem: f64,
    #[serde(rename = "cacheGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    pub price: f64,
    #[serde(rename = "lowPrice")]
    pub spot_price: f64,
    #[serde(rename = "readyS")]
    pub boot_s: f64,
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

impl MachineType {
    pub fn capacity(&self) -> Resources {
        Resources::new(self.cores, self.cards, self.mem)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CloudStanding {
    Booting,
    Running,
    Failed,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Listed {
    pub id: MachineId,
    #[serde(default)]
    pub addr: Option<String>,
    pub build: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    pub standing: CloudStanding,
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    Types,
    /// The whole list, page by page.
    List,
    Rent(String, crate::blocks::RentalRecord),
    Return(Vec<MachineId>),
}

#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    Types(Vec<MachineType>),
    List(Vec<Listed>),
    Rented(Vec<MachineId>),
    NoCapacity,
    Returned,
    /// Trouble, or no answer: it may still be carried out.
    Unknown,
}
