//! The controller: one core that decides, and the thin tasks around it.
//!
//! This module starts them: the listeners, the tasks that feed the core, and the driver that
//! carries out what it decides. It decides nothing itself.

pub mod core;
pub(crate) mod direct_commands;
mod driver;
pub mod messages;
mod start;
mod store_tasks;
#[cfg(test)]
mod tests;

pub use start::{ListenError, run};
