//! The check of the operators' token.

use std::hint::black_box;

use auburnline_core::hash::Digest;
use auburnline_core::hash::digest;
use http::HeaderMap;
use http::header::AUTHORIZATION;

/// Scheme of the header's value.
const SCHEME: &str = "Bearer ";

/// Keeps the token's digest only.
#[derive(Clone)]
pub(crate) struct Token(Digest);

impl Token {
    pub(crate) fn new(secret: &str) -> Token {
        Token(digest(secret.as_bytes()))
    }

    /// Returns whether exactly one header carries the token.
    pub(crate) fn agrees(&self, headers: &HeaderMap) -> bool {
        let mut values = headers.get_all(AUTHORIZATION).iter();
        let (Some(value), None) = (values.next(), values.next()) else {
            return false;
        };
        value
            .to_str()
            .ok()
            .and_then(|text| text.strip_prefix(SCHEME))
            .is_some_and(|secret| same(&self.0, &digest(secret.as_bytes())))
    }
}

/// Compares in a time that depends on neither value; digests have one length.
fn same(a: &str, b: &str) -> bool {
    let difference = a
        .bytes()
        .zip(b.bytes())
        .fold(0, |sum, (a, b)| black_box(sum | (a ^ b)));
    difference == 0 && a.len() == b.len()
}
