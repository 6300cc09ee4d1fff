//! The language of operators' policies: expressions over named values, typed, total
//! and without loops. What a checked expression gives is known to lie in its range
//! before anything runs.
//!
//! The lexer makes tokens of a text, the parser assignments of tokens; the checker finds the
//! type and the range of an expression, the evaluator its value. The language knows nothing
//! of jobs or of settings: the names that may be used come from its callers.

mod checker;
mod error;
mod evaluator;
mod lexer;
mod parser;

pub use error::{PolicyError, PolicyErrorKind, SourcePosition};
pub use parser::parse;

/// A value.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// A number.
    Number(f64),
    /// True or false.
    Boolean(bool),
    /// Text.
    Text(String),
}

/// The type of an expression, with what is known of its value before anything runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ValueType {
    /// A number.
    Number {
        /// The lowest that it can be.
        min: f64,
        /// The highest that it can be.
        max: f64,
    },
    /// True or false.
    Boolean,
    /// Text.
    Text,
}

impl ValueType {
    /// A number that is known.
    pub const fn constant(value: f64) -> ValueType {
        ValueType::Number {
            min: value,
            max: value,
        }
    }

    /// As error messages call it.
    pub fn name(self) -> &'static str {
        match self {
            ValueType::Number { .. } => "a number",
            ValueType::Boolean => "true or false",
            ValueType::Text => "a text",
        }
    }
}

/// The names that an expression may use, and the type of each.
pub type Scope = [(&'static str, ValueType)];

/// A name that is set to an expression.
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    /// The name.
    pub name: String,
    /// Where the name stands.
    pub at: SourcePosition,
    /// What it is set to.
    pub expression: Expr,
}

/// An expression, and where it stands.
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
    /// The value, the lower and the upper bound.
    Clamp([Expr; 3]),
}

/// By the types that they take and give.
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

/// A number between two bounds; the upper one wins if they are reversed.
fn clamp(value: f64, min: f64, max: f64) -> f64 {
    value.max(min).min(max)
}
