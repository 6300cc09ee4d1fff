//! The cloud that machines are scaled out from and released to.
//!
//! It owns the terms of the cloud's interface: machine types with their prices, listed
//! instances, requests with their replies, and the record that makes a scale-out repeatable.
//! [`client`] carries requests out; the forms on the wire are in one private module beside it.
//! Nothing here decides what to request: that is [`crate::autoscaler`]'s.

pub mod client;
mod instance;
mod machine_type;
mod requests;
mod wire;

pub use instance::{CloudMachine, InstanceState};
pub use machine_type::{MachineType, MachineTypes};
pub use requests::{CloudReply, CloudRequest, ScaleOutRecord};
