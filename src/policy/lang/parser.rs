//! Recursive-descent parser: builds assignments from the tokens of a policy. Limits on the size
//! of the text and of its expressions bound the depth of the recursion here, in the checker and
//! in the evaluator.

use super::lexer::{PositionedToken, Token, tokenize};
use super::{
    ArithmeticOperator, Assignment, BinaryOperator, Call, Conditional, EqualityOperator, Expr,
    LogicalOperator, Node, OrderingOperator, PolicyError, PolicyErrorKind, SourcePosition, Value,
};

/// Maximum length of a text, in bytes. The text of [`PolicyErrorKind::FileTooLarge`] states it.
const MAX_BYTES: usize = 64 * 1024;
/// Maximum depth of nested expressions and operands. A deeper expression could overflow the
/// stack.
const MAX_DEPTH: usize = 64;
/// Maximum number of binary operators in one text. Each operator of a long sum or product adds a
/// level to the expression tree, which could overflow the stack as well. The text of
/// [`PolicyErrorKind::TooManyOperators`] states this number.
const MAX_BINARY_OPERATORS: usize = 300;

/// Binary operators by precedence, the lowest precedence first.
const PRECEDENCE: [&[(&str, BinaryOperator)]; 5] = [
    &[("or", BinaryOperator::Logical(LogicalOperator::Or))],
    &[("and", BinaryOperator::Logical(LogicalOperator::And))],
    &[
        (
            "<=",
            BinaryOperator::Ordering(OrderingOperator::LessOrEqual),
        ),
        (
            ">=",
            BinaryOperator::Ordering(OrderingOperator::GreaterOrEqual),
        ),
        ("==", BinaryOperator::Equality(EqualityOperator::Equal)),
        ("!=", BinaryOperator::Equality(EqualityOperator::NotEqual)),
        ("<", BinaryOperator::Ordering(OrderingOperator::Less)),
        (">", BinaryOperator::Ordering(OrderingOperator::Greater)),
    ],
    &[
        ("+", BinaryOperator::Arithmetic(ArithmeticOperator::Add)),
        (
            "-",
            BinaryOperator::Arithmetic(ArithmeticOperator::Subtract),
        ),
    ],
    &[
        (
            "*",
            BinaryOperator::Arithmetic(ArithmeticOperator::Multiply),
        ),
        ("/", BinaryOperator::Arithmetic(ArithmeticOperator::Divide)),
    ],
];

/// Parses a whole policy.
///
/// # Errors
/// Returns the first syntax error, or an error for a name that is assigned twice.
pub fn parse(text: &str) -> Result<Vec<Assignment>, PolicyError> {
    if text.len() > MAX_BYTES {
        return Err(PolicyErrorKind::FileTooLarge.at(SourcePosition::START));
    }
    let mut parser = Parser {
        tokens: tokenize(text)?,
        next: 0,
        depth: 0,
        binary_operators: 0,
    };
    let mut assignments: Vec<Assignment> = Vec::new();
    while let Some(assignment) = parser.assignment(&assignments)? {
        assignments.push(assignment);
    }
    Ok(assignments)
}

struct Parser {
    tokens: Vec<PositionedToken>,
    next: usize,
    depth: usize,
    binary_operators: usize,
}

impl Parser {
    fn at(&self) -> SourcePosition {
        self.tokens[self.next].at
    }

    fn take(&mut self) -> Token {
        let token = self.tokens[self.next].token.clone();
        self.next = (self.next + 1).min(self.tokens.len() - 1);
        token
    }

    fn is_next(&self, expected: &str) -> bool {
        match &self.tokens[self.next].token {
            Token::Symbol(symbol) => *symbol == expected,
            Token::Identifier(name) => name == expected,
            _ => false,
        }
    }

    fn take_if(&mut self, expected: &str) -> bool {
        let found = self.is_next(expected);
        if found {
            self.take();
        }
        found
    }

    fn expect(&mut self, expected: &'static str) -> Result<(), PolicyError> {
        let at = self.at();
        if self.take_if(expected) {
            return Ok(());
        }
        Err(PolicyErrorKind::ExpectedToken(expected).at(at))
    }

