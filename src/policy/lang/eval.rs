//! The value of a checked expression.

use super::{Call, Expr, Node, Op, Value};

impl Expr {
    /// Its value. A checked expression always has one.
    pub fn eval(&self, values: &dyn Fn(&str) -> Option<Value>) -> Option<Value> {
        let number = |e: &Expr| match e.eval(values)? {
            Value::Number(v) => Some(v),
            _ => None,
        };
        let truth = |e: &Expr| match e.eval(values)? {
            Value::Truth(v) => Some(v),
            _ => None,
        };
        Some(match &self.node {
            Node::Value(v) => v.clone(),
            Node::Name(name) => values(name)?,
            Node::Not(e) => Value::Truth(!truth(e)?),
            Node::Negative(e) => Value::Number(-number(e)?),
            Node::Pair(Op::Or, a, b) => Value::Truth(truth(a)? || truth(b)?),
            Node::Pair(Op::And, a, b) => Value::Truth(truth(a)? && truth(b)?),
            Node::Pair(Op::Same, a, b) => Value::Truth(a.eval(values)? == b.eval(values)?),
            Node::Pair(Op::Other, a, b) => Value::Truth(a.eval(values)? != b.eval(values)?),
            Node::Pair(Op::Less, a, b) => Value::Truth(number(a)? < number(b)?),
            Node::Pair(Op::LessOrSame, a, b) => Value::Truth(number(a)? <= number(b)?),
            Node::Pair(Op::More, a, b) => Value::Truth(number(a)? > number(b)?),
            Node::Pair(Op::MoreOrSame, a, b) => Value::Truth(number(a)? >= number(b)?),
            Node::Pair(op, a, b) => Value::Number(arithmetic(*op, number(a)?, number(b)?)),
            Node::If(cond, yes, no) => {
                if truth(cond)? {
                    yes.eval(values)?
                } else {
                    no.eval(values)?
                }
            }
            Node::Call(call, all) => {
                let numbers: Option<Vec<f64>> = all.iter().map(number).collect();
                Value::Number(call.of(&numbers?))
            }
        })
    }
}

impl Call {
    pub(super) fn of(self, v: &[f64]) -> f64 {
        match self {
            Call::Min => v[0].min(v[1]),
            Call::Max => v[0].max(v[1]),
            Call::Clamp => v[0].max(v[1]).min(v[2]),
        }
    }
}

pub(super) fn arithmetic(op: Op, a: f64, b: f64) -> f64 {
    match op {
        Op::Plus => a + b,
        Op::Minus => a - b,
        Op::Times => a * b,
        _ => a / b,
    }
}
