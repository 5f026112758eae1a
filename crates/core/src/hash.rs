//! Hashes that are equal in every process.
//!
//! Placement, fingerprints and answer checksums use 64-bit XXH3, seeded by purpose. Published
//! bytes are identified by their SHA-256. The standard library's default hasher is never used where
//! processes must agree.

use std::cmp::Reverse;

use sha2::Digest as _;
use sha2::Sha256;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of rendezvous scores; all processes must use the same value.
const RENDEZVOUS_SEED: u64 = 0x6175_6275_726e_0001;

/// Lower-case hexadecimal SHA-256 of published bytes.
pub type Digest = String;

/// Returns the SHA-256 of `bytes` in lower-case hexadecimal.
#[must_use]
pub fn digest(bytes: &[u8]) -> Digest {
    use std::fmt::Write as _;
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Returns the 64-bit XXH3 of `bytes` under `seed`.
#[must_use]
pub fn stable(seed: u64, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// Incremental XXH3 checksum of an answer's bytes, computed at both ends of a stream.
#[derive(Clone, Default)]
pub struct Checksum(Xxh3);

impl Checksum {
    /// Returns the checksum of no bytes.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the next bytes of the answer.
    pub fn update(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// Returns the checksum of all bytes so far.
    #[must_use]
    pub fn value(&self) -> u64 {
        self.0.digest()
    }
}

impl std::fmt::Debug for Checksum {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Checksum({:016x})", self.value())
    }
}

/// Returns the rendezvous score of `candidate` for `key`; the highest score is preferred.
#[must_use]
pub fn rendezvous(key: &str, candidate: &str) -> u64 {
    let seed = stable(RENDEZVOUS_SEED, key.as_bytes());
    stable(seed, candidate.as_bytes())
}

/// Sorts `candidates` into the rendezvous order of `key`, most preferred first.
pub fn rendezvous_order<T: AsRef<str>>(key: &str, candidates: &mut [T]) {
    candidates.sort_by_cached_key(|name| {
        let score = rendezvous(key, name.as_ref());
        (Reverse(score), name.as_ref().to_owned())
    });
}
