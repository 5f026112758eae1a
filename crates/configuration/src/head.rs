//! Identity of a configuration, small enough to be sent with every heartbeat and request.

use std::fmt::Display;
use std::fmt::Formatter;

use auburnline_core::hash::Digest;
use auburnline_core::id::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::checked::Checked;

/// Length of a digest in logs.
const LOGGED_DIGEST_CHARS: usize = 12;
/// Minimum length of a digest that can be compared: 16 hexadecimal digits, 64 bits.
pub const MIN_DIGEST_CHARS: usize = 16;

/// Revision and digest of a manifest.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Head {
    /// Revision in the manifest; the higher one wins.
    pub revision: Revision,
    /// Digest of the manifest's bytes in hexadecimal, possibly shortened by [`Head::short`].
    pub digest: Digest,
}

/// Result of comparing a configuration with the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// A higher revision, or no configuration is in force.
    Newer,
    /// The same revision and digest.
    Same,
    /// The same revision with another digest: two operators published it concurrently.
    Conflict,
    /// A lower revision.
    Older,
}

impl Head {
    /// Returns the head of a checked configuration.
    #[must_use]
    pub fn of(checked: &Checked) -> Self {
        Self {
            revision: checked.revision(),
            digest: checked.digest().clone(),
        }
    }

    /// Returns this head with its digest shortened to [`MIN_DIGEST_CHARS`], for heartbeats.
    #[must_use]
    pub fn short(&self) -> Self {
        Self {
            revision: self.revision,
            digest: self.digest.chars().take(MIN_DIGEST_CHARS).collect(),
        }
    }

    /// Compares this head with the one in force, if any.
    #[must_use]
    pub fn compare(&self, in_force: Option<&Head>) -> Comparison {
        let Some(in_force) = in_force else {
            return Comparison::Newer;
        };
        match self.revision.cmp(&in_force.revision) {
            std::cmp::Ordering::Greater => Comparison::Newer,
            std::cmp::Ordering::Less => Comparison::Older,
            std::cmp::Ordering::Equal if digests_match(&self.digest, &in_force.digest) => {
                Comparison::Same
            }
            std::cmp::Ordering::Equal => Comparison::Conflict,
        }
    }
}

/// Returns whether two digests, either of which may be shortened, are of the same bytes.
///
/// A digest shorter than [`MIN_DIGEST_CHARS`] matches none.
#[must_use]
pub fn digests_match(one: &str, other: &str) -> bool {
    let length = one.len().min(other.len());
    length >= MIN_DIGEST_CHARS && one.as_bytes()[..length] == other.as_bytes()[..length]
}

impl Display for Head {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let digest: String = self.digest.chars().take(LOGGED_DIGEST_CHARS).collect();
        write!(f, "{}@{digest}", self.revision)
    }
}
