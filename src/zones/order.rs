//! The operators' expression for the order in which displaced jobs are moved.

use crate::clock::Micros;
use crate::jobs::{Job, Priority};
use crate::policy::lang::{
    self, Expr, PolicyError, PolicyErrorKind, SourcePosition, Value, ValueType,
};
use crate::policy::{JOB_NAMES, PlatformValues, job_value};
use crate::settings::Settings;
use zone_failover::evacuation::EvacuationPriority;

/// What an expression for the order may ask beyond what it may ask of any job.
const DISPLACED: [(&str, ValueType); 4] = [
    ("rank_level", ValueType::Number { min: 0.0, max: 3.0 }),
    ("keeps_deadline", ValueType::Boolean),
    ("waited_s", ValueType::Number { min: 0.0, max: 1e9 }),
    ("service", ValueType::Boolean),
];

/// The name under which the expression is read, for error messages.
const NAME: &str = "evacuation_priority";

/// A checked expression that gives a displaced job its priority.
#[derive(Debug, Clone, PartialEq)]
pub struct EvacuationOrder {
    expression: Expr,
    known: PlatformValues,
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
        let known = PlatformValues::new(settings);
        let scope = [&known.scope()[..], &JOB_NAMES[..], &DISPLACED[..]].concat();
        let start = SourcePosition::START;
        let mut parsed =
            lang::parse(&format!("{NAME} =\n{expression};")).map_err(from_first_line)?;
        let Some(assignment) = parsed.pop() else {
            return Err(PolicyErrorKind::NoExpression.at(start));
        };
        if !parsed.is_empty() {
            return Err(PolicyErrorKind::SeveralExpressions.at(start));
        }
        let expression = assignment.expression;
        match expression.check(&scope).map_err(from_first_line)? {
            ValueType::Number { min, max } if min.is_finite() && max.is_finite() => {}
            ValueType::Number { .. } => return Err(PolicyErrorKind::Unbounded.at(start)),
            given => {
                let example = "10 * rank_level";
                return Err(PolicyErrorKind::ExpressionNotNumber { given, example }.at(start));
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
            "keeps_deadline" => Some(Value::Boolean(
                job.effective_deadline().is_some() && job.slack_us(wall_clock) >= 0,
            )),
            "waited_s" => Some(Value::Number(waited)),
            "service" => Some(Value::Boolean(service)),
            _ => job_value(&job.desc, name).or_else(|| self.known.value(name)),
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
