//! The operators' settings of zone failover, checked. [`file`] reads and checks them.

mod checks;
mod file;
mod health;
mod windows;

pub use file::RawSettings;

use crate::window::ReturnWindow;
use rockdeal_types::clock::Micros;
use rockdeal_types::ids::ZoneId;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::ops::Range;

/// What is wrong with the settings, where, and what to do about it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{why}; {remedy}")]
pub struct SettingsError {
    /// The place in the file, in bytes.
    pub span: Range<usize>,
    /// What is wrong.
    pub why: String,
    /// What to do about it.
    pub remedy: String,
}

/// What is known of the site that the settings are for.
#[derive(Debug, Clone, Default)]
pub struct Site {
    /// Its zones.
    pub zones: Vec<String>,
    /// The classes of jobs that its objectives name.
    pub classes: Vec<String>,
}

/// What an operator says of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DeclaredState {
    /// Use it for nothing, whatever its machines say.
    Out,
    /// Use it as any other, whatever its machines say.
    In,
}

/// When a zone counts as lost, and when as back.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthSettings {
    /// Time down before it is suspect.
    pub suspect_after: Micros,
    /// Time down before it is lost.
    pub lost_after: Micros,
    /// Time up before its probation begins.
    pub return_after: Micros,
    /// The probation after a first loss.
    pub probation: Micros,
    /// The longest probation.
    pub max_probation: Micros,
    /// Time without a loss after which one loss less counts.
    pub quiet: Micros,
    /// Time without any machine there before one is scaled out to see whether it is back.
    pub probe_after: Micros,
    /// A job that has waited for so long may use a zone that is lost or on probation, where
    /// heartbeats of a machine of it arrive.
    pub patience: Micros,
    /// The share of silent machines from which on it is down.
    pub lost_share: f64,
    /// The share of silent machines up to which it is up.
    pub up_share: f64,
    /// With fewer machines, its controllers must be silent, too.
    pub min_machines: u32,
}

impl Default for HealthSettings {
    fn default() -> Self {
        HealthSettings {
            suspect_after: Micros::from_millis(1_000),
            lost_after: Micros::from_millis(4_000),
            return_after: Micros::from_millis(3_000),
            probation: Micros::from_millis(10_000),
            max_probation: Micros::from_millis(60_000),
            quiet: Micros::from_millis(600_000),
            probe_after: Micros::from_millis(20_000),
            patience: Micros::from_millis(30_000),
            lost_share: 0.8,
            up_share: 0.3,
            min_machines: 3,
        }
    }
}

/// What one wave of an evacuation allows, in each partition.
#[derive(Debug, Clone, PartialEq)]
pub struct WaveSettings {
    /// Silent machines that are released.
    pub machines: usize,
    /// Displaced tasks that may ask for machines.
    pub tasks: u32,
    /// Between two waves.
    pub interval: Micros,
}

impl Default for WaveSettings {
    fn default() -> Self {
        WaveSettings {
            machines: 200,
            tasks: 2_000,
            interval: Micros::from_millis(1_000),
        }
    }
}

/// How running work is moved back to its zone.
#[derive(Debug, Clone, PartialEq)]
pub struct FailbackSettings {
    /// Whether it is at all.
    pub move_running: bool,
    /// Tasks of a team that may be on their way at a time.
    pub tasks_per_team: u32,
    /// What is gained must be so many times what is lost.
    pub min_gain: f64,
    /// For so long after the zone's return.
    pub period: Micros,
    /// Only while one of these is open; none: at any time.
    pub windows: Vec<ReturnWindow>,
}

impl Default for FailbackSettings {
    fn default() -> Self {
        FailbackSettings {
            move_running: false,
            tasks_per_team: 10,
            min_gain: 1.5,
            period: Micros::from_millis(3_600_000),
            windows: Vec::new(),
        }
    }
}

impl FailbackSettings {
    /// Whether running work may be moved home at that time of day.
    pub fn is_open(&self, wall_clock: Micros) -> bool {
        self.windows.is_empty() || self.windows.iter().any(|window| window.is_open(wall_clock))
    }
}

/// The checked settings of this subsystem.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// When a zone counts as lost, and when as back.
    pub health: HealthSettings,
    /// What one wave allows.
    pub waves: WaveSettings,
    /// How running work is moved back to its zone.
    pub failback: FailbackSettings,
    /// Classes whose jobs go before others of the same priority.
    pub services: Vec<String>,
    /// What operators say of zones.
    pub declared: BTreeMap<ZoneId, DeclaredState>,
}
