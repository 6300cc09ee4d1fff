//! The language of operators' policies: expressions over named values, typed, total
//! and without loops. What a checked expression gives is known to lie in its range
//! before anything runs.

mod check;
mod eval;
mod parse;

pub use parse::parse;

use std::fmt;

/// Where in a file, counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SourcePosition {
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1.
    pub column: usize,
}

/// What is wrong with a policy, and where.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub struct PolicyError {
    /// Where.
    pub at: SourcePosition,
    /// What is wrong.
    pub why: String,
    /// What may help; empty: nothing is known to.
    pub hint: String,
}

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SourcePosition { line, column } = self.at;
        write!(f, "line {line}, column {column}: {}", self.why)?;
        if !self.hint.is_empty() {
            write!(f, " ({})", self.hint)?;
        }
        Ok(())
    }
}

/// An error at a position.
pub fn fail<T>(
    at: SourcePosition,
    why: impl Into<String>,
    hint: impl Into<String>,
) -> Result<T, PolicyError> {
    Err(PolicyError {
        at,
        why: why.into(),
        hint: hint.into(),
    })
}

/// A value, or what is known of one before anything runs.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// A number.
    Number(f64),
    /// True or false.
    Truth(bool),
    /// Text.
    Text(String),
}

/// The type of an expression, with what is known of its value.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// With the least and the most that it can be.
    Number(f64, f64),
    /// True or false.
    Truth,
    /// Text.
    Text,
}

impl Kind {
    /// As error messages call it.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Number(..) => "a number",
            Kind::Truth => "true or false",
            Kind::Text => "a text",
        }
    }
}

/// The names that an expression may use, and what is known of each.
pub type Scope = [(&'static str, Kind)];

#[derive(Debug, Clone, Copy, PartialEq)]
enum Op {
    Or,
    And,
    Less,
    LessOrSame,
    More,
    MoreOrSame,
    Same,
    Other,
    Plus,
    Minus,
    Times,
    Over,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Call {
    Min,
    Max,
    Clamp,
}

/// An expression, and where it stands.
#[derive(Debug, Clone, PartialEq)]
pub struct Expr {
    at: SourcePosition,
    node: Node,
}

#[derive(Debug, Clone, PartialEq)]
enum Node {
    Value(Value),
    Name(String),
    Not(Box<Expr>),
    Negative(Box<Expr>),
    Pair(Op, Box<Expr>, Box<Expr>),
    If(Box<Expr>, Box<Expr>, Box<Expr>),
    Call(Call, Vec<Expr>),
}

/// A file of settings: each name, where it stands, and its expression.
pub type Settings = Vec<(String, SourcePosition, Expr)>;
