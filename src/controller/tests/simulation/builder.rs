//! The set-ups of simulations.

use super::cloud::SimulatedCloud;
use super::controller::ControllerNode;
use super::invariants::Invariants;
use super::kv_store::SimulatedKvStore;
use super::network::NetworkFaults;
use super::users::SimulatedUsers;
use super::worker::SimulatedWorker;
use super::{Simulation, secs};
use crate::jobs::tests::types;
use crate::settings::Settings;
use crate::settings::tests::example;
use serde_json::{Value, json};

/// Seconds in which a small fleet is adopted.
const WARM_UP_S: f64 = 6.0;

type SettingsChange = Box<dyn Fn(&mut Value)>;

/// Builds a simulation: so many controllers and machines, and what differs in the settings.
pub struct SimulationBuilder {
    controllers: usize,
    machines: usize,
    changes: Vec<SettingsChange>,
}

impl SimulationBuilder {
    /// Changes the settings file of each controller.
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

    /// Each team's guaranteed quota and quota limit in cores.
    pub fn team_quotas(self, guaranteed: f64, limit: f64) -> Self {
        self.each_team(move |team| {
            team["cpus"] = guaranteed.into();
            team["cpus_max"] = limit.into();
        })
    }

    /// Each team's quota limit in cores.
    pub fn team_limits(self, limit: f64) -> Self {
        self.each_team(move |team| team["cpus_max"] = limit.into())
    }

    /// One more team, without a guaranteed quota or a quota limit.
    pub fn guest_team(self) -> Self {
        self.settings(|settings| {
            let teams = settings["settings"]["teams"].as_array_mut();
            teams.expect("teams").push(json!({"name": "guests"}));
        })
    }

    /// Each controller has a whole core, which is enough for thousands of machines.
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

    /// The simulation at its first moment, with all controllers just started.
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
            cloud: SimulatedCloud::new(types()),
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

    /// The simulation once its partitions are owned and its machines adopted.
    pub fn started(self) -> Simulation {
        let mut simulation = self.build();
        simulation.advance(WARM_UP_S);
        simulation
    }
}

impl Simulation {
    /// A builder for so many controllers and machines.
    pub fn builder(controllers: usize, machines: usize) -> SimulationBuilder {
        SimulationBuilder {
            controllers,
            machines,
            changes: Vec::new(),
        }
    }

    /// So many controllers and machines, with the settings of the example.
    pub fn new(controllers: usize, machines: usize) -> Simulation {
        Simulation::builder(controllers, machines).build()
    }

    /// The same, once the partitions are owned and the machines adopted.
    pub fn started(controllers: usize, machines: usize) -> Simulation {
        Simulation::builder(controllers, machines).started()
    }
}
