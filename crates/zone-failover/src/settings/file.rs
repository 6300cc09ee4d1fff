//! The settings of zone failover as a table of a TOML file, and the checks that turn them into
//! [`Settings`]. Every error names its position in the file and a remedy.

use super::checks::{
    MIN_DETECTION_TIME, ONE_DAY, ONE_HOUR, ONE_SECOND, duration_in_range, number_in_range, refuse,
};
use super::health::RawHealth;
use super::windows::RawWindow;
use super::{DeclaredState, FailbackSettings, Settings, SettingsError, Site, WaveSettings};
use crate::window::ReturnWindow;
use jiff::SignedDuration;
use rockdeal_types::clock::Micros;
use rockdeal_types::ids::ZoneId;
use rockdeal_types::suggestion::nearest;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::ops::Range;
use toml::Spanned;

/// A duration that is written as a text with its unit.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(try_from = "String")]
pub(super) struct Duration(pub(super) Micros);

/// Remedy in the error messages about an invalid duration.
const DURATION_REMEDY: &str = "write a number with its unit, as in \"1500ms\", \"20s\" or \"5m\"";

/// The reason why a text is not a valid duration.
#[derive(Debug, thiserror::Error)]
pub(super) enum DurationError {
    /// The text has no number, no unit, or an unknown unit.
    #[error("{0:?} is not a duration; {DURATION_REMEDY}")]
    Malformed(String),
    /// The duration is negative.
    #[error("duration {0:?} is negative; {DURATION_REMEDY}")]
    Negative(String),
}

impl TryFrom<String> for Duration {
    type Error = DurationError;

    fn try_from(text: String) -> Result<Self, DurationError> {
        let Ok(duration) = text.parse::<SignedDuration>() else {
            return Err(DurationError::Malformed(text));
        };
        let Ok(micros) = u64::try_from(duration.as_micros()) else {
            return Err(DurationError::Negative(text));
        };
        Ok(Duration(Micros(micros)))
    }
}

/// The table `waves`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct RawWaves {
    machines: Option<Spanned<u32>>,
    tasks: Option<Spanned<u32>>,
    interval: Option<Spanned<Duration>>,
}

/// The table `return`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct RawFailback {
    move_running: Option<bool>,
    tasks_per_team: Option<Spanned<u32>>,
    #[serde(rename = "least-gain")]
    min_gain: Option<Spanned<f64>>,
    period: Option<Spanned<Duration>>,
    #[serde(default)]
    window: Vec<Spanned<RawWindow>>,
}

/// An entry of `declared`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct RawDeclared {
    zone: Spanned<String>,
    state: Spanned<DeclaredState>,
}

/// The settings of zone failover as they are written in the file, not yet checked.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct RawSettings {
    #[serde(default)]
    enabled: bool,
    evacuation_priority: Option<Spanned<String>>,
    #[serde(default)]
    services: Vec<Spanned<String>>,
    #[serde(default)]
    health: RawHealth,
    #[serde(default)]
    waves: RawWaves,
    #[serde(default, rename = "return")]
    failback: RawFailback,
    #[serde(default)]
    declared: Vec<RawDeclared>,
}

impl RawWaves {
    fn check(&self) -> Result<WaveSettings, SettingsError> {
        let default = WaveSettings::default();
        let machines = number_in_range(
            "machines",
            &self.machines,
            default.machines as u32,
            1..=10_000,
        )?;
        Ok(WaveSettings {
            machines: machines as usize,
            tasks: number_in_range("tasks", &self.tasks, default.tasks, 1..=1_000_000)?,
            interval: duration_in_range(
                "interval",
                &self.interval,
                default.interval,
                MIN_DETECTION_TIME..=ONE_HOUR,
            )?,
        })
    }
}

impl RawFailback {
    fn check(&self) -> Result<FailbackSettings, SettingsError> {
        let default = FailbackSettings::default();
        let windows: Result<Vec<ReturnWindow>, SettingsError> = self
            .window
            .iter()
            .map(|window| window.get_ref().check(window.span()))
            .collect();
        Ok(FailbackSettings {
            move_running: self.move_running.unwrap_or(default.move_running),
            tasks_per_team: number_in_range(
                "tasks-per-team",
                &self.tasks_per_team,
                default.tasks_per_team,
                1..=100_000,
            )?,
            min_gain: number_in_range(
                "least-gain",
                &self.min_gain,
                default.min_gain,
                1.0..=1_000.0,
            )?,
            period: duration_in_range(
                "period",
                &self.period,
                default.period,
                ONE_SECOND..=ONE_DAY,
            )?,
            windows: windows?,
        })
    }
}

impl RawSettings {
    /// Returns the operators' expression for the order of evacuation and its position in the file,
    /// in bytes. `None` if the file has no such expression.
    pub fn evacuation_priority(&self) -> Option<(&str, Range<usize>)> {
        let expression = self.evacuation_priority.as_ref()?;
        Some((expression.get_ref(), expression.span()))
    }

    /// Checks all settings, also if zone failover is disabled. Returns `None` if it is disabled.
    ///
    /// # Errors
    /// The first invalid setting.
    pub fn check(&self, site: &Site) -> Result<Option<Settings>, SettingsError> {
        let settings = Settings {
            health: self.health.check()?,
            waves: self.waves.check()?,
            failback: self.failback.check()?,
            services: self.check_services(site)?,
            declared: self.check_declared(site)?,
        };
        Ok(self.enabled.then_some(settings))
    }

    /// Checks that an objective of the site names every class.
    fn check_services(&self, site: &Site) -> Result<Vec<String>, SettingsError> {
        let mut services = Vec::new();
        for class in &self.services {
            if !site.classes.contains(class.get_ref()) {
                return refuse(
                    class.span(),
                    format!(
                        "services: no objective of the settings file names class {:?}",
                        class.get_ref()
                    ),
                    nearest(class.get_ref(), site.classes.iter().map(String::as_str)),
                );
            }
            services.push(class.get_ref().clone());
        }
        Ok(services)
    }

    /// Checks that the declared zones exist, that none is declared twice, and that at least one
    /// zone is not declared out.
    fn check_declared(
        &self,
        site: &Site,
    ) -> Result<BTreeMap<ZoneId, DeclaredState>, SettingsError> {
        let mut declared = BTreeMap::new();
        for entry in &self.declared {
            let name = entry.zone.get_ref();
            if !site.zones.contains(name) {
                return refuse(
                    entry.zone.span(),
                    format!("zone {name:?} is unknown"),
                    nearest(name, site.zones.iter().map(String::as_str)),
                );
            }
            let zone = ZoneId::from(name.as_str());
            if declared.insert(zone, *entry.state.get_ref()).is_some() {
                return refuse(
                    entry.zone.span(),
                    format!("zone {name:?} is declared twice"),
                    "remove one of the two declarations",
                );
            }
        }
        let out = declared
            .values()
            .filter(|state| **state == DeclaredState::Out);
        if !site.zones.is_empty() && out.count() == site.zones.len() {
            let last = self
                .declared
                .last()
                .map_or(0..0, |declaration| declaration.zone.span());
            return refuse(
                last,
                "every zone is declared out",
                "remove at least one of the declarations, so that a zone can run work",
            );
        }
        Ok(declared)
    }
}
