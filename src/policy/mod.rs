//! What operators may choose, beyond the platform's file: a file of expressions,
//! checked before the start, or the one that is compiled in.

pub mod lang;

use crate::clock::Micros;
use crate::jobs::{JobDesc, PolicyChoice, Priority};
use crate::settings::Settings;
use lang::{Expr, Kind, PolicyError, SourcePosition, Value, fail};
use rockdeal_types::suggestion::nearest;
use std::path::Path;

/// The policy without a file, as `rockdeal policy` prints it.
pub const DEFAULT: &str = include_str!("default.policy");

/// Why a policy file is refused.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// It can't be read.
    #[error("can't read policy file {path}: {why}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        why: std::io::Error,
    },
    /// It is wrong at some place.
    #[error("policy file {path}, {why}")]
    Wrong {
        /// The file.
        path: String,
        /// What is wrong, and where.
        why: PolicyError,
    },
}

/// The operators' choices. None of them can weaken a rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// What a partition's owner carries: guaranteed cores, for each second between two
    /// reports of a machine and each whole core of its processor share.
    pub block_load: f64,
    /// How long a spot machine may be idle before it is returned.
    pub idle_return: Micros,
    /// The same for an ordinary one, which costs several times as much.
    pub idle_return_ordinary: Micros,
    /// How long a machine stays silent before it is returned.
    pub silent: Micros,
    /// Work that would be over within this time by itself rents nothing.
    pub rent_horizon: Micros,
    weight: Expr,
    rent: Expr,
    spot: Expr,
    /// What the platform's file says, for the settings that look at jobs.
    known: Known,
}

const ANY: Kind = Kind::Number(0.0, 1e9);

/// What is known of a job before it comes.
pub(crate) const JOB: [(&str, Kind); 10] = [
    ("class", Kind::Text),
    ("team", Kind::Text),
    ("rank", Kind::Text),
    ("tasks", Kind::Number(1.0, 1e5)),
    ("cores", ANY),
    ("memory_gb", ANY),
    ("image_gb", ANY),
    ("estimate_s", ANY),
    ("due_s", ANY),
    ("has_deadline", Kind::Truth),
];

/// What each setting must give, and whether it may look at a job.
const SETTINGS: [(&str, Kind, bool); 8] = [
    ("block_load", Kind::Number(100.0, 1e9), false),
    ("idle_return_s", Kind::Number(1.0, 3600.0), false),
    ("idle_return_ordinary_s", Kind::Number(1.0, 3600.0), false),
    ("silent_s", Kind::Number(2.0, 600.0), false),
    ("rent_horizon_s", Kind::Number(1.0, 3600.0), false),
    ("weight", Kind::Number(0.01, 100.0), true),
    ("rent", Kind::Number(0.0, 4.0), true),
    ("spot", Kind::Truth, true),
];

