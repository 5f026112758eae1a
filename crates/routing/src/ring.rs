//! Consistent-hash ring over the units that admit work.
//!
//! Every process that sees the same units builds the same ring, so entries agree on the units for
//! a prefix without a message. When a unit goes, its arcs fall to many others.

use auburnline_core::hash::stable;

/// Points of each unit on the ring.
const POINTS: u64 = 32;
/// Seed of a unit's points.
const SEED: u64 = 0x6175_6275_726e_0003;

/// A point and the index of its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    hash: u64,
    unit: u32,
}

/// Ring of units.
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

    /// Returns the units from the one that owns `key` onwards; a unit may come more than once.
    pub(crate) fn successors(&self, key: u64) -> impl Iterator<Item = u32> {
        let start = self.points.partition_point(|point| point.hash < key);
        let (before, after) = self.points.split_at(start);
        after.iter().chain(before).map(|point| point.unit)
    }
}
