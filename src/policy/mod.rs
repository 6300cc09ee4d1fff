//! The operators' policy: settings that operators may change in addition to the platform's
//! settings file. A policy file assigns expressions to settings and is checked before the
//! controller starts. The built-in policy supplies the settings that the file leaves out.
//!
//! Invariant: a policy can change preferences and times only within fixed ranges, so it can't
//! weaken a guarantee. The checker refuses an expression whose value may leave its range, and
//! the value is clamped again when it is used.

pub mod lang;
mod names;

pub(crate) use names::{JOB_NAMES, PlatformValues, job_value};

use crate::clock::Micros;
use crate::jobs::{JobDesc, PolicyChoice};
use crate::settings::Settings;
use lang::{Assignment, Expr, PolicyError, PolicyErrorKind, SourcePosition, Value, ValueType};
use names::{NumberBounds, SCALE_OUT_FACTOR, SETTINGS, SettingRule, SettingType, WEIGHT};
use rockdeal_types::suggestion::nearest;
use std::path::Path;

/// Text of the built-in policy, as `rockdeal policy` prints it.
pub const DEFAULT: &str = include_str!("default.policy");

/// Reason why a policy file is refused.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file can't be read.
    #[error("can't read policy file {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text of the file is not a valid policy.
    #[error("policy file {path}, {source}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// First error in the file, with its position.
        source: PolicyError,
    },
}

/// A checked policy. None of its settings can weaken a guarantee.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Maximum load of a partition's owner: guaranteed cores per second of the machines'
    /// heartbeat interval and per whole core of the owner's processor share.
    pub max_partition_load: f64,
    /// Time that a spot machine may be idle before it is released.
    pub spot_idle_timeout: Micros,
    /// Time that an on-demand machine may be idle before it is released. An on-demand machine
    /// costs several times as much as a spot machine.
    pub on_demand_idle_timeout: Micros,
    /// Time without a heartbeat after which a machine is released.
    pub silence_timeout: Micros,
    /// Run time below which tasks request less capacity, in proportion to their estimated run
    /// time, because short tasks can run one after another.
    pub scale_out_horizon: Micros,
    weight: Expr,
    scale_out_factor: Expr,
    spot: Expr,
    platform: PlatformValues,
}

impl Policy {
    /// Reads and checks a policy file. The built-in policy supplies the settings that the file
    /// leaves out.
    ///
    /// # Errors
    /// Fails if the file can't be read or is not a valid policy.
    pub fn load(path: &Path, settings: &Settings) -> Result<Policy, LoadError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| LoadError::Unreadable {
            path: name.clone(),
            source,
        })?;
        Policy::parse(&text, settings).map_err(|source| LoadError::Invalid { path: name, source })
    }

    /// Returns the built-in policy.
    ///
    /// # Errors
    /// Fails if the built-in policy is not valid for these settings.
    pub fn built_in(settings: &Settings) -> Result<Policy, PolicyError> {
        Policy::parse("", settings)
    }

    /// Parses and checks the text of a policy. The built-in policy supplies the settings that
    /// the text leaves out.
    ///
    /// # Errors
    /// Returns the first error in the text, with its position.
    pub fn parse(text: &str, settings: &Settings) -> Result<Policy, PolicyError> {
        let platform = PlatformValues::new(settings);
        let mut assignments = lang::parse(text)?;
        for assignment in &assignments {
            check_assignment(assignment, &platform)?;
        }
        // `ChosenSettings` uses the first assignment of a name, so the file's assignments
        // precede the built-in ones.
        assignments.extend(lang::parse(DEFAULT)?);
        let chosen = ChosenSettings {
            assignments,
            platform,
        };
        Ok(Policy {
            max_partition_load: chosen.number("block_load")?,
            spot_idle_timeout: chosen.seconds("idle_return_s")?,
            on_demand_idle_timeout: chosen.seconds("idle_return_ordinary_s")?,
            silence_timeout: chosen.seconds("silent_s")?,
            scale_out_horizon: chosen.seconds("rent_horizon_s")?,
            weight: chosen.expression("weight")?,
            scale_out_factor: chosen.expression("rent")?,
            spot: chosen.expression("spot")?,
            platform: chosen.platform,
        })
    }

    /// Returns the values of the job settings for a job.
    pub fn choice_for(&self, desc: &JobDesc) -> PolicyChoice {
        let value = |name: &str| job_value(desc, name).or_else(|| self.platform.value(name));
        // The clamps are needed because a job may exceed the ranges that the checker assumes.
        let number =
            |expression: &Expr, default: f64, bounds: NumberBounds| match expression.eval(&value) {
                Some(Value::Number(number)) if number.is_finite() => {
                    number.clamp(bounds.min, bounds.max)
                }
                _ => default,
            };
        let default = PolicyChoice::default();
        PolicyChoice {
            weight: number(&self.weight, default.weight, WEIGHT),
            scale_out_factor: number(
                &self.scale_out_factor,
                default.scale_out_factor,
                SCALE_OUT_FACTOR,
            ),
            spot: self.spot.eval(&value) != Some(Value::Boolean(false)),
        }
    }

    /// Returns the number of partitions that the fleet is divided into, at most one per
    /// controller. Work can't use the capacity of another partition, so only a fleet that is too
    /// large for one owner is divided (see docs/design.md).
    pub fn partition_count(&self, settings: &Settings) -> u64 {
        let platform = &settings.platform;
        let cpu_share = platform.limits.cpu_share.unwrap_or(1.0);
        let max_cores = self.max_partition_load * platform.workers.heartbeat_interval_s * cpu_share;
        let wanted = (settings.guarantees().cores / max_cores).ceil();
        (wanted as u64).clamp(1, platform.initial_size as u64)
    }
}

