//! Builds simulations: the number of controllers and machines, and changes to the settings.

use super::cloud::SimulatedCloud;
use super::controller::ControllerNode;
use super::invariants::Invariants;
use super::kv_store::SimulatedKvStore;
use super::network::NetworkFaults;
use super::users::SimulatedUsers;
use super::worker::SimulatedWorker;
use super::{Simulation, secs};
use crate::jobs::tests::machine_types;
use crate::settings::Settings;
use crate::settings::tests::example;
use serde_json::{Value, json};

/// Time in seconds within which a small fleet is adopted after a cold start.
const WARM_UP_S: f64 = 6.0;

type SettingsChange = Box<dyn Fn(&mut Value)>;

/// Builds a simulation with a given number of controllers and machines and changed settings.
pub struct SimulationBuilder {
    controllers: usize,
    machines: usize,
    changes: Vec<SettingsChange>,
}

impl SimulationBuilder {
    /// Applies a change to the settings file of each controller.
    pub fn settings(mut self, change: impl Fn(&mut Value) + 'static) -> Self {
        self.changes.push(Box::new(change));
        self
    }

    fn each_team(self, change: impl Fn(&mut Value) + 'static) -> Self {
        self.settings(move |settings| {
            let teams = settings["settings"]["teams"].as_array_mut();
            teams.expect("teams").iter_mut().for_each(&change);
        })
    }

    /// Sets each team's guaranteed quota and quota limit, in cores.
    pub fn team_quotas(self, guaranteed: f64, limit: f64) -> Self {
        self.each_team(move |team| {
            team["cpus"] = guaranteed.into();
            team["cpus_max"] = limit.into();
        })
    }

    /// Sets each team's quota limit, in cores.
    pub fn team_limits(self, limit: f64) -> Self {
        self.each_team(move |team| team["cpus_max"] = limit.into())
    }

    /// Adds the team `guests`, which has neither a guaranteed quota nor a quota limit.
    pub fn guest_team(self) -> Self {
        self.settings(|settings| {
            let teams = settings["settings"]["teams"].as_array_mut();
            teams.expect("teams").push(json!({"name": "guests"}));
        })
    }

    /// Gives each controller a whole processor core, which is enough for thousands of machines.
    pub fn whole_core(self) -> Self {
        self.settings(|settings| settings["settings"]["limits"]["cpu_share"] = 1.0.into())
    }

    fn controller(&self, index: usize) -> ControllerNode {
        let count = self.controllers;
        let mut settings = example();
        settings["label"] = format!("c{index}").into();
        let seed = |peer| json!({"label": format!("c{peer}"), "addr": "127.0.0.1:9003"});
        settings["seeds"] = (0..count).filter(|peer| *peer != index).map(seed).collect();
        settings["settings"]["initial_size"] = count.into();
        for change in &self.changes {
            change(&mut settings);
        }
        let settings: Settings = serde_json::from_value(settings).expect("settings");
        ControllerNode::new(settings)
    }

    /// Builds the simulation and starts all controllers, without advancing the clock.
    pub fn build(self) -> Simulation {
        let now = secs(1.0);
        let controllers = (0..self.controllers).map(|index| self.controller(index));
        let workers =
            (0..self.machines).map(|number| SimulatedWorker::new(number, "big", "x", now));
        let mut simulation = Simulation {
            now,
            store: SimulatedKvStore::default(),
            controllers: controllers.collect(),
            workers: workers.collect(),
            cloud: SimulatedCloud::new(machine_types()),
            network: NetworkFaults::default(),
            users: SimulatedUsers::default(),
            invariants: Invariants::default(),
            task_duration: None,
            idle_release_after: secs(10_000.0),
            recorder: None,
        };
        simulation.start_all_controllers();
        simulation
    }

    /// Builds the simulation and advances it until partitions have owners and machines are
    /// adopted.
    pub fn started(self) -> Simulation {
        let mut simulation = self.build();
        simulation.advance(WARM_UP_S);
        simulation
    }
}

impl Simulation {
    /// Returns a builder for the given number of controllers and machines.
    pub fn builder(controllers: usize, machines: usize) -> SimulationBuilder {
        SimulationBuilder {
            controllers,
            machines,
            changes: Vec::new(),
        }
    }

    /// Builds a simulation with the example settings and starts all controllers.
    pub fn new(controllers: usize, machines: usize) -> Simulation {
        Simulation::builder(controllers, machines).build()
    }

    /// Builds a simulation with the example settings, in which partitions have owners and
    /// machines are adopted.
    pub fn started(controllers: usize, machines: usize) -> Simulation {
        Simulation::builder(controllers, machines).started()
    }
}
