//! The cloud that machines are scaled out from and released to.
//!
//! This module owns the types of the cloud's interface: machine types with their prices, listed
//! instances, requests with their replies, and the record that makes a scale-out repeatable.
//! [`client`] executes requests, and a private module contains the wire format. The module never
//! decides what to request. [`crate::autoscaler`] does.

pub mod client;
mod instance;
mod machine_type;
mod requests;
mod wire;

pub use instance::{CloudMachine, InstanceState};
pub use machine_type::{MachineType, MachineTypes};
pub use requests::{CloudReply, CloudRequest, ScaleOutRecord};
