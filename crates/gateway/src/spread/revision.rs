//! Revisions of a store that may come back from a copy.

use serde::Deserialize;
use serde::Serialize;

/// Number of the store's present life: it rises each time that the store comes back from a copy.
pub type Generation = u64;

/// Revision of the store; it grows with each change. All of a later generation are later.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Generation of the store.
    pub generation: Generation,
    /// Number within it.
    pub number: u64,
}

/// What a reading of all that is published is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// It holds all that is published.
    Whole,
    /// It is the first since the store came back from a copy, and lacks what was written since that was made.
    Restored,
}