/// Assignments of the file, followed by those of the built-in policy. The first assignment of a
/// name takes effect.
struct ChosenSettings {
    assignments: Vec<Assignment>,
    platform: PlatformValues,
}

impl ChosenSettings {
    fn expression(&self, name: &'static str) -> Result<Expr, PolicyError> {
        let is_named = |assignment: &&Assignment| assignment.name == name;
        match self.assignments.iter().find(is_named) {
            Some(assignment) => Ok(assignment.expression.clone()),
            None => Err(PolicyErrorKind::NotSet(name).at(SourcePosition::START)),
        }
    }

    fn number(&self, name: &'static str) -> Result<f64, PolicyError> {
        let value = |name: &str| self.platform.value(name);
        match self.expression(name)?.eval(&value) {
            Some(Value::Number(number)) => Ok(number),
            _ => Err(PolicyErrorKind::NoValue(name).at(SourcePosition::START)),
        }
    }

    fn seconds(&self, name: &'static str) -> Result<Micros, PolicyError> {
        self.number(name).map(Micros::from_secs)
    }
}

/// Checks that an assignment names a setting, and that its expression has the type and range of
/// the setting.
fn check_assignment(assignment: &Assignment, platform: &PlatformValues) -> Result<(), PolicyError> {
    let name = &assignment.name;
    let Some(rule) = SETTINGS.iter().find(|rule| rule.name == name) else {
        let unknown = PolicyErrorKind::UnknownSetting {
            name: name.clone(),
            suggestion: nearest(name, SETTINGS.iter().map(|rule| rule.name)),
        };
        return Err(unknown.at(assignment.at));
    };
    let mut scope = platform.scope().to_vec();
    if rule.may_use_job {
        scope.extend(JOB_NAMES);
    }
    let actual_type = assignment.expression.check(&scope)?;
    check_type(rule, actual_type).map_err(|kind| kind.at(assignment.at))
}

fn check_type(rule: &SettingRule, actual_type: ValueType) -> Result<(), PolicyErrorKind> {
    let name = rule.name;
    match (actual_type, rule.setting_type) {
        (ValueType::Boolean, SettingType::Boolean) => Ok(()),
        (_, SettingType::Boolean) => Err(PolicyErrorKind::SettingNotBoolean(name)),
        (ValueType::Number { min, max }, SettingType::Number(bounds)) => {
            check_bounds(name, min, max, bounds)
        }
        (_, SettingType::Number(_)) => Err(PolicyErrorKind::SettingNotNumber(name)),
    }
}

fn check_bounds(
    name: &'static str,
    lowest: f64,
    highest: f64,
    NumberBounds { min, max }: NumberBounds,
) -> Result<(), PolicyErrorKind> {
    if lowest >= min && highest <= max {
        return Ok(());
    }
    if lowest == highest {
        return Err(PolicyErrorKind::ValueOutOfRange {
            name,
            value: lowest,
            min,
            max,
        });
    }
    Err(PolicyErrorKind::RangeExceeded {
        name,
        lowest,
        highest,
        min,
        max,
    })
}

#[cfg(test)]
pub(crate) mod tests;
