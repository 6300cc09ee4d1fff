//! The names in a policy file: its settings, and the names that expressions may use, with
//! their types and ranges. Operators' files contain these names, so they never change.

use super::lang::{Value, ValueType};
use crate::jobs::{JobDesc, Priority};
use crate::settings::Settings;

/// Allowed range of a setting that is a number, both ends included.
#[derive(Debug, Clone, Copy)]
pub(super) struct NumberBounds {
    pub(super) min: f64,
    pub(super) max: f64,
}

/// Allowed range of the setting `weight`.
pub(super) const WEIGHT: NumberBounds = NumberBounds {
    min: 0.01,
    max: 100.0,
};
/// Allowed range of the setting `rent`.
pub(super) const SCALE_OUT_FACTOR: NumberBounds = NumberBounds { min: 0.0, max: 4.0 };
/// Largest amount of a job that the checker assumes where no limit exists.
const MAX_AMOUNT: f64 = 1e9;
/// Largest number of tasks of a job that the checker assumes.
const MAX_TASKS: f64 = 1e5;

/// Type and range that a setting's expression must have.
#[derive(Debug, Clone, Copy)]
pub(super) enum SettingType {
    Number(NumberBounds),
    Boolean,
}

/// A setting of the policy file.
#[derive(Debug)]
pub(super) struct SettingRule {
    pub(super) name: &'static str,
    pub(super) setting_type: SettingType,
    /// Whether the expression may use the names in [`JOB_NAMES`].
    pub(super) may_use_job: bool,
}

/// A setting of the whole platform.
const fn platform_setting(name: &'static str, min: f64, max: f64) -> SettingRule {
    SettingRule {
        name,
        setting_type: SettingType::Number(NumberBounds { min, max }),
        may_use_job: false,
    }
}

/// A setting that is evaluated for each job.
const fn job_setting(name: &'static str, setting_type: SettingType) -> SettingRule {
    SettingRule {
        name,
        setting_type,
        may_use_job: true,
    }
}

/// All settings of a policy file.
pub(super) const SETTINGS: [SettingRule; 8] = [
    platform_setting("block_load", 100.0, 1e9),
    platform_setting("idle_return_s", 1.0, 3600.0),
    platform_setting("idle_return_ordinary_s", 1.0, 3600.0),
    platform_setting("silent_s", 2.0, 600.0),
    platform_setting("rent_horizon_s", 1.0, 3600.0),
    job_setting("weight", SettingType::Number(WEIGHT)),
    job_setting("rent", SettingType::Number(SCALE_OUT_FACTOR)),
    job_setting("spot", SettingType::Boolean),
];

const AMOUNT: ValueType = ValueType::Number {
    min: 0.0,
    max: MAX_AMOUNT,
};

/// Names of a job's properties that expressions may use, with the type and range that the
/// checker assumes before a job is submitted.
pub(crate) const JOB_NAMES: [(&str, ValueType); 10] = [
    ("class", ValueType::Text),
    ("team", ValueType::Text),
    ("rank", ValueType::Text),
    (
        "tasks",
        ValueType::Number {
            min: 1.0,
            max: MAX_TASKS,
        },
    ),
    ("cores", AMOUNT),
    ("memory_gb", AMOUNT),
    ("image_gb", AMOUNT),
    ("estimate_s", AMOUNT),
    ("due_s", AMOUNT),
    ("has_deadline", ValueType::Boolean),
];

/// Returns the value of a job's property, or `None` if the name is not in [`JOB_NAMES`].
pub(crate) fn job_value(desc: &JobDesc, name: &str) -> Option<Value> {
    let text = |text: &str| Value::Text(text.to_owned());
    Some(match name {
        "class" => text(&desc.class),
        "team" => text(&desc.team),
        "rank" => text(priority_name(desc.priority)),
        "tasks" => Value::Number(f64::from(desc.tasks)),
        "cores" => Value::Number(desc.cores),
        "memory_gb" => Value::Number(desc.memory_gb),
        "image_gb" => Value::Number(desc.image_gb),
        "estimate_s" => Value::Number(desc.estimated_run_time_s),
        "due_s" => Value::Number(desc.deadline_s.unwrap_or(0.0)),
        "has_deadline" => Value::Boolean(desc.deadline_s.is_some()),
        _ => return None,
    })
}

fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Idle => "idle",
        Priority::Standard => "standard",
        Priority::High => "high",
        Priority::Production => "production",
    }
}

/// Names and values of the platform's settings that expressions may use. The values do not
/// change while a controller runs.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PlatformValues([(&'static str, f64); 6]);

impl PlatformValues {
    /// Reads the values from the platform's settings.
    pub(crate) fn new(settings: &Settings) -> PlatformValues {
        let platform = &settings.platform;
        PlatformValues([
            ("report_s", platform.workers.heartbeat_interval_s),
            ("lease_s", platform.workers.lease_s),
            ("cancel_s", platform.workers.cancellation_timeout_s),
            ("controllers", platform.initial_size as f64),
            ("guaranteed_cores", settings.guarantees().cores),
            ("cpu_share", platform.limits.cpu_share.unwrap_or(1.0)),
        ])
    }

    /// Returns the names for the checker. The type of each is the range that holds only its
    /// value.
    pub(crate) fn scope(&self) -> [(&'static str, ValueType); 6] {
        self.0
            .map(|(name, value)| (name, ValueType::constant(value)))
    }

    /// Returns the value of a name, or `None` if the platform has no such name.
    pub(crate) fn value(&self, name: &str) -> Option<Value> {
        let found = self.0.iter().find(|(known, _)| *known == name);
        found.map(|(_, value)| Value::Number(*value))
    }
}
