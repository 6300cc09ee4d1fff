//! Machines' workers: the heartbeats that they send, the commands that they get, and an
//! owner's picture of each of its machines.
//!
//! This module owns the worker protocol's messages and [`Machine`]. It decides which commands
//! may still reach a worker and which attempts have surely ended; it never decides what runs
//! where, never waits, and never reads the clock.

mod agent;
mod attempt;
mod commands;
mod direct_commands;
mod failures;
mod fencing;
mod liveness;
mod machine;
mod protocol;
mod reconcile;
mod release;
mod reservations;
mod schedulability;
mod spec;

pub use attempt::{Attempt, AttemptKey, TaskDemand};
pub use commands::CommandRoute;
pub use failures::JobFailures;
pub use machine::Machine;
pub use protocol::{
    AttemptPhase, DirectCommand, ExitCause, Heartbeat, HeartbeatResponse, TaskStatus, WorkerCommand,
};
pub use reconcile::AttemptEvent;
pub use release::{ReleaseOutcome, ReleaseState};
pub use reservations::{Reservation, Reservations};
pub use spec::MachineSpec;

#[cfg(test)]
pub(crate) mod tests;
