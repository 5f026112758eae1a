//! A secret that is redacted in logs.

use std::fmt::Debug;
use std::fmt::Formatter;

use serde::Deserialize;
use serde::Serialize;

/// Smallest length of a token, in characters.
pub(crate) const MIN_TOKEN_CHARACTERS: usize = 16;

/// Token that authenticates operators; its `Debug` output is redacted.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Token(String);

impl Token {
    /// Creates a token without checking its length.
    #[must_use]
    pub fn new(text: impl Into<String>) -> Token {
        Token(text.into())
    }

    /// Returns the secret in plain text.
    #[must_use]
    pub fn secret(&self) -> &str {
        &self.0
    }
}

impl Debug for Token {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("Token(..)")
    }
}