    /// Parses the next assignment, or returns `None` at the end of the text. `before` are the
    /// assignments parsed so far.
    fn assignment(&mut self, before: &[Assignment]) -> Result<Option<Assignment>, PolicyError> {
        let at = self.at();
        let name = match self.take() {
            Token::End => return Ok(None),
            Token::Identifier(name) => name,
            _ => return Err(PolicyErrorKind::ExpectedName.at(at)),
        };
        if before.iter().any(|assignment| assignment.name == name) {
            return Err(PolicyErrorKind::DuplicateName(name).at(at));
        }
        self.expect("=")?;
        let expression = self.expression()?;
        self.expect(";")?;
        Ok(Some(Assignment {
            name,
            at,
            expression,
        }))
    }

    /// Parses a part with `read`, one level deeper, and fails if the maximum depth is exceeded.
    fn nested<T>(
        &mut self,
        read: impl FnOnce(&mut Self) -> Result<T, PolicyError>,
    ) -> Result<T, PolicyError> {
        let at = self.at();
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            return Err(PolicyErrorKind::NestedTooDeep.at(at));
        }
        let result = read(self)?;
        self.depth -= 1;
        Ok(result)
    }

    fn expression(&mut self) -> Result<Expr, PolicyError> {
        self.nested(|parser| {
            let at = parser.at();
            if parser.take_if("if") {
                let node = parser.conditional()?;
                return Ok(Expr { at, node });
            }
            parser.binary(0)
        })
    }

    /// Parses the part of a conditional after `if`.
    fn conditional(&mut self) -> Result<Node, PolicyError> {
        let condition = self.expression()?;
        self.expect("then")?;
        let when_true = self.expression()?;
        self.expect("else")?;
        let when_false = self.expression()?;
        Ok(Node::If(Box::new(Conditional {
            condition,
            when_true,
            when_false,
        })))
    }

    /// Parses binary operators of one precedence, which are left-associative.
    fn binary(&mut self, precedence: usize) -> Result<Expr, PolicyError> {
        let Some(operators) = PRECEDENCE.get(precedence) else {
            return self.operand();
        };
        let mut left = self.binary(precedence + 1)?;
        while let Some((_, operator)) = operators.iter().find(|(symbol, _)| self.is_next(symbol)) {
            let at = self.at();
            self.binary_operators += 1;
            if self.binary_operators > MAX_BINARY_OPERATORS {
                return Err(PolicyErrorKind::TooManyOperators.at(at));
            }
            self.take();
            let right = self.binary(precedence + 1)?;
            let node = Node::Binary(*operator, Box::new(left), Box::new(right));
            left = Expr { at, node };
        }
        Ok(left)
    }

    fn operand(&mut self) -> Result<Expr, PolicyError> {
        self.nested(|parser| {
            let at = parser.at();
            let node = match parser.take() {
                Token::Number(number) => Node::Literal(Value::Number(number)),
                Token::Text(text) => Node::Literal(Value::Text(text)),
                Token::Symbol("-") => Node::Negate(Box::new(parser.operand()?)),
                Token::Symbol("(") => {
                    let inner = parser.expression()?;
                    parser.expect(")")?;
                    inner.node
                }
                Token::Identifier(name) => parser.identifier(name, at)?,
                _ => return Err(PolicyErrorKind::ExpectedValue.at(at)),
            };
            Ok(Expr { at, node })
        })
    }

    /// Parses the operand that begins with the identifier `name`: a literal, a negation, a
    /// function call, or a name.
    fn identifier(&mut self, name: String, at: SourcePosition) -> Result<Node, PolicyError> {
        Ok(match name.as_str() {
            "true" => Node::Literal(Value::Boolean(true)),
            "false" => Node::Literal(Value::Boolean(false)),
            "not" => Node::Not(Box::new(self.operand()?)),
            "min" => Node::Call(Box::new(Call::Min(self.arguments(at)?))),
            "max" => Node::Call(Box::new(Call::Max(self.arguments(at)?))),
            "clamp" => Node::Call(Box::new(Call::Clamp(self.arguments(at)?))),
            _ => Node::Name(name),
        })
    }

    fn arguments<const COUNT: usize>(
        &mut self,
        at: SourcePosition,
    ) -> Result<[Expr; COUNT], PolicyError> {
        self.expect("(")?;
        let mut arguments = vec![self.expression()?];
        while self.take_if(",") {
            arguments.push(self.expression()?);
        }
        self.expect(")")?;
        arguments.try_into().map_err(|arguments: Vec<Expr>| {
            let given = arguments.len();
            let needed = COUNT;
            PolicyErrorKind::ArgumentCount { needed, given }.at(at)
        })
    }
}
