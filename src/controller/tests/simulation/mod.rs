//! A deterministic simulation of a cluster around the controllers' cores: a key-value store,
//! a cloud, workers and users under one simulated clock, with the faults that the tests
//! inject. It must never depend on the time, the threads or the network of its host.

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

/// The zones that machines can be in.
pub const ZONES: [&str; 3] = ["x", "y", "z"];

/// A span of so many seconds.
pub fn secs(seconds: f64) -> Micros {
    Micros::from_secs(seconds)
}

/// The whole cluster, composed of its stand-ins.
pub struct Simulation {
    /// The simulated clock.
    pub now: Micros,
    /// The key-value store.
    pub store: SimulatedKvStore,
    /// The controllers, running or not.
    pub controllers: Vec<ControllerNode>,
    /// The workers of all machines, released ones included.
    pub workers: Vec<SimulatedWorker>,
    /// The cloud.
    pub cloud: SimulatedCloud,
    /// What is held back, lost or copied on its way.
    pub network: NetworkFaults,
    /// What users did and were answered.
    pub users: SimulatedUsers,
    invariants: Invariants,
    /// How long tasks run; none: until the test ends them.
    pub task_duration: Option<Micros>,
    /// After how long controllers that start from now on release an idle machine.
    pub idle_release_after: Micros,
    /// Records all effects, if the history is to be compared.
    pub recorder: Option<WireRecorder>,
}

impl Simulation {
    /// The recorded zone states, if there are any.
    pub fn zone_records(&self) -> Option<&Value> {
        self.store.keys.get(keys::ZONES).map(|stored| &stored.value)
    }
}
