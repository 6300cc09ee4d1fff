//! The controller: the core, which makes all decisions, and the tasks that do its input and
//! output.
//!
//! [`run`] starts the listeners, the tasks that feed the core, and the driver that carries out
//! the core's effects. Nothing outside the core makes decisions.

pub mod core;
pub(crate) mod direct_commands;
mod driver;
pub mod messages;
mod start;
mod store_tasks;
#[cfg(test)]
mod tests;

pub use start::{ListenError, run};
