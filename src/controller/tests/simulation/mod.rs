//! A deterministic simulation of a cluster around the controllers' cores.
//!
//! It simulates the key-value store, the cloud, the workers and the users under one simulated
//! clock, and injects the faults that a test requests. A run must never depend on the clock,
//! the threads or the network of its host.

mod builder;
mod cloud;
mod controller;
mod invariants;
mod kv_store;
mod network;
mod steps;
mod users;
mod worker;

pub use controller::ControllerNode;
pub use kv_store::SimulatedKvStore;
pub use network::HeldTransaction;
pub use users::LookupAnswer;
pub use worker::{ExitCause, SimulatedWorker, TaskAttempt};

use super::characterization::WireRecorder;
use crate::clock::Micros;
use crate::store::keys;
use cloud::SimulatedCloud;
use invariants::Invariants;
use network::NetworkFaults;
use serde_json::Value;
use users::SimulatedUsers;

/// Zones in which machines can run.
pub const ZONES: [&str; 3] = ["x", "y", "z"];

/// Converts a duration in seconds to microseconds.
pub fn secs(seconds: f64) -> Micros {
    Micros::from_secs(seconds)
}

/// A simulated cluster: the controllers and simulations of everything that they talk to.
pub struct Simulation {
    /// The simulated clock.
    pub now: Micros,
    /// The key-value store.
    pub store: SimulatedKvStore,
    /// All controllers, including those whose process is not running.
    pub controllers: Vec<ControllerNode>,
    /// The workers of all machines, including released machines.
    pub workers: Vec<SimulatedWorker>,
    /// The cloud.
    pub cloud: SimulatedCloud,
    /// Messages that are held back or copied in transit.
    pub network: NetworkFaults,
    /// The users, with the jobs they submitted and the answers they received.
    pub users: SimulatedUsers,
    invariants: Invariants,
    /// Run time of each task. `None`: tasks run until the test ends them.
    pub task_duration: Option<Micros>,
    /// Idle time after which a controller releases a machine. Takes effect when a controller
    /// starts.
    pub idle_release_after: Micros,
    /// Records the effects of all controllers for comparison with a snapshot. `None`: nothing
    /// is recorded.
    pub recorder: Option<WireRecorder>,
}

impl Simulation {
    /// Returns the stored zone records, or `None` if none have been written.
    pub fn zone_records(&self) -> Option<&Value> {
        self.store.keys.get(keys::ZONES).map(|stored| &stored.value)
    }
}
