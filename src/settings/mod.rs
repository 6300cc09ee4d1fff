//! The platform's settings file. An invalid file is refused with a message of one line.
//!
//! Owns the file's format and the values that are derived from it, such as the lengths of
//! leases and the number of sockets for each use. Settings never change while a controller
//! runs.

mod checks;
mod error;
mod leases;
mod platform;
pub mod sockets;

pub use error::{InvalidSetting, SettingsError};
pub use platform::{
    CloudLimits, Limits, NextStateLimits, Platform, ServiceLevelObjective, StateLimits, Team,
    WorkerTimes,
};

use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::{Label, ZoneId};
use checks::MIN_TXN_OPS;
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::path::Path;

/// Divisor of the store's mutations per second that gives the most mutations of one
/// compare-and-swap.
const TXN_RATE_DIVISOR: f64 = 4.0;
/// Value of [`ServiceLevelObjective::kind`] for the time until a task starts.
const START_LATENCY: &str = "wait";

/// Another controller of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Seed {
    /// Label of the other controller.
    pub label: Label,
    /// Zone that the other controller runs in; `None` if the file does not name it.
    #[serde(default, rename = "area")]
    pub zone: Option<ZoneId>,
    /// Address on which the other controller listens for its peers.
    pub addr: SocketAddrV4,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// Address of the cloud's API.
    pub cloud: SocketAddrV4,
    /// Address of the key-value store.
    pub state: SocketAddrV4,
}

/// The platform's settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Label of this controller.
    pub label: Label,
    /// Address on which this controller listens for users, workers and health checks.
    pub bind: SocketAddrV4,
    /// Address on which this controller listens for the other controllers.
    pub mesh_addr: SocketAddrV4,
    /// The other controllers.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// Addresses of the platform's services.
    pub endpoints: Endpoints,
    /// Description of the deployment: its teams, objectives and limits.
    #[serde(rename = "settings")]
    pub platform: Platform,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Fails if the file can't be read, is malformed, or has an invalid setting.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: name.clone(),
            source,
        })?;
        let settings: Settings =
            serde_json::from_str(&text).map_err(|source| SettingsError::Malformed {
                path: name.clone(),
                source,
            })?;
        settings
            .check()
            .map_err(|source| SettingsError::Invalid { path: name, source })?;
        Ok(settings)
    }

    /// Returns the labels of all controllers of the deployment, including this one.
    pub fn controllers(&self) -> impl Iterator<Item = &Label> {
        std::iter::once(&self.label).chain(self.seeds.iter().map(|seed| &seed.label))
    }

    /// Returns the maximum number of mutations in a compare-and-swap of this controller. A
    /// compare-and-swap that needs a large part of the mutations allowed per second would be
    /// rejected repeatedly while other controllers write.
    pub fn max_mutations(&self) -> usize {
        let state = &self.platform.state;
        let by_rate = (state.lowest_write_rps() / TXN_RATE_DIVISOR) as usize;
        state.lowest_txn_ops().min(by_rate.max(MIN_TXN_OPS))
    }

    /// Returns the time within which tasks of a class should start: the shortest of the
    /// class's objectives, or `None` if it has none.
    pub fn start_latency_objective(&self, class: &str) -> Option<Micros> {
        let applies = |objective: &&ServiceLevelObjective| {
            objective.kind == START_LATENCY && objective.class.as_deref() == Some(class)
        };
        let objectives = self.platform.objectives.iter().filter(applies);
        let within_s = objectives
            .filter_map(|objective| objective.within_s)
            .reduce(f64::min)?;
        Some(Micros::from_secs(within_s))
    }

    /// Returns the classes of jobs that the objectives name. A class with several objectives
    /// is listed several times.
    pub fn classes_with_objectives(&self) -> Vec<String> {
        let objectives = self.platform.objectives.iter();
        objectives
            .filter_map(|objective| objective.class.clone())
            .collect()
    }

    /// Returns the index of a team by its name, or `None` if there is no such team.
    pub fn team(&self, name: &str) -> Option<usize> {
        self.platform
            .teams
            .iter()
            .position(|team| team.name == name)
    }

    /// Returns the sum of the guaranteed quotas of all teams.
    pub fn guarantees(&self) -> Resources {
        let mut total = Resources::default();
        for team in &self.platform.teams {
            total += team.guarantee();
        }
        total
    }
}

#[cfg(test)]
pub(crate) mod tests;
