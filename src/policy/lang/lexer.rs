//! Lexer: splits the text of a policy into tokens. White space and comments separate tokens
//! and are dropped.

use super::{PolicyError, PolicyErrorKind, SourcePosition};

#[derive(Debug, Clone, PartialEq)]
pub(super) enum Token {
    Number(f64),
    Text(String),
    /// A name or a keyword; the parser distinguishes them.
    Identifier(String),
    Symbol(&'static str),
    End,
}

/// Token with its position in the text.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct PositionedToken {
    pub(super) token: Token,
    pub(super) at: SourcePosition,
}

/// Operators and punctuation. A longer symbol precedes the symbols that are its prefix, because
/// the first match is used.
const SYMBOLS: [&str; 16] = [
    "<=", ">=", "==", "!=", "<", ">", "=", "+", "-", "*", "/", "(", ")", ",", ";", "!",
];
const COMMENT: char = '#';
const QUOTE: char = '"';

/// Returns all tokens of a text. The last token is always [`Token::End`].
pub(super) fn tokenize(text: &str) -> Result<Vec<PositionedToken>, PolicyError> {
    let mut tokens = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let mut rest = line.trim_start();
        while let Some(first) = rest.chars().next().filter(|first| *first != COMMENT) {
            let at = SourcePosition {
                line: index + 1,
                column: 1 + line[..line.len() - rest.len()].chars().count(),
            };
            let (token, length) = first_token(first, rest).map_err(|kind| kind.at(at))?;
            tokens.push(PositionedToken { token, at });
            rest = rest[length..].trim_start();
        }
    }
    let line = text.lines().count().max(1);
    tokens.push(PositionedToken {
        token: Token::End,
        at: SourcePosition { line, column: 1 },
    });
    Ok(tokens)
}

/// Returns the token at the start of `rest`, and its length in bytes. `first` is the first
/// character of `rest`.
fn first_token(first: char, rest: &str) -> Result<(Token, usize), PolicyErrorKind> {
    if first.is_ascii_digit() {
        let digits = longest_prefix(rest, |character| {
            character.is_ascii_digit() || character == '.'
        });
        return match digits.parse() {
            Ok(number) => Ok((Token::Number(number), digits.len())),
            Err(_) => Err(PolicyErrorKind::InvalidNumber(digits.to_owned())),
        };
    }
    if first.is_ascii_alphabetic() || first == '_' {
        let name = longest_prefix(rest, |character| {
            character.is_ascii_alphanumeric() || character == '_'
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
    match SYMBOLS.iter().find(|symbol| rest.starts_with(**symbol)) {
        Some(symbol) => Ok((Token::Symbol(symbol), symbol.len())),
        None => Err(PolicyErrorKind::UnknownCharacter(first)),
    }
}

/// Returns the longest prefix of a text whose characters are all included.
fn longest_prefix(text: &str, is_included: fn(char) -> bool) -> &str {
    let end = text
        .find(|character| !is_included(character))
        .unwrap_or(text.len());
    &text[..end]
}