pub(crate) type Known = [(&'static str, f64); 6];

/// What expressions may ask of a job.
pub(crate) fn job_value(d: &JobDesc, name: &str) -> Option<Value> {
    let rank = match d.priority {
        Priority::Idle => "idle",
        Priority::Standard => "standard",
        Priority::High => "high",
        Priority::Production => "production",
    };
    let text = |t: &str| Value::Text(t.to_owned());
    Some(match name {
        "class" => text(&d.class),
        "team" => text(&d.team),
        "rank" => text(rank),
        "tasks" => Value::Number(f64::from(d.tasks)),
        "cores" => Value::Number(d.cores),
        "memory_gb" => Value::Number(d.memory_gb),
        "image_gb" => Value::Number(d.image_gb),
        "estimate_s" => Value::Number(d.estimated_run_time_s),
        "due_s" => Value::Number(d.deadline_s.unwrap_or(0.0)),
        "has_deadline" => Value::Truth(d.deadline_s.is_some()),
        _ => return None,
    })
}

/// What the platform's file says, for expressions.
pub(crate) fn platform(settings: &Settings) -> Known {
    let p = &settings.platform;
    [
        ("report_s", p.workers.heartbeat_interval_s),
        ("lease_s", p.workers.lease_s),
        ("cancel_s", p.workers.cancellation_timeout_s),
        ("controllers", p.initial_size as f64),
        ("guaranteed_cores", settings.guarantees().cores),
        ("cpu_share", p.limits.cpu_share.unwrap_or(1.0)),
    ]
}

pub(crate) fn value_of(known: &Known, name: &str) -> Option<Value> {
    let found = known.iter().find(|(n, _)| *n == name);
    found.map(|(_, v)| Value::Number(*v))
}

impl Policy {
    /// Reads and checks a file; what it leaves out is as by default.
    pub fn load(path: &Path, settings: &Settings) -> Result<Policy, LoadError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|why| LoadError::Unreadable {
            path: name.clone(),
            why,
        })?;
        Policy::parse(&text, settings).map_err(|why| LoadError::Wrong { path: name, why })
    }

    /// The policy without a file.
    pub fn standard(settings: &Settings) -> Result<Policy, PolicyError> {
        Policy::parse("", settings)
    }

    /// Reads and checks a policy's text.
    pub fn parse(text: &str, settings: &Settings) -> Result<Policy, PolicyError> {
        let known = platform(settings);
        let fixed = known.map(|(n, v)| (n, Kind::Number(v, v)));
        let with_job = [&fixed[..], &JOB[..]].concat();
        let mut chosen = lang::parse(text)?;
        for (name, at, expr) in &chosen {
            let Some((_, wanted, of_job)) = SETTINGS.iter().find(|(n, ..)| n == name) else {
                let names = SETTINGS.iter().map(|(n, ..)| *n);
                return fail(*at, format!("{name} is no setting"), nearest(name, names));
            };
            let scope = if *of_job { &with_job[..] } else { &fixed[..] };
            within(name, *at, expr.check(scope)?, *wanted)?;
        }
        chosen.extend(lang::parse(DEFAULT)?);
        let start = SourcePosition { line: 1, column: 1 };
        // The first is the file's, if it has one.
        let find = |name: &str| match chosen.iter().find(|(n, ..)| n == name) {
            Some((.., e)) => Ok(e.clone()),
            None => fail(start, format!("{name} is not set"), ""),
        };
        let number = |name: &str| match find(name)?.eval(&|n| value_of(&known, n)) {
            Some(Value::Number(v)) => Ok(v),
            _ => fail(start, format!("{name} has no value"), ""),
        };
        let seconds = |name: &str| number(name).map(Micros::from_secs);
        Ok(Policy {
            block_load: number("block_load")?,
            idle_return: seconds("idle_return_s")?,
            idle_return_ordinary: seconds("idle_return_ordinary_s")?,
            silent: seconds("silent_s")?,
            rent_horizon: seconds("rent_horizon_s")?,
            weight: find("weight")?,
            rent: find("rent")?,
            spot: find("spot")?,
            known,
        })
    }

    /// What it says of a job.
    pub fn job(&self, d: &JobDesc) -> PolicyChoice {
        let value = |name: &str| job_value(d, name).or_else(|| value_of(&self.known, name));
        let normal = PolicyChoice::default();
        // A job may be larger than the checker's ranges know, hence the clamps.
        let number = |e: &Expr, or: f64, least: f64, most: f64| match e.eval(&value) {
            Some(Value::Number(v)) if v.is_finite() => v.clamp(least, most),
            _ => or,
        };
        PolicyChoice {
            weight: number(&self.weight, normal.weight, 0.01, 100.0),
            scale_out_factor: number(&self.rent, normal.scale_out_factor, 0.0, 4.0),
            spot: self.spot.eval(&value) != Some(Value::Truth(false)),
        }
    }

    /// Partitions that the fleet is divided into, at most one per controller. Work can't
    /// use the room of another partition, so only a fleet that one owner can't hear is
    /// divided (measured: see docs/design.md).
    pub fn partition_count(&self, settings: &Settings) -> u64 {
        let p = &settings.platform;
        let share = p.limits.cpu_share.unwrap_or(1.0);
        let carried = self.block_load * p.workers.heartbeat_interval_s * share;
        let wanted = (settings.guarantees().cores / carried).ceil();
        (wanted as u64).clamp(1, p.initial_size as u64)
    }
}

/// Whether what a setting gives is what it must.
fn within(name: &str, at: SourcePosition, given: Kind, wanted: Kind) -> Result<(), PolicyError> {
    let (why, hint) = match (given, wanted) {
        (Kind::Number(a, b), Kind::Number(least, most)) => {
            if a >= least && b <= most {
                return Ok(());
            }
            let why = if a == b {
                format!("{name} is {a}, outside {least} to {most}")
            } else {
                format!("{name} may be from {a} to {b}, outside {least} to {most}")
            };
            (why, format!("clamp(..., {least}, {most})"))
        }
        (Kind::Truth, Kind::Truth) => return Ok(()),
        (_, Kind::Truth) => (format!("{name} must be true or false"), String::new()),
        _ => (format!("{name} must be a number"), String::new()),
    };
    fail(at, why, hint)
}

#[cfg(test)]
pub(crate) mod tests;
