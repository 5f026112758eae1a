//! Revisions of a store that may be restored from a backup.

use serde::Deserialize;
use serde::Serialize;

/// Number that increases each time the store is restored from a backup.
pub type Generation = u64;

/// Revision of the store; it increases with each change. Revisions are ordered by generation first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Generation of the store in which the number was assigned.
    pub generation: Generation,
    /// Number within the generation.
    pub number: u64,
}

/// Completeness of a full read of the published state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FullRead {
    /// It contains everything that is published.
    Complete,
    /// It is the first one after a restore from a backup, and lacks what was written after the
    /// backup was taken.
    Restored,
}
