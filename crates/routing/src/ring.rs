//! Consistent-hash ring over the units that admit work.
//!
//! Processes that see the same units build the same ring, so entries agree on the owner of a prefix
//! without communication. When a unit is removed, its keys are spread over many others.

use auburnline_core::hash::stable;

/// Points (virtual nodes) per unit.
const POINTS: u64 = 32;
/// Seed of the hash of a unit's name.
const SEED: u64 = 0x6175_6275_726e_0003;

/// A point and the index of its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    hash: u64,
    unit: u32,
}

/// Points of all units, sorted by hash.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    points: Vec<Point>,
}

impl Ring {
    /// Builds the ring of the named units.
    pub(crate) fn new<'a>(units: impl Iterator<Item = (u32, &'a str)>) -> Self {
        let mut points = Vec::new();
        for (unit, name) in units {
            let seed = stable(SEED, name.as_bytes());
            let hashes = (0..POINTS).map(|number| stable(seed, &number.to_le_bytes()));
            points.extend(hashes.map(|hash| Point { hash, unit }));
        }
        points.sort_unstable();
        Ring { points }
    }

    /// Returns the owner of `key` and the units after it; a unit may occur more than once.
    pub(crate) fn successors(&self, key: u64) -> impl Iterator<Item = u32> {
        let start = self.points.partition_point(|point| point.hash < key);
        let (before, after) = self.points.split_at(start);
        after.iter().chain(before).map(|point| point.unit)
    }
}
