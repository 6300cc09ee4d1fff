//! What operators may choose, beyond the platform's file: a file of expressions,
//! checked before the start, or the one that is compiled in.
//!
//! A policy shifts preferences and times within fixed ranges. It must never be able to weaken
//! a guarantee: what it gives is bounded by the checker, and clamped again when it is used.

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

/// The policy without a file, as `rockdeal policy` prints it.
pub const DEFAULT: &str = include_str!("default.policy");

/// Why a policy file is refused.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// It can't be read.
    #[error("can't read policy file {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// It is wrong at some place.
    #[error("policy file {path}, {source}")]
    Invalid {
        /// The file.
        path: String,
        /// What is wrong, and where.
        source: PolicyError,
    },
}

/// The operators' choices. None of them can weaken a guarantee.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// What a partition's owner carries: guaranteed cores, for each second between two
    /// heartbeats of a machine and each whole core of its processor share.
    pub max_partition_load: f64,
    /// How long a spot machine may be idle before it is released.
    pub spot_idle_timeout: Micros,
    /// The same for an on-demand one, which costs several times as much.
    pub on_demand_idle_timeout: Micros,
    /// How long a machine may send no heartbeat before it is released.
    pub silence_timeout: Micros,
    /// Work that would end within this time by itself causes no scale-out.
    pub scale_out_horizon: Micros,
    weight: Expr,
    scale_out_factor: Expr,
    spot: Expr,
    platform: PlatformValues,
}

impl Policy {
    /// Reads and checks a file; what it leaves out is as by default.
    ///
    /// # Errors
    /// The file can't be read, or is wrong at some place.
    pub fn load(path: &Path, settings: &Settings) -> Result<Policy, LoadError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| LoadError::Unreadable {
            path: name.clone(),
            source,
        })?;
        Policy::parse(&text, settings).map_err(|source| LoadError::Invalid { path: name, source })
    }

    /// The policy without a file.
    ///
    /// # Errors
    /// It does not suit these settings.
    pub fn standard(settings: &Settings) -> Result<Policy, PolicyError> {
        Policy::parse("", settings)
    }

    /// Reads and checks a policy's text.
    ///
    /// # Errors
    /// The first place where it is wrong.
    pub fn parse(text: &str, settings: &Settings) -> Result<Policy, PolicyError> {
        let platform = PlatformValues::new(settings);
        let mut assignments = lang::parse(text)?;
        for assignment in &assignments {
            check_assignment(assignment, &platform)?;
        }
        // The first assignment of a name is the file's, if it has one.
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

    /// What it decides about a job.
    pub fn choice_for(&self, desc: &JobDesc) -> PolicyChoice {
        let value = |name: &str| job_value(desc, name).or_else(|| self.platform.value(name));
        // A job may be larger than the checker's ranges know, hence the clamps.
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

    /// Partitions that the fleet is divided into, at most one per controller. Work can't
    /// use the capacity of another partition, so only a fleet that is too large for one owner
    /// is divided (measured: see docs/design.md).
    pub fn partition_count(&self, settings: &Settings) -> u64 {
        let platform = &settings.platform;
        let cpu_share = platform.limits.cpu_share.unwrap_or(1.0);
        let max_cores = self.max_partition_load * platform.workers.heartbeat_interval_s * cpu_share;
        let wanted = (settings.guarantees().cores / max_cores).ceil();
        (wanted as u64).clamp(1, platform.initial_size as u64)
    }
}

/// The assignments of the file and those by default, in this order.
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

/// Whether an assignment sets a setting to what it may be.
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
    let given = assignment.expression.check(&scope)?;
    check_type(rule, given).map_err(|kind| kind.at(assignment.at))
}

fn check_type(rule: &SettingRule, given: ValueType) -> Result<(), PolicyErrorKind> {
    let name = rule.name;
    match (given, rule.setting_type) {
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
