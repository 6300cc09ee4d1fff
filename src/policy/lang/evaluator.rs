//! Evaluator: computes the value of a checked expression.

use super::{
    BinaryOperator, Call, EqualityOperator, Expr, LogicalOperator, Node, OrderingOperator, Value,
    clamp,
};

/// Function that returns the value of a name, or `None` if the name has no value.
pub type ValueLookup<'a> = dyn Fn(&str) -> Option<Value> + 'a;

impl Expr {
    /// Returns the value of the expression, or `None` if a name has no value or an operand has the
    /// wrong type. A checked expression has a value if all names of its scope have one.
    pub fn eval(&self, values: &ValueLookup<'_>) -> Option<Value> {
        Some(match &self.node {
            Node::Literal(value) => value.clone(),
            Node::Name(name) => values(name)?,
            Node::Not(operand) => Value::Boolean(!operand.eval_boolean(values)?),
            Node::Negate(operand) => Value::Number(-operand.eval_number(values)?),
            Node::Binary(operator, left, right) => eval_binary(*operator, left, right, values)?,
            Node::If(conditional) => {
                if conditional.condition.eval_boolean(values)? {
                    conditional.when_true.eval(values)?
                } else {
                    conditional.when_false.eval(values)?
                }
            }
            Node::Call(call) => Value::Number(call.eval(values)?),
        })
    }

    fn eval_number(&self, values: &ValueLookup<'_>) -> Option<f64> {
        match self.eval(values)? {
            Value::Number(number) => Some(number),
            _ => None,
        }
    }

    fn eval_boolean(&self, values: &ValueLookup<'_>) -> Option<bool> {
        match self.eval(values)? {
            Value::Boolean(boolean) => Some(boolean),
            _ => None,
        }
    }
}

fn eval_binary(
    operator: BinaryOperator,
    left: &Expr,
    right: &Expr,
    values: &ValueLookup<'_>,
) -> Option<Value> {
    let boolean = match operator {
        BinaryOperator::Arithmetic(operator) => {
            let (left, right) = (left.eval_number(values)?, right.eval_number(values)?);
            return Some(Value::Number(operator.apply(left, right)));
        }
        // The right operand is evaluated only if the left one does not determine the result.
        BinaryOperator::Logical(LogicalOperator::Or) => {
            left.eval_boolean(values)? || right.eval_boolean(values)?
        }
        BinaryOperator::Logical(LogicalOperator::And) => {
            left.eval_boolean(values)? && right.eval_boolean(values)?
        }
        BinaryOperator::Equality(operator) => {
            let is_equal = left.eval(values)? == right.eval(values)?;
            is_equal == (operator == EqualityOperator::Equal)
        }
        BinaryOperator::Ordering(operator) => {
            let (left, right) = (left.eval_number(values)?, right.eval_number(values)?);
            match operator {
                OrderingOperator::Less => left < right,
                OrderingOperator::LessOrEqual => left <= right,
                OrderingOperator::Greater => left > right,
                OrderingOperator::GreaterOrEqual => left >= right,
            }
        }
    };
    Some(Value::Boolean(boolean))
}

impl Call {
    fn eval(&self, values: &ValueLookup<'_>) -> Option<f64> {
        Some(match self {
            Call::Min([left, right]) => left.eval_number(values)?.min(right.eval_number(values)?),
            Call::Max([left, right]) => left.eval_number(values)?.max(right.eval_number(values)?),
            Call::Clamp([value, lower, upper]) => clamp(
                value.eval_number(values)?,
                lower.eval_number(values)?,
                upper.eval_number(values)?,
            ),
        })
    }
}
