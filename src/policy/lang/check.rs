//! Checking an expression before anything runs: its kind, and the range of its value.

use super::eval::arithmetic;
use super::{Call, Expr, Kind, Node, Op, PolicyError, Scope, Value, fail};
use rockdeal_types::suggestion::nearest;

impl Expr {
    /// What the expression gives: its kind, and for a number the range. Refuses
    /// unknown names, wrong kinds, and divisions that might be by zero.
    pub fn check(&self, scope: &Scope) -> Result<Kind, PolicyError> {
        let number = |e: &Expr| match e.check(scope)? {
            Kind::Number(a, b) => Ok((a, b)),
            other => fail(
                e.at,
                format!("a number is needed, not {}", other.name()),
                "",
            ),
        };
        let truth = |e: &Expr| match e.check(scope)? {
            Kind::Truth => Ok(()),
            other => {
                let why = format!("true or false is needed, not {}", other.name());
                fail(e.at, why, "compare it with something")
            }
        };
        Ok(match &self.node {
            Node::Value(Value::Number(v)) => Kind::Number(*v, *v),
            Node::Value(Value::Truth(_)) => Kind::Truth,
            Node::Value(Value::Text(_)) => Kind::Text,
            Node::Name(name) => match scope.iter().find(|(n, _)| n == name) {
                Some((_, kind)) => *kind,
                None => {
                    let known = scope.iter().map(|(n, _)| *n);
                    return fail(
                        self.at,
                        format!("{name} is unknown here"),
                        nearest(name, known),
                    );
                }
            },
            Node::Not(e) => {
                truth(e)?;
                Kind::Truth
            }
            Node::Negative(e) => {
                let (a, b) = number(e)?;
                Kind::Number(-b, -a)
            }
            Node::Pair(Op::Or | Op::And, a, b) => {
                truth(a)?;
                truth(b)?;
                Kind::Truth
            }
            Node::Pair(Op::Same | Op::Other, a, b) => {
                let (left, right) = (a.check(scope)?, b.check(scope)?);
                if left.name() != right.name() {
                    let why = format!("{} is compared with {}", left.name(), right.name());
                    return fail(self.at, why, "");
                }
                Kind::Truth
            }
            Node::Pair(Op::Less | Op::LessOrSame | Op::More | Op::MoreOrSame, a, b) => {
                number(a)?;
                number(b)?;
                Kind::Truth
            }
            Node::Pair(op, a, b) => {
                let ((a, b), (c, d)) = (number(a)?, number(b)?);
                if *op == Op::Over && c <= 0.0 && d >= 0.0 {
                    return fail(self.at, "this may divide by zero", "divide by max(..., 1)");
                }
                let ends = [(a, c), (a, d), (b, c), (b, d)].map(|(x, y)| arithmetic(*op, x, y));
                spread(&ends)
            }
            Node::If(cond, yes, no) => {
                truth(cond)?;
                match (yes.check(scope)?, no.check(scope)?) {
                    (Kind::Number(a, b), Kind::Number(c, d)) => Kind::Number(a.min(c), b.max(d)),
                    (a, b) if a == b => a,
                    (a, b) => {
                        let why = format!("one way gives {}, the other {}", a.name(), b.name());
                        return fail(self.at, why, "");
                    }
                }
            }
            Node::Call(call, all) => {
                let mut ranges = Vec::new();
                for e in all {
                    ranges.push(number(e)?);
                }
                let ends = |pick: fn(&(f64, f64)) -> f64| {
                    call.of(&ranges.iter().map(pick).collect::<Vec<f64>>())
                };
                if *call == Call::Clamp && ranges[1].1 > ranges[2].0 {
                    return fail(
                        self.at,
                        "the least may be above the most",
                        "clamp(X, LEAST, MOST)",
                    );
                }
                Kind::Number(ends(|r| r.0), ends(|r| r.1))
            }
        })
    }
}

fn spread(ends: &[f64]) -> Kind {
    let fold = |f: fn(f64, f64) -> f64, from| ends.iter().copied().fold(from, f);
    Kind::Number(
        fold(f64::min, f64::INFINITY),
        fold(f64::max, f64::NEG_INFINITY),
    )
}
