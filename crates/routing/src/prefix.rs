//! Keys of a prompt's prefixes.
//!
//! A prompt is cut into blocks. The key of a prefix is the chained hash of its blocks, so that,
//! but for hash collisions, two prompts have a key in common exactly when they are equal up to its
//! depth. Only a few depths have keys, closer together near the start: a decision looks up a
//! bounded number of keys however long the prompt is, and at least half of a shared prefix of up to
//! 64 blocks is recognized.

use auburnline_core::hash::stable;

/// Prompt bytes in a block.
pub const BLOCK_BYTES: usize = 512;
/// Estimated tokens in a block, at four bytes per token.
pub const BLOCK_TOKENS: u64 = 128;

/// Depths, in blocks, at which a prefix has a key.
pub(crate) const DEPTHS: [u16; 12] = [1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64];
/// Seed of the first block's hash.
const SEED: u64 = 0x6175_6275_726e_0002;

/// Keys of the prefixes of one prompt, shallowest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prefix {
    keys: Vec<u64>,
}

impl Prefix {
    /// Returns the prefixes of `prompt`; a last block that is not full is ignored.
    #[must_use]
    pub fn new(prompt: &[u8]) -> Self {
        Self::chain(prompt.chunks_exact(BLOCK_BYTES))
    }

    /// Returns the prefixes of a prompt that is given by the hashes of its blocks.
    #[must_use]
    pub fn from_blocks(hashes: &[u64]) -> Self {
        Self::chain(hashes.iter().map(|hash| hash.to_le_bytes()))
    }

    fn chain<B: AsRef<[u8]>>(blocks: impl Iterator<Item = B>) -> Self {
        let deepest = usize::from(DEPTHS[DEPTHS.len() - 1]);
        let mut keys = Vec::with_capacity(DEPTHS.len());
        let mut key = SEED;
        for (index, block) in blocks.take(deepest).enumerate() {
            key = stable(key, block.as_ref());
            if usize::from(DEPTHS[keys.len()]) == index + 1 {
                keys.push(key);
            }
        }
        Prefix { keys }
    }

    /// Returns the depths in blocks and keys, shallowest first.
    #[must_use]
    pub fn keys(&self) -> impl DoubleEndedIterator<Item = (u16, u64)> + ExactSizeIterator {
        let depths = DEPTHS[..self.keys.len()].iter().copied();
        depths.zip(self.keys.iter().copied())
    }

    /// Whether the prompt is shorter than one block.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
