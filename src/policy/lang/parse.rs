//! Reading a file of settings: from text to tokens, from tokens to expressions.

use super::{Call, Expr, Node, Op, PolicyError, Settings, SourcePosition, Value, fail};

const MOST_BYTES: usize = 64 * 1024;
/// Guards against an expression so deep that reading it overflows the stack.
const MOST_DEPTH: usize = 64;
/// The same for a long row of sums or products.
const MOST_PAIRS: usize = 300;

#[derive(Debug, Clone, PartialEq)]
enum Token {
    Number(f64),
    Text(String),
    Name(String),
    Sign(&'static str),
    End,
}

const SIGNS: [&str; 16] = [
    "<=", ">=", "==", "!=", "<", ">", "=", "+", "-", "*", "/", "(", ")", ",", ";", "!",
];

fn tokens(text: &str) -> Result<Vec<(Token, SourcePosition)>, PolicyError> {
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
                    Ok(v) => (Token::Number(v), len),
                    Err(_) => return fail(at, format!("{} is no number", &rest[..len]), ""),
                }
            } else if c.is_ascii_alphabetic() || c == '_' {
                let len = run(|c| c.is_ascii_alphanumeric() || c == '_');
                (Token::Name(rest[..len].into()), len)
            } else if c == '"' {
                match rest[1..].find('"') {
                    Some(end) => (Token::Text(rest[1..=end].into()), end + 2),
                    None => return fail(at, "a text has no end", "close it with \" on its line"),
                }
            } else if let Some(sign) = SIGNS.iter().find(|s| rest.starts_with(**s)) {
                (Token::Sign(sign), sign.len())
            } else {
                return fail(at, format!("{c:?} means nothing here"), "");
            };
            out.push((token, at));
            rest = &rest[len..];
        }
    }
    let line = text.lines().count().max(1);
    out.push((Token::End, SourcePosition { line, column: 1 }));
    Ok(out)
}

struct Reader {
    tokens: Vec<(Token, SourcePosition)>,
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
            Token::End => return Ok(settings),
            Token::Name(name) => name,
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

    fn take(&mut self) -> Token {
        let token = self.tokens[self.next].0.clone();
        self.next = (self.next + 1).min(self.tokens.len() - 1);
        token
    }

    fn is(&self, sign: &str) -> bool {
        match &self.tokens[self.next].0 {
            Token::Sign(s) => *s == sign,
            Token::Name(n) => n == sign,
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
            Token::Number(v) => Node::Value(Value::Number(v)),
            Token::Text(t) => Node::Value(Value::Text(t)),
            Token::Sign("-") => Node::Negative(Box::new(self.single()?)),
            Token::Sign("(") => {
                let inner = self.expr()?;
                self.expect(")")?;
                inner.node
            }
            Token::Name(n) => match n.as_str() {
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
