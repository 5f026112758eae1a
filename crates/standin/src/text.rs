//! Text that the engine's stand-in generates.
//!
//! Each token follows from the id, the prompt and its index alone, so that a test can tell a whole
//! answer from a cut one, and its own answer from another's.

use auburnline_core::hash::stable;

/// Syllables of the words.
const SYLLABLES: [&str; 16] = [
    "ba", "da", "fi", "ga", "jo", "ka", "li", "ma", "no", "pu", "ra", "se", "ti", "wa", "ya", "zu",
];
/// Syllables in one word.
const LENGTH: usize = 4;

/// Returns token `index` of the answer to `prompt` under `id`.
#[must_use]
pub fn token(id: &str, prompt: &str, index: u32) -> String {
    let seed = stable(stable(0, id.as_bytes()), prompt.as_bytes());
    let hash = stable(seed, &index.to_le_bytes());
    let mut word: String = hash
        .to_le_bytes()
        .iter()
        .take(LENGTH)
        .map(|byte| SYLLABLES[usize::from(byte % 16)])
        .collect();
    word.push(' ');
    word
}

/// Returns the whole answer of `tokens` tokens.
#[must_use]
pub fn answer(id: &str, prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(id, prompt, index)).collect()
}
