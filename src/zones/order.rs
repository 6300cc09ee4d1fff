//! The operators' expression for the order in which displaced jobs are moved to other zones.
//! A displaced job is a job that lost an attempt, or may have lost one, with its zone.

use crate::clock::Micros;
use crate::jobs::{Job, Priority};
use crate::policy::lang::{
    self, Expr, PolicyError, PolicyErrorKind, SourcePosition, Value, ValueType,
};
use crate::policy::{JOB_NAMES, PlatformValues, job_value};
use crate::settings::Settings;
use zone_failover::evacuation::EvacuationPriority;

/// Names that the expression may use in addition to those of the platform and of any job. The
/// ranges are those that the checker assumes.
const DISPLACED_JOB_NAMES: [(&str, ValueType); 4] = [
    ("rank_level", ValueType::Number { min: 0.0, max: 3.0 }),
    ("keeps_deadline", ValueType::Boolean),
    ("waited_s", ValueType::Number { min: 0.0, max: 1e9 }),
    ("service", ValueType::Boolean),
];

/// Name that the expression is assigned to when it is parsed. It may appear in error messages.
const ASSIGNED_NAME: &str = "evacuation_priority";

/// Checked expression that determines the evacuation priority of a displaced job.
#[derive(Debug, Clone, PartialEq)]
pub struct EvacuationOrder {
    expression: Expr,
    platform: PlatformValues,
    services: Vec<String>,
}

impl EvacuationOrder {
    /// Default expression: orders jobs by rank, then jobs that can still meet their deadline
    /// before others. Jobs with equal values are ordered by [`EvacuationPriority`]: services
    /// first, then single tasks before arrays, then the oldest job.
    pub const DEFAULT: &str = "10 * rank_level + (if keeps_deadline then 1 else 0)";

    /// Parses and checks an expression. `services` are the classes of jobs that count as
    /// services.
    ///
    /// # Errors
    /// Returns the first error in the expression, with its position in the expression. The
    /// expression must be a number with finite bounds.
    pub fn check(
        expression: &str,
        settings: &Settings,
        services: Vec<String>,
    ) -> Result<Self, PolicyError> {
        let platform = PlatformValues::new(settings);
        let scope = [
            &platform.scope()[..],
            &JOB_NAMES[..],
            &DISPLACED_JOB_NAMES[..],
        ]
        .concat();
        let start = SourcePosition::START;
        let mut parsed = lang::parse(&format!("{ASSIGNED_NAME} =\n{expression};"))
            .map_err(relative_to_expression)?;
        let Some(assignment) = parsed.pop() else {
            return Err(PolicyErrorKind::NoExpression.at(start));
        };
        if !parsed.is_empty() {
            return Err(PolicyErrorKind::SeveralExpressions.at(start));
        }
        let expression = assignment.expression;
        match expression.check(&scope).map_err(relative_to_expression)? {
            ValueType::Number { min, max } if min.is_finite() && max.is_finite() => {}
            ValueType::Number { .. } => return Err(PolicyErrorKind::Unbounded.at(start)),
            given => {
                let example = "10 * rank_level";
                return Err(PolicyErrorKind::ExpressionNotNumber { given, example }.at(start));
            }
        }
        Ok(EvacuationOrder {
            expression,
            platform,
            services,
        })
    }

    /// Returns the priority of a job among the displaced jobs, before its wave is admitted.
    pub fn priority(&self, job: &Job, wall_clock: Micros) -> EvacuationPriority {
        let service = self.services.contains(&job.desc.class);
        let waited = wall_clock.since(job.eligible_since()).as_secs();
        let value = |name: &str| match name {
            "rank_level" => Some(Value::Number(priority_level(job.effective_priority()))),
            "keeps_deadline" => Some(Value::Boolean(
                job.effective_deadline().is_some() && job.slack_us(wall_clock) >= 0,
            )),
            "waited_s" => Some(Value::Number(waited)),
            "service" => Some(Value::Boolean(service)),
            _ => job_value(&job.desc, name).or_else(|| self.platform.value(name)),
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

/// Value of `rank_level` for a priority.
fn priority_level(priority: Priority) -> f64 {
    match priority {
        Priority::Idle => 0.0,
        Priority::Standard => 1.0,
        Priority::High => 2.0,
        Priority::Production => 3.0,
    }
}

/// Makes the position of an error relative to the expression, which begins on the second line
/// of the parsed text.
fn relative_to_expression(mut error: PolicyError) -> PolicyError {
    error.at.line = error.at.line.saturating_sub(1).max(1);
    error
}
