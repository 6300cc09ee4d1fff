//! From a text to tokens.

use super::{PolicyError, PolicyErrorKind, SourcePosition};

#[derive(Debug, Clone, PartialEq)]
pub(super) enum Token {
    Number(f64),
    Text(String),
    /// A name or a keyword.
    Identifier(String),
    Sign(&'static str),
    End,
}

/// A token, and where it stands.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct PlacedToken {
    pub(super) token: Token,
    pub(super) at: SourcePosition,
}

/// Longer signs stand before those that they begin with.
const SIGNS: [&str; 16] = [
    "<=", ">=", "==", "!=", "<", ">", "=", "+", "-", "*", "/", "(", ")", ",", ";", "!",
];
const COMMENT: char = '#';
const QUOTE: char = '"';

/// All tokens of a text; the last one is its end.
pub(super) fn tokens(text: &str) -> Result<Vec<PlacedToken>, PolicyError> {
    let mut tokens = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let mut rest = line.trim_start();
        while let Some(first) = rest.chars().next().filter(|first| *first != COMMENT) {
            let at = SourcePosition {
                line: index + 1,
                column: 1 + line[..line.len() - rest.len()].chars().count(),
            };
            let (token, length) = token(first, rest).map_err(|kind| kind.at(at))?;
            tokens.push(PlacedToken { token, at });
            rest = rest[length..].trim_start();
        }
    }
    let line = text.lines().count().max(1);
    tokens.push(PlacedToken {
        token: Token::End,
        at: SourcePosition { line, column: 1 },
    });
    Ok(tokens)
}

/// The token at the start of a text, and its length in bytes.
fn token(first: char, rest: &str) -> Result<(Token, usize), PolicyErrorKind> {
    if first.is_ascii_digit() {
        let digits = leading(rest, |letter| letter.is_ascii_digit() || letter == '.');
        return match digits.parse() {
            Ok(number) => Ok((Token::Number(number), digits.len())),
            Err(_) => Err(PolicyErrorKind::InvalidNumber(digits.to_owned())),
        };
    }
    if first.is_ascii_alphabetic() || first == '_' {
        let name = leading(rest, |letter| {
            letter.is_ascii_alphanumeric() || letter == '_'
        });
        return Ok((Token::Identifier(name.to_owned()), name.len()));
    }
    if let Some(after_quote) = rest.strip_prefix(QUOTE) {
        let Some(length) = after_quote.find(QUOTE) else {
            return Err(PolicyErrorKind::UnterminatedText);
        };
        let quotes = 2 * QUOTE.len_utf8();
        return Ok((
            Token::Text(after_quote[..length].to_owned()),
            length + quotes,
        ));
    }
    match SIGNS.iter().find(|sign| rest.starts_with(**sign)) {
        Some(sign) => Ok((Token::Sign(sign), sign.len())),
        None => Err(PolicyErrorKind::UnknownCharacter(first)),
    }
}

/// The longest start of a text whose characters all belong.
fn leading(text: &str, belongs: fn(char) -> bool) -> &str {
    let end = text.find(|letter| !belongs(letter)).unwrap_or(text.len());
    &text[..end]
}
