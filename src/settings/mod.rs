//! The platform's settings file: read, checked, and refused with one line.
//!
//! Owns the file's format and what follows from it for the whole run, such as the lengths of
//! leases and the shares of sockets. Settings never change while a controller runs.

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

/// A compare-and-swap takes at most one in so many of the mutations allowed per second.
const TXN_RATE_DIVISOR: f64 = 4.0;
/// The kind of an objective for the time until a task starts.
const START_LATENCY: &str = "wait";

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Seed {
    /// The controller's label.
    pub label: Label,
    /// The zone that it is in.
    #[serde(default, rename = "area")]
    pub zone: Option<ZoneId>,
    /// Where it listens for its peers.
    pub addr: SocketAddrV4,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud's interface.
    pub cloud: SocketAddrV4,
    /// The key-value store.
    pub state: SocketAddrV4,
}

/// The platform's settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// This controller's label.
    pub label: Label,
    /// Where it listens for users, workers and health checks.
    pub bind: SocketAddrV4,
    /// Where it listens for the other controllers.
    pub mesh_addr: SocketAddrV4,
    /// The other controllers.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// The platform's services.
    pub endpoints: Endpoints,
    /// The deployment: its teams, its objectives and its limits.
    #[serde(rename = "settings")]
    pub platform: Platform,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// The file can't be read, is malformed, or has an invalid setting.
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

    /// The controllers of the deployment, this one included.
    pub fn controllers(&self) -> impl Iterator<Item = &Label> {
        std::iter::once(&self.label).chain(self.seeds.iter().map(|seed| &seed.label))
    }

    /// How many mutations a compare-and-swap of ours has at most: one that takes much of a
    /// second's mutations is rejected again and again while others write.
    pub fn max_mutations(&self) -> usize {
        let state = &self.platform.state;
        let by_rate = (state.lowest_write_rps() / TXN_RATE_DIVISOR) as usize;
        state.lowest_txn_ops().min(by_rate.max(MIN_TXN_OPS))
    }

    /// Within what time tasks of a class should start, if an objective says so.
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

    /// The classes of jobs that objectives name.
    pub fn classes_with_objectives(&self) -> Vec<String> {
        let objectives = self.platform.objectives.iter();
        objectives
            .filter_map(|objective| objective.class.clone())
            .collect()
    }

    /// A team's index by its name.
    pub fn team(&self, name: &str) -> Option<usize> {
        self.platform
            .teams
            .iter()
            .position(|team| team.name == name)
    }

    /// All guaranteed quotas together.
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
