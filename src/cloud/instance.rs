//! Instances as the cloud lists them.

use crate::ids::MachineId;
use serde::Deserialize;

/// How far an instance is, as the cloud lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// Not up yet.
    Booting,
    /// Up.
    Running,
    /// It stopped by itself.
    Failed,
}

/// An instance in the cloud's list.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CloudMachine {
    /// The machine's identifier.
    pub id: MachineId,
    /// Where its worker takes direct commands.
    #[serde(default)]
    pub addr: Option<String>,
    /// Its type's name.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot instance, which the cloud may take back.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How far it is.
    #[serde(rename = "standing")]
    pub state: InstanceState,
    /// Seconds since it was scaled out, when the list was made.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}
