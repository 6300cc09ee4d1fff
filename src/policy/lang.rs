//! The language of operators' policies: expressions over named values, typed, total
//! and without loops. What a checked expression gives is known to lie in its range
//! before anything runs.

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
    fn name(self) -> &'static str {
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

const MOST_BYTES: usize = 64 * 1024;
/// Guards against an expression so deep that reading it overflows the stack.
const MOST_DEPTH: usize = 64;
/// The same for a long row of sums or products.
const MOST_PAIRS: usize = 300;

#[derive(Debug, Clone, PartialEq)]
enum FencingToken {
    Number(f64),
    Text(String),
    Name(String),
    Sign(&'static str),
    End,
}

const SIGNS: [&str; 16] = [
    "<=", ">=", "==", "!=", "<", ">", "=", "+", "-", "*", "/", "(", ")", ",", ";", "!",
];

fn tokens(text: &str) -> Result<Vec<(FencingToken, SourcePosition)>, PolicyError> {
    let mut out = Vec::new();
    for (n, line) in text.lines().enumerate() {
        let mut rest = line;
        while let Some(c) = rest.chars().next() {
            let column = 1 + line[..line.len() - rest.len()].chars().count();
            let at = SourcePosition {
                line: n + 1,
                column,
            };
            let run = |more: fn(char) -> bool| rest.find(|c| !more(c)).unwrap_or(rest.len());
            let (token, len) = if c == '#' {
                break;
            } else if c.is_whitespace() {
                rest = &rest[c.len_utf8()..];
                continue;
            } else if c.is_ascii_digit() {
                let len = run(|c| c.is_ascii_digit() || c == '.');
                match rest[..len].parse() {
                    Ok(v) => (FencingToken::Number(v), len),
                    Err(_) => return fail(at, format!("{} is no number", &rest[..len]), ""),
                }
            } else if c.is_ascii_alphabetic() || c == '_' {
                let len = run(|c| c.is_ascii_alphanumeric() || c == '_');
                (FencingToken::Name(rest[..len].into()), len)
            } else if c == '"' {
                match rest[1..].find('"') {
                    Some(end) => (FencingToken::Text(rest[1..=end].into()), end + 2),
                    None => return fail(at, "a text has no end", "close it with \" on its line"),
                }
            } else if let Some(sign) = SIGNS.iter().find(|s| rest.starts_with(**s)) {
                (FencingToken::Sign(sign), sign.len())
            } else {
                return fail(at, format!("{c:?} means nothing here"), "");
            };
            out.push((token, at));
            rest = &rest[len..];
        }
    }
    let line = text.lines().count().max(1);
    out.push((FencingToken::End, SourcePosition { line, column: 1 }));
    Ok(out)
}

struct Reader {
    tokens: Vec<(FencingToken, SourcePosition)>,
    next: usize,
    depth: usize,
    pairs: usize,
}

/// Reads a whole file.
pub fn parse(text: &str) -> Result<Settings, PolicyError> {
    let start = SourcePosition { line: 1, column: 1 };
    if text.len() > MOST_BYTES {
        return fail(start, "the file is over 64 KiB", "");
    }
    let mut r = Reader {
        tokens: tokens(text)?,
        next: 0,
        depth: 0,
        pairs: 0,
    };
    let mut settings: Settings = Vec::new();
    loop {
        let at = r.at();
        let name = match r.take() {
            FencingToken::End => return Ok(settings),
            FencingToken::Name(name) => name,
            _ => return fail(at, "a setting's name is missing", "NAME = EXPRESSION;"),
        };
        if settings.iter().any(|(n, ..)| *n == name) {
            return fail(at, format!("{name} is set twice"), "");
        }
        r.expect("=")?;
        let expr = r.expr()?;
        r.expect(";")?;
        settings.push((name, at, expr));
    }
}

impl Reader {
    fn at(&self) -> SourcePosition {
        self.tokens[self.next].1
    }

    fn take(&mut self) -> FencingToken {
        let token = self.tokens[self.next].0.clone();
        self.next = (self.next + 1).min(self.tokens.len() - 1);
        token
    }

    fn is(&self, sign: &str) -> bool {
        match &self.tokens[self.next].0 {
            FencingToken::Sign(s) => *s == sign,
            FencingToken::Name(n) => n == sign,
            _ => false,
        }
    }

    fn eat(&mut self, sign: &str) -> bool {
        let found = self.is(sign);
        if found {
            self.take();
        }
        found
    }

    fn expect(&mut self, sign: &str) -> Result<(), PolicyError> {
        let at = self.at();
        if self.eat(sign) {
            return Ok(());
        }
        fail(at, format!("{sign} is missing here"), "")
    }

