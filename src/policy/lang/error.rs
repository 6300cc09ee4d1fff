//! What can be wrong with a policy, where it is, and what may help.

use super::ValueType;
use std::fmt;

/// Where in a file, counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SourcePosition {
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
}

impl SourcePosition {
    /// The start of a file.
    pub const START: SourcePosition = SourcePosition { line: 1, column: 1 };

    /// The position of a byte of a text; beyond its end: the end.
    pub fn of_byte(text: &str, offset: usize) -> SourcePosition {
        let before = text.get(..offset).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        SourcePosition {
            line: 1 + before.matches('\n').count(),
            column: 1 + before[line_start..].chars().count(),
        }
    }
}

impl fmt::Display for SourcePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}", self.line, self.column)
    }
}

/// What is wrong with a policy, and where.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub struct PolicyError {
    /// Where.
    pub at: SourcePosition,
    /// What is wrong.
    pub kind: PolicyErrorKind,
}

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.at, self.kind)?;
        match self.kind.hint() {
            Some(hint) => write!(f, " ({hint})"),
            None => Ok(()),
        }
    }
}

/// What is wrong with a policy.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum PolicyErrorKind {
    /// Digits and points that are no number.
    #[error("{0} is no number")]
    InvalidNumber(String),
    /// A text without its closing quotes.
    #[error("a text has no end")]
    UnterminatedText,
    /// A character that begins no token.
    #[error("{0:?} means nothing here")]
    UnknownCharacter(char),
    /// The file is too large.
    #[error("the file is over 64 KiB")]
    FileTooLarge,
    /// An assignment without its name.
    #[error("a setting's name is missing")]
    ExpectedName,
    /// Two assignments of one name.
    #[error("{0} is set twice")]
    DuplicateName(String),
    /// A sign or keyword that has to stand here.
    #[error("{0} is missing here")]
    ExpectedToken(&'static str),
    /// An expression inside too many others.
    #[error("this is nested too deep")]
    NestedTooDeep,
    /// Too many operators in one file.
    #[error("the settings are too long")]
    TooManyOperators,
    /// An operand that has to stand here.
    #[error("a value is missing here")]
    ExpectedValue,
    /// A function called with another number of arguments than it takes.
    #[error("{needed} arguments are needed, not {given}")]
    ArgumentCount {
        /// How many it takes.
        needed: usize,
        /// How many there are.
        given: usize,
    },
    /// An operand has to be a number.
    #[error("a number is needed, not {}", .0.name())]
    NumberNeeded(ValueType),
    /// An operand has to be true or false.
    #[error("true or false is needed, not {}", .0.name())]
    BooleanNeeded(ValueType),
    /// A name that may not be used here.
    #[error("{name} is unknown here")]
    UnknownName {
        /// The name.
        name: String,
        /// The known name most like it, or all known names.
        suggestion: String,
    },
    /// Two types that are never equal.
    #[error("{} is compared with {}", .0.name(), .1.name())]
    ComparedTypes(ValueType, ValueType),
    /// The divisor may be 0.
    #[error("this may divide by zero")]
    DivisionByZero,
    /// The branches of a conditional have different types.
    #[error("one way gives {}, the other {}", .0.name(), .1.name())]
    BranchTypes(ValueType, ValueType),
    /// The bounds of a clamp may be reversed.
    #[error("the least may be above the most")]
    ReversedClamp,
    /// A name that is no setting.
    #[error("{name} is no setting")]
    UnknownSetting {
        /// The name.
        name: String,
        /// The setting most like it, or all settings.
        suggestion: String,
    },
    /// A setting without an assignment, also by default.
    #[error("{0} is not set")]
    NotSet(&'static str),
    /// A setting whose expression has no value.
    #[error("{0} has no value")]
    NoValue(&'static str),
    /// A setting whose value is out of range.
    #[error("{name} is {value}, outside {min} to {max}")]
    ValueOutOfRange {
        /// The setting.
        name: &'static str,
        /// Its value.
        value: f64,
        /// The lowest that is allowed.
        min: f64,
        /// The highest that is allowed.
        max: f64,
    },
    /// A setting whose value may be out of range.
    #[error("{name} may be from {lowest} to {highest}, outside {min} to {max}")]
    RangeExceeded {
        /// The setting.
        name: &'static str,
        /// The lowest that it may be.
        lowest: f64,
        /// The highest that it may be.
        highest: f64,
        /// The lowest that is allowed.
        min: f64,
        /// The highest that is allowed.
        max: f64,
    },
    /// A setting that has to be true or false.
    #[error("{0} must be true or false")]
    SettingNotBoolean(&'static str),
    /// A setting that has to be a number.
    #[error("{0} must be a number")]
    SettingNotNumber(&'static str),
    /// A text that has to be one expression is empty.
    #[error("there is no expression")]
    NoExpression,
    /// A text that has to be one expression has more.
    #[error("only one expression is allowed here")]
    SeveralExpressions,
    /// An expression that has to be bounded.
    #[error("it may grow without bound")]
    Unbounded,
    /// An expression that has to be a number.
    #[error("it must be a number, and is {}", .given.name())]
    ExpressionNotNumber {
        /// Its type.
        given: ValueType,
        /// An expression that is one.
        example: &'static str,
    },
}

impl PolicyErrorKind {
    /// The error at a position.
    pub fn at(self, at: SourcePosition) -> PolicyError {
        PolicyError { at, kind: self }
    }

    /// What may help.
    fn hint(&self) -> Option<String> {
        let hint = match self {
            Self::UnterminatedText => "close it with \" on its line",
            Self::ExpectedName => "NAME = EXPRESSION;",
            Self::BooleanNeeded(_) => "compare it with something",
            Self::UnknownName { suggestion, .. } | Self::UnknownSetting { suggestion, .. } => {
                suggestion
            }
            Self::DivisionByZero => "divide by max(..., 1)",
            Self::ReversedClamp => "clamp(X, LEAST, MOST)",
            Self::ValueOutOfRange { min, max, .. } | Self::RangeExceeded { min, max, .. } => {
                return Some(format!("clamp(..., {min}, {max})"));
            }
            Self::NoExpression => "write one, or leave it out",
            Self::SeveralExpressions => "leave out the ;",
            Self::Unbounded => "use clamp(...)",
            Self::ExpressionNotNumber { example, .. } => {
                return Some(format!("as in {example}"));
            }
            _ => return None,
        };
        Some(hint.to_owned())
    }
}
