//! The expression language of policy files. Expressions use named values; they are typed,
//! total and free of loops.
//!
//! The lexer splits a text into tokens, and the parser builds assignments from the tokens. The
//! checker determines the type of an expression and the range of its value, and the evaluator
//! computes the value. Callers supply the names that an expression may use, so the language is
//! independent of jobs and settings.
//!
//! Invariant: the value of a checked expression lies in the range that the checker reported.

mod checker;
mod error;
mod evaluator;
mod lexer;
mod parser;

pub use error::{PolicyError, PolicyErrorKind, SourcePosition};
pub use parser::parse;

/// Value of an expression.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// A number.
    Number(f64),
    /// A boolean.
    Boolean(bool),
    /// A text.
    Text(String),
}

/// Type of an expression. For a number it includes the range of the value, which is known
/// without evaluating the expression.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ValueType {
    /// A number.
    Number {
        /// Lowest possible value.
        min: f64,
        /// Highest possible value.
        max: f64,
    },
    /// A boolean.
    Boolean,
    /// A text.
    Text,
}

impl ValueType {
    /// Returns the type of a number whose value is known.
    pub const fn constant(value: f64) -> ValueType {
        ValueType::Number {
            min: value,
            max: value,
        }
    }

    /// Returns the name of the type in error messages.
    pub fn name(self) -> &'static str {
        match self {
            ValueType::Number { .. } => "a number",
            ValueType::Boolean => "a boolean",
            ValueType::Text => "a text",
        }
    }
}

/// Names that an expression may use, with the type of each.
pub type Scope = [(&'static str, ValueType)];

/// Statement that assigns an expression to a name.
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    /// Assigned name.
    pub name: String,
    /// Position of the name in the text.
    pub at: SourcePosition,
    /// Expression that is assigned to the name.
    pub expression: Expr,
}

/// Expression with its position in the text.
#[derive(Debug, Clone, PartialEq)]
pub struct Expr {
    at: SourcePosition,
    node: Node,
}

#[derive(Debug, Clone, PartialEq)]
enum Node {
    Literal(Value),
    Name(String),
    Not(Box<Expr>),
    Negate(Box<Expr>),
    Binary(BinaryOperator, Box<Expr>, Box<Expr>),
    If(Box<Conditional>),
    Call(Box<Call>),
}

#[derive(Debug, Clone, PartialEq)]
struct Conditional {
    condition: Expr,
    when_true: Expr,
    when_false: Expr,
}

#[derive(Debug, Clone, PartialEq)]
enum Call {
    Min([Expr; 2]),
    Max([Expr; 2]),
    /// In this order: the value, the lower bound and the upper bound.
    Clamp([Expr; 3]),
}

/// Binary operators, grouped by the types of their operands and of their result.
#[derive(Debug, Clone, Copy, PartialEq)]
enum BinaryOperator {
    Logical(LogicalOperator),
    Equality(EqualityOperator),
    Ordering(OrderingOperator),
    Arithmetic(ArithmeticOperator),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum LogicalOperator {
    Or,
    And,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum EqualityOperator {
    Equal,
    NotEqual,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum OrderingOperator {
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum ArithmeticOperator {
    Add,
    Subtract,
    Multiply,
    Divide,
}

impl ArithmeticOperator {
    fn apply(self, left: f64, right: f64) -> f64 {
        match self {
            ArithmeticOperator::Add => left + right,
            ArithmeticOperator::Subtract => left - right,
            ArithmeticOperator::Multiply => left * right,
            ArithmeticOperator::Divide => left / right,
        }
    }
}

/// Limits a number to the range from `min` to `max`. Returns `max` if `min` exceeds it.
fn clamp(value: f64, min: f64, max: f64) -> f64 {
    value.max(min).min(max)
}
