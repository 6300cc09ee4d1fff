//! Checker: determines the type of an expression and the range of its value without evaluating
//! it.

use super::{
    ArithmeticOperator, BinaryOperator, Call, Conditional, Expr, Node, PolicyError,
    PolicyErrorKind, Scope, Value, ValueType, clamp,
};
use rockdeal_types::suggestion::nearest;

/// Range of a number, both ends included.
#[derive(Clone, Copy)]
struct NumberRange {
    min: f64,
    max: f64,
}

impl From<NumberRange> for ValueType {
    fn from(NumberRange { min, max }: NumberRange) -> ValueType {
        ValueType::Number { min, max }
    }
}

impl Expr {
    /// Returns the type of the expression, which for a number includes its range.
    ///
    /// # Errors
    /// Returns the first unknown name, operand of the wrong type, call of `clamp` whose bounds
    /// may be reversed, or division whose divisor may be 0.
    pub fn check(&self, scope: &Scope) -> Result<ValueType, PolicyError> {
        match &self.node {
            Node::Literal(Value::Number(number)) => Ok(ValueType::constant(*number)),
            Node::Literal(Value::Boolean(_)) => Ok(ValueType::Boolean),
            Node::Literal(Value::Text(_)) => Ok(ValueType::Text),
            Node::Name(name) => self.check_name(name, scope),
            Node::Not(operand) => {
                operand.check_boolean(scope)?;
                Ok(ValueType::Boolean)
            }
            Node::Negate(operand) => {
                let NumberRange { min, max } = operand.check_number(scope)?;
                Ok(ValueType::Number {
                    min: -max,
                    max: -min,
                })
            }
            Node::Binary(operator, left, right) => self.check_binary(*operator, left, right, scope),
            Node::If(conditional) => self.check_conditional(conditional, scope),
            Node::Call(call) => self.check_call(call, scope),
        }
    }

    fn error<T>(&self, kind: PolicyErrorKind) -> Result<T, PolicyError> {
        Err(kind.at(self.at))
    }

    fn check_number(&self, scope: &Scope) -> Result<NumberRange, PolicyError> {
        match self.check(scope)? {
            ValueType::Number { min, max } => Ok(NumberRange { min, max }),
            other => self.error(PolicyErrorKind::NumberNeeded(other)),
        }
    }

    fn check_boolean(&self, scope: &Scope) -> Result<(), PolicyError> {
        match self.check(scope)? {
            ValueType::Boolean => Ok(()),
            other => self.error(PolicyErrorKind::BooleanNeeded(other)),
        }
    }

    fn check_name(&self, name: &str, scope: &Scope) -> Result<ValueType, PolicyError> {
        match scope.iter().find(|(known, _)| *known == name) {
            Some((_, value_type)) => Ok(*value_type),
            None => self.error(PolicyErrorKind::UnknownName {
                name: name.to_owned(),
                suggestion: nearest(name, scope.iter().map(|(known, _)| *known)),
            }),
        }
    }

    fn check_binary(
        &self,
        operator: BinaryOperator,
        left: &Expr,
        right: &Expr,
        scope: &Scope,
    ) -> Result<ValueType, PolicyError> {
        match operator {
            BinaryOperator::Logical(_) => {
                left.check_boolean(scope)?;
                right.check_boolean(scope)?;
                Ok(ValueType::Boolean)
            }
            BinaryOperator::Equality(_) => {
                let (left, right) = (left.check(scope)?, right.check(scope)?);
                if left.name() != right.name() {
                    return self.error(PolicyErrorKind::ComparedTypes(left, right));
                }
                Ok(ValueType::Boolean)
            }
            BinaryOperator::Ordering(_) => {
                left.check_number(scope)?;
                right.check_number(scope)?;
                Ok(ValueType::Boolean)
            }
            BinaryOperator::Arithmetic(operator) => {
                let (left, right) = (left.check_number(scope)?, right.check_number(scope)?);
                self.check_arithmetic(operator, left, right)
            }
        }
    }

    /// Returns the range of an arithmetic operation. Each operator is monotonic in each operand,
    /// so the lowest and the highest value occur at the ends of the operands' ranges.
    fn check_arithmetic(
        &self,
        operator: ArithmeticOperator,
        left: NumberRange,
        right: NumberRange,
    ) -> Result<ValueType, PolicyError> {
        let may_be_zero = right.min <= 0.0 && right.max >= 0.0;
        if operator == ArithmeticOperator::Divide && may_be_zero {
            return self.error(PolicyErrorKind::DivisionByZero);
        }
        let ends = [
            operator.apply(left.min, right.min),
            operator.apply(left.min, right.max),
            operator.apply(left.max, right.min),
            operator.apply(left.max, right.max),
        ];
        Ok(ValueType::Number {
            min: ends.into_iter().fold(f64::INFINITY, f64::min),
            max: ends.into_iter().fold(f64::NEG_INFINITY, f64::max),
        })
    }

    fn check_conditional(
        &self,
        conditional: &Conditional,
        scope: &Scope,
    ) -> Result<ValueType, PolicyError> {
        conditional.condition.check_boolean(scope)?;
        let when_true = conditional.when_true.check(scope)?;
        let when_false = conditional.when_false.check(scope)?;
        match (when_true, when_false) {
            (
                ValueType::Number { min, max },
                ValueType::Number {
                    min: other_min,
                    max: other_max,
                },
            ) => Ok(ValueType::Number {
                min: min.min(other_min),
                max: max.max(other_max),
            }),
            (when_true, when_false) if when_true == when_false => Ok(when_true),
            (when_true, when_false) => {
                self.error(PolicyErrorKind::BranchTypes(when_true, when_false))
            }
        }
    }

    /// Returns the range of a function call. Each function is non-decreasing in each argument, so
    /// the ends of its range are its values at the ends of the arguments' ranges.
    fn check_call(&self, call: &Call, scope: &Scope) -> Result<ValueType, PolicyError> {
        let range = match call {
            Call::Min([left, right]) => {
                let (left, right) = (left.check_number(scope)?, right.check_number(scope)?);
                NumberRange {
                    min: left.min.min(right.min),
                    max: left.max.min(right.max),
                }
            }
            Call::Max([left, right]) => {
                let (left, right) = (left.check_number(scope)?, right.check_number(scope)?);
                NumberRange {
                    min: left.min.max(right.min),
                    max: left.max.max(right.max),
                }
            }
            Call::Clamp([value, lower, upper]) => {
                let value = value.check_number(scope)?;
                let (lower, upper) = (lower.check_number(scope)?, upper.check_number(scope)?);
                if lower.max > upper.min {
                    return self.error(PolicyErrorKind::ReversedClamp);
                }
                NumberRange {
                    min: clamp(value.min, lower.min, upper.min),
                    max: clamp(value.max, lower.max, upper.max),
                }
            }
        };
        Ok(range.into())
    }
}