    fn expr(&mut self) -> Result<Expr, PolicyError> {
        let at = self.at();
        self.depth += 1;
        if self.depth > MOST_DEPTH {
            return fail(at, "this is nested too deep", "");
        }
        let expr = if self.eat("if") {
            let cond = self.expr()?;
            self.expect("then")?;
            let yes = self.expr()?;
            self.expect("else")?;
            let no = self.expr()?;
            Expr {
                at,
                node: Node::If(Box::new(cond), Box::new(yes), Box::new(no)),
            }
        } else {
            self.pairs(0)?
        };
        self.depth -= 1;
        Ok(expr)
    }

    fn pairs(&mut self, level: usize) -> Result<Expr, PolicyError> {
        const LEVELS: [&[(&str, Op)]; 5] = [
            &[("or", Op::Or)],
            &[("and", Op::And)],
            &[
                ("<=", Op::LessOrSame),
                (">=", Op::MoreOrSame),
                ("==", Op::Same),
                ("!=", Op::Other),
                ("<", Op::Less),
                (">", Op::More),
            ],
            &[("+", Op::Plus), ("-", Op::Minus)],
            &[("*", Op::Times), ("/", Op::Over)],
        ];
        let Some(ops) = LEVELS.get(level) else {
            return self.single();
        };
        let mut left = self.pairs(level + 1)?;
        while let Some((_, op)) = ops.iter().find(|(sign, _)| self.is(sign)) {
            let at = self.at();
            self.pairs += 1;
            if self.pairs > MOST_PAIRS {
                return fail(at, "the settings are too long", "");
            }
            self.take();
            let right = self.pairs(level + 1)?;
            left = Expr {
                at,
                node: Node::Pair(*op, Box::new(left), Box::new(right)),
            };
        }
        Ok(left)
    }

    fn single(&mut self) -> Result<Expr, PolicyError> {
        let at = self.at();
        self.depth += 1;
        if self.depth > MOST_DEPTH {
            return fail(at, "this is nested too deep", "");
        }
        let node = match self.take() {
            FencingToken::Number(v) => Node::Value(Value::Number(v)),
            FencingToken::Text(t) => Node::Value(Value::Text(t)),
            FencingToken::Sign("-") => Node::Negative(Box::new(self.single()?)),
            FencingToken::Sign("(") => {
                let inner = self.expr()?;
                self.expect(")")?;
                inner.node
            }
            FencingToken::Name(n) => match n.as_str() {
                "true" => Node::Value(Value::Truth(true)),
                "false" => Node::Value(Value::Truth(false)),
                "not" => Node::Not(Box::new(self.single()?)),
                "min" => Node::Call(Call::Min, self.arguments(at, 2)?),
                "max" => Node::Call(Call::Max, self.arguments(at, 2)?),
                "clamp" => Node::Call(Call::Clamp, self.arguments(at, 3)?),
                _ => Node::Name(n),
            },
            _ => return fail(at, "a value is missing here", ""),
        };
        self.depth -= 1;
        Ok(Expr { at, node })
    }

    fn arguments(&mut self, at: SourcePosition, wanted: usize) -> Result<Vec<Expr>, PolicyError> {
        self.expect("(")?;
        let mut all = vec![self.expr()?];
        while self.eat(",") {
            all.push(self.expr()?);
        }
        self.expect(")")?;
        if all.len() != wanted {
            let why = format!("{wanted} arguments are needed, not {}", all.len());
            return fail(at, why, "");
        }
        Ok(all)
    }
}

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
    fn of(self, v: &[f64]) -> f64 {
        match self {
            Call::Min => v[0].min(v[1]),
            Call::Max => v[0].max(v[1]),
            Call::Clamp => v[0].max(v[1]).min(v[2]),
        }
    }
}

fn arithmetic(op: Op, a: f64, b: f64) -> f64 {
    match op {
        Op::Plus => a + b,
        Op::Minus => a - b,
        Op::Times => a * b,
        _ => a / b,
    }
}

fn spread(ends: &[f64]) -> Kind {
    let fold = |f: fn(f64, f64) -> f64, from| ends.iter().copied().fold(from, f);
    Kind::Number(
        fold(f64::min, f64::INFINITY),
        fold(f64::max, f64::NEG_INFINITY),
    )
}

/// A hint for a name that is not known.
pub fn nearest(name: &str, known: impl Iterator<Item = &'static str>) -> String {
    let mut known: Vec<&str> = known.collect();
    known.sort_by(|a, b| strsim::jaro(name, b).total_cmp(&strsim::jaro(name, a)));
    match known.first() {
        Some(best) if strsim::jaro(name, best) > 0.75 => format!("did you mean {best}?"),
        _ => format!("known are {}", known.join(", ")),
    }
}
