//! The checked settings of zone failover. [`RawSettings`] reads them from the operators' file and
//! checks them.

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

/// An invalid setting: its position, the problem, and the remedy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{problem}; {remedy}")]
pub struct SettingsError {
    /// Position in the file, in bytes.
    pub span: Range<usize>,
    /// The setting, the value that was found, and why it is invalid.
    pub problem: String,
    /// The change that makes the setting valid.
    pub remedy: String,
}

/// The parts of the site's settings that the settings of zone failover refer to.
#[derive(Debug, Clone, Default)]
pub struct Site {
    /// Names of the zones of the site.
    pub zones: Vec<String>,
    /// Classes of jobs that the service-level objectives of the site name.
    pub classes: Vec<String>,
}

/// The state of a zone that an operator declares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DeclaredState {
    /// The zone is treated as lost, regardless of the evidence.
    Out,
    /// The zone is treated as healthy, regardless of the evidence.
    In,
}

/// The durations and thresholds that determine when a zone is lost and when it has recovered.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthSettings {
    /// Net downtime after which a zone is suspect.
    pub suspect_after: Micros,
    /// Net downtime after which a suspect zone is lost.
    pub lost_after: Micros,
    /// Continuous uptime after which the probation of a lost zone begins.
    pub return_after: Micros,
    /// Length of the probation after the first loss. Every further loss doubles it.
    pub probation: Micros,
    /// Longest probation.
    pub max_probation: Micros,
    /// Continuous uptime of a healthy zone after which the number of losses that lengthen the
    /// probation is reduced by one.
    pub quiet: Micros,
    /// Time without evidence from a zone after which one machine is scaled out there, to probe
    /// whether the zone is up again.
    pub probe_after: Micros,
    /// Waiting time after which a job may use machines of zones that are lost or on probation,
    /// provided that the heartbeats of these machines arrive.
    pub patience: Micros,
    /// Share of silent machines (0 to 1) at or above which a zone is down.
    pub lost_share: f64,
    /// Share of silent machines (0 to 1) at or below which a zone is up.
    pub up_share: f64,
    /// Minimum number of machines for the shares to apply. A zone with fewer machines is down only
    /// if all its machines and all its controllers are silent.
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

/// The limits of one evacuation wave. They apply to each partition separately.
#[derive(Debug, Clone, PartialEq)]
pub struct WaveSettings {
    /// Number of silent machines that may be released.
    pub machines: usize,
    /// Number of displaced tasks that may request machines.
    pub tasks: u32,
    /// Minimum time between the starts of two waves.
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

/// The conditions under which running tasks are moved back to their original zone.
#[derive(Debug, Clone, PartialEq)]
pub struct FailbackSettings {
    /// Whether running tasks are moved back at all.
    pub move_running: bool,
    /// Number of tasks of a team that may be moved at the same time.
    pub tasks_per_team: u32,
    /// Minimum ratio of the gain of a move to its cost.
    pub min_gain: f64,
    /// Time after the recovery of a zone during which tasks are moved back there.
    pub period: Micros,
    /// Windows in which tasks may be moved back. If there are none, they may be moved at any time.
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
    /// Returns whether running tasks may be moved back at `wall_clock`.
    pub fn is_open(&self, wall_clock: Micros) -> bool {
        self.windows.is_empty() || self.windows.iter().any(|window| window.is_open(wall_clock))
    }
}

/// The checked settings of zone failover.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// The durations and thresholds of zone health.
    pub health: HealthSettings,
    /// The limits of one evacuation wave.
    pub waves: WaveSettings,
    /// The conditions for moving running tasks back.
    pub failback: FailbackSettings,
    /// Classes of jobs that count as services. In an evacuation, services go before other jobs of
    /// the same priority.
    pub services: Vec<String>,
    /// The states of zones that operators declare.
    pub declared: BTreeMap<ZoneId, DeclaredState>,
}
