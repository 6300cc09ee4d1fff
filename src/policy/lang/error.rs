//! Errors in the text of a policy, with their position and a hint on how to correct them.

use super::ValueType;
use std::fmt;

/// Position in a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SourcePosition {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
}

impl SourcePosition {
    /// Start of a text.
    pub const START: SourcePosition = SourcePosition { line: 1, column: 1 };

    /// Returns the position of the byte at `offset`. An offset beyond the end of the text, or
    /// inside a character, gives the position of the end.
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

/// Error in a policy, with its position.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub struct PolicyError {
    /// Position of the error.
    pub at: SourcePosition,
    /// Kind of the error.
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

/// Kind of an error in a policy.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum PolicyErrorKind {
    /// A sequence of digits and decimal points that is not a number.
    #[error("invalid number {0}: expected digits with at most one decimal point")]
    InvalidNumber(String),
    /// A text without its closing quote.
    #[error("text without a closing quote")]
    UnterminatedText,
    /// A character that can't begin a token.
    #[error("unexpected character {0:?}")]
    UnknownCharacter(char),
    /// A text longer than the parser accepts.
    #[error("the text must not be larger than 64 KiB")]
    FileTooLarge,
    /// An assignment that does not begin with a name.
    #[error("expected the name of a setting or the end of the text")]
    ExpectedName,
    /// A second assignment to the same name.
    #[error("setting {0} is assigned twice")]
    DuplicateName(String),
    /// A missing symbol or keyword.
    #[error("expected `{0}`")]
    ExpectedToken(&'static str),
    /// An expression nested in too many other expressions.
    #[error(
        "expression is nested too deeply: use fewer parentheses, conditionals, function calls or \
         prefix operators"
    )]
    NestedTooDeep,
    /// Too many binary operators in one text.
    #[error("the text has more than 300 binary operators, such as + or `and`")]
    TooManyOperators,
    /// A missing operand.
    #[error("expected a value, such as a number, a text in quotes, a name or a function call")]
    ExpectedValue,
    /// A function call with the wrong number of arguments.
    #[error("wrong number of arguments: expected {needed}, got {given}")]
    ArgumentCount {
        /// Number of arguments that the function takes.
        needed: usize,
        /// Number of arguments in the call.
        given: usize,
    },
    /// An operand of another type where a number is required.
    #[error("expected a number, got {}", .0.name())]
    NumberNeeded(ValueType),
    /// An operand of another type where a boolean is required.
    #[error("expected a boolean (true or false), got {}", .0.name())]
    BooleanNeeded(ValueType),
    /// A name that the expression may not use.
    #[error("unknown name {name} in this expression")]
    UnknownName {
        /// Name in the expression.
        name: String,
        /// Hint with the most similar known name, or with all known names.
        suggestion: String,
    },
    /// A comparison for equality of two different types.
    #[error("values of different types are compared: {} and {}", .0.name(), .1.name())]
    ComparedTypes(ValueType, ValueType),
    /// A division whose divisor may be 0.
    #[error("this may divide by zero: the range of the divisor includes 0")]
    DivisionByZero,
    /// A conditional whose branches have different types.
    #[error(
        "both branches of a conditional must have the same type, got {} after `then` and {} after \
         `else`", .0.name(), .1.name()
    )]
    BranchTypes(ValueType, ValueType),
    /// A clamp whose lower bound may exceed its upper bound.
    #[error("the lower bound of clamp may exceed its upper bound")]
    ReversedClamp,
    /// An assignment to a name that is not a setting.
    #[error("unknown setting {name}")]
    UnknownSetting {
        /// Assigned name.
        name: String,
        /// Hint with the most similar setting, or with all settings.
        suggestion: String,
    },
    /// A setting that neither the file nor the built-in policy assigns.
    #[error("setting {0} is assigned neither in the file nor in the built-in policy")]
    NotSet(&'static str),
    /// A setting whose expression can't be evaluated to a number.
    #[error("the expression of setting {0} can't be evaluated to a number")]
    NoValue(&'static str),
    /// A setting whose value is out of range.
    #[error("setting {name} must be from {min} to {max}, got {value}")]
    ValueOutOfRange {
        /// Name of the setting.
        name: &'static str,
        /// Value of the expression.
        value: f64,
        /// Lowest allowed value.
        min: f64,
        /// Highest allowed value.
        max: f64,
    },
    /// A setting whose value may be out of range.
    #[error(
        "setting {name} must be from {min} to {max}, but the expression can give values from \
         {lowest} to {highest}"
    )]
    RangeExceeded {
        /// Name of the setting.
        name: &'static str,
        /// Lowest possible value of the expression.
        lowest: f64,
        /// Highest possible value of the expression.
        highest: f64,
        /// Lowest allowed value.
        min: f64,
        /// Highest allowed value.
        max: f64,
    },
    /// A setting of another type that must be a boolean.
    #[error("setting {0} must be a boolean (true or false)")]
    SettingNotBoolean(&'static str),
    /// A setting of another type that must be a number.
    #[error("setting {0} must be a number")]
    SettingNotNumber(&'static str),
    /// An empty text where an expression is required.
    #[error("expected an expression, got an empty text")]
    NoExpression,
    /// More than one expression where exactly one is required.
    #[error("expected a single expression, got several statements separated by `;`")]
    SeveralExpressions,
    /// A number whose range has no finite bounds.
    #[error("the value of the expression must have finite bounds, but its range is infinite")]
    Unbounded,
    /// An expression of another type that must be a number.
    #[error("the expression must be a number, got {}", .given.name())]
    ExpressionNotNumber {
        /// Type of the expression.
        given: ValueType,
        /// Example of an expression that is a number.
        example: &'static str,
    },
}

impl PolicyErrorKind {
    /// Returns the error with a position.
    pub fn at(self, at: SourcePosition) -> PolicyError {
        PolicyError { at, kind: self }
    }

    /// Returns a hint on how to correct the error, or `None` if the message suffices.
    fn hint(&self) -> Option<String> {
        let hint = match self {
            Self::UnterminatedText => "add a \" on the same line",
            Self::ExpectedName => "write NAME = EXPRESSION;",
            Self::BooleanNeeded(_) => "for example, compare the value with another one",
            Self::UnknownName { suggestion, .. } | Self::UnknownSetting { suggestion, .. } => {
                suggestion
            }
            Self::DivisionByZero => "for example, divide by max(..., 1)",
            Self::ReversedClamp => "write clamp(VALUE, LOWER, UPPER)",
            Self::ValueOutOfRange { min, max, .. } | Self::RangeExceeded { min, max, .. } => {
                return Some(format!("for example, use clamp(..., {min}, {max})"));
            }
            Self::NoExpression => "write an expression, or leave out the setting",
            Self::SeveralExpressions => "remove the ;",
            Self::Unbounded => "for example, use clamp(VALUE, LOWER, UPPER)",
            Self::ExpressionNotNumber { example, .. } => {
                return Some(format!("for example, {example}"));
            }
            _ => return None,
        };
        Some(hint.to_owned())
    }
}
