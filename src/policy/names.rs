//! The names of the policy file: its settings, and what expressions may use. Operators have
//! these in their files, so none of them ever changes.

use super::lang::{Value, ValueType};
use crate::jobs::{JobDesc, Priority};
use crate::settings::Settings;

/// The range of a setting that is a number.
#[derive(Debug, Clone, Copy)]
pub(super) struct NumberBounds {
    pub(super) min: f64,
    pub(super) max: f64,
}

/// The bounds of `weight`.
pub(super) const WEIGHT: NumberBounds = NumberBounds {
    min: 0.01,
    max: 100.0,
};
/// The bounds of `rent`.
pub(super) const SCALE_OUT_FACTOR: NumberBounds = NumberBounds { min: 0.0, max: 4.0 };
/// Amounts of a job that no limit bounds are taken to be at most this.
const MAX_AMOUNT: f64 = 1e9;
/// Jobs are taken to have at most so many tasks.
const MAX_TASKS: f64 = 1e5;

/// What a setting's expression must give.
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
    /// Whether its expression may use what is known of a job.
    pub(super) may_use_job: bool,
}

const fn of_platform(name: &'static str, min: f64, max: f64) -> SettingRule {
    SettingRule {
        name,
        setting_type: SettingType::Number(NumberBounds { min, max }),
        may_use_job: false,
    }
}

const fn of_job(name: &'static str, setting_type: SettingType) -> SettingRule {
    SettingRule {
        name,
        setting_type,
        may_use_job: true,
    }
}

/// All settings.
pub(super) const SETTINGS: [SettingRule; 8] = [
    of_platform("block_load", 100.0, 1e9),
    of_platform("idle_return_s", 1.0, 3600.0),
    of_platform("idle_return_ordinary_s", 1.0, 3600.0),
    of_platform("silent_s", 2.0, 600.0),
    of_platform("rent_horizon_s", 1.0, 3600.0),
    of_job("weight", SettingType::Number(WEIGHT)),
    of_job("rent", SettingType::Number(SCALE_OUT_FACTOR)),
    of_job("spot", SettingType::Boolean),
];

const AMOUNT: ValueType = ValueType::Number {
    min: 0.0,
    max: MAX_AMOUNT,
};

/// What expressions may use of a job, and what is known of it before it is submitted.
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

/// The value of a name for a job; none: it is no name of a job.
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

/// What expressions may use of the platform's settings. It is the same for a whole run.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct PlatformValues([(&'static str, f64); 6]);

impl PlatformValues {
    /// The values in these settings.
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

    /// The names, each with its value as its type.
    pub(crate) fn scope(&self) -> [(&'static str, ValueType); 6] {
        self.0
            .map(|(name, value)| (name, ValueType::constant(value)))
    }

    /// The value of a name; none: it is no name of the platform.
    pub(crate) fn value(&self, name: &str) -> Option<Value> {
        let found = self.0.iter().find(|(known, _)| *known == name);
        found.map(|(_, value)| Value::Number(*value))
    }
}
