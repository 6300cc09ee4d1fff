//! The operators' expression for the order in which displaced jobs are moved.

use crate::clock::Micros;
use crate::jobs::{Job, Priority};
use crate::policy::lang::{self, Expr, Kind, PolicyError, SourcePosition, Value, fail};
use crate::policy::{JOB, Known, job_value, platform, value_of};
use crate::settings::Settings;
use zone_failover::evacuation::EvacuationPriority;

/// What an expression for the order may ask beyond what it may ask of any job.
const DISPLACED: [(&str, Kind); 4] = [
    ("rank_level", Kind::Number(0.0, 3.0)),
    ("keeps_deadline", Kind::Truth),
    ("waited_s", Kind::Number(0.0, 1e9)),
    ("service", Kind::Truth),
];

/// The name under which the expression is read, for error messages.
const NAME: &str = "evacuation_priority";

/// A checked expression that gives a displaced job its priority.
#[derive(Debug, Clone, PartialEq)]
pub struct EvacuationOrder {
    expression: Expr,
    known: Known,
    services: Vec<String>,
}

impl EvacuationOrder {
    /// By rank, then deadlines that can be kept. Among equals services come first, then
    /// single tasks before arrays, then the oldest.
    pub const DEFAULT: &str = "10 * rank_level + (if keeps_deadline then 1 else 0)";

    /// Reads and checks an expression; `services` are the classes that count as services.
    pub fn check(
        expression: &str,
        settings: &Settings,
        services: Vec<String>,
    ) -> Result<Self, PolicyError> {
        let known = platform(settings);
        let fixed = known.map(|(name, value)| (name, Kind::Number(value, value)));
        let scope = [&fixed[..], &JOB[..], &DISPLACED[..]].concat();
        let start = SourcePosition { line: 1, column: 1 };
        let mut parsed =
            lang::parse(&format!("{NAME} =\n{expression};")).map_err(from_first_line)?;
        let Some((_, _, expression)) = parsed.pop() else {
            return fail(
                start,
                "there is no expression",
                "write one, or leave it out",
            );
        };
        if !parsed.is_empty() {
            return fail(
                start,
                "only one expression is allowed here",
                "leave out the ;",
            );
        }
        match expression.check(&scope).map_err(from_first_line)? {
            Kind::Number(min, max) if min.is_finite() && max.is_finite() => {}
            Kind::Number(..) => return fail(start, "it may grow without bound", "use clamp(...)"),
            other => {
                let why = format!("it must be a number, and is {}", other.name());
                return fail(start, why, "as in 10 * rank_level");
            }
        }
        Ok(EvacuationOrder {
            expression,
            known,
            services,
        })
    }

    /// The place of a job among those that are displaced.
    pub fn priority(&self, job: &Job, wall_clock: Micros) -> EvacuationPriority {
        let service = self.services.contains(&job.desc.class);
        let waited = wall_clock.since(job.eligible_since()).as_secs();
        let value = |name: &str| match name {
            "rank_level" => Some(Value::Number(level(job.effective_priority()))),
            "keeps_deadline" => Some(Value::Truth(
                job.effective_deadline().is_some() && job.slack_us(wall_clock) >= 0,
            )),
            "waited_s" => Some(Value::Number(waited)),
            "service" => Some(Value::Truth(service)),
            _ => job_value(&job.desc, name).or_else(|| value_of(&self.known, name)),
        };
        let given = match self.expression.eval(&value) {
            Some(Value::Number(number)) if number.is_finite() => number,
            _ => 0.0,
        };
        EvacuationPriority {
            admitted: false,
            value: given,
            service,
            array: job.desc.tasks > 1,
            accepted: job.accepted_at,
        }
    }
}

fn level(priority: Priority) -> f64 {
    match priority {
        Priority::Idle => 0.0,
        Priority::Standard => 1.0,
        Priority::High => 2.0,
        Priority::Production => 3.0,
    }
}

/// The expression begins on the second line of what the language reads.
fn from_first_line(mut error: PolicyError) -> PolicyError {
    error.at.line = error.at.line.saturating_sub(1).max(1);
    error
}
