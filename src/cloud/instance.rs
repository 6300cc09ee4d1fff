//! Instances as the cloud lists them.

use crate::ids::MachineId;
use serde::Deserialize;

/// State of an instance in the cloud's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance has not finished booting.
    Booting,
    /// The instance is running.
    Running,
    /// The instance has stopped without a release.
    Failed,
}

/// An instance in the cloud's list.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CloudMachine {
    /// Identifier of the machine.
    pub id: MachineId,
    /// Address at which the machine's worker accepts direct commands, `None` if not assigned yet.
    #[serde(default)]
    pub addr: Option<String>,
    /// Name of the instance's machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone of the instance.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the instance is a spot instance, which the cloud may preempt.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// State of the instance.
    #[serde(rename = "standing")]
    pub state: InstanceState,
    /// Time from the scale-out of the instance to the creation of the list, in seconds.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}
