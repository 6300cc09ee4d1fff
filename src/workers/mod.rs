//! Workers: the heartbeats that they send, the commands that they receive, and the state that
//! a controller keeps of each machine in a partition that it owns.
//!
//! The controller that owns a machine's partition is called the machine's owner. A heartbeat is
//! accepted if it is known to be newer than every heartbeat accepted before, also if the worker
//! may have restarted (see [`HeartbeatOrder`]), and shows a fencing token of the owner's term or of
//! a later one; any other heartbeat is stale. Only accepted heartbeats change what the owner knows
//! of the attempts on a machine.
//!
//! This module defines the messages of the worker protocol and [`Machine`]. It tracks which
//! commands may still reach a worker and which attempts are guaranteed to have ended. It does not
//! decide what runs where, never waits, and never reads the clock.

mod agent;
mod attempt;
mod commands;
mod direct_commands;
mod failures;
mod fencing;
mod heartbeat_order;
mod liveness;
mod machine;
mod protocol;
mod reconcile;
mod release;
mod reservations;
mod schedulability;
mod spec;
mod wake_up;

pub use attempt::{Attempt, AttemptKey, TaskDemand};
pub use failures::JobFailures;
pub use heartbeat_order::HeartbeatOrder;
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
