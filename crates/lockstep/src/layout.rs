//! Layouts: the experts of a group by layer and rank, where ranks may leave places empty.

use std::time::Duration;

use auburnline_core::id::Expert;
use auburnline_core::id::Rank;
use serde::Deserialize;
use serde::Serialize;

use crate::rank::Version;
use crate::to_f64;

/// Most cells of an initial map that is built from a message: well over 58 layers of 256 experts, and a bound on the
/// memory that a malformed message can request.
const MAX_CELLS: usize = 1 << 16;

/// Expert dimensions of a model and limits of its ranks, as published.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shape {
    /// Number of layers whose experts are placed independently.
    pub layers: usize,
    /// Number of experts in each layer.
    pub experts: usize,
    /// Largest number of experts that a rank holds in a layer.
    pub places: usize,
    /// Largest number of experts of a layer that one change may add to a rank.
    pub most_new: usize,
    /// Time that a rank takes to copy one expert.
    pub copy: Duration,
}

/// Experts held, by layer and rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Layout(pub Vec<Vec<Vec<Expert>>>);

impl Layout {
    /// Returns the layout with which a group forms: experts are assigned to ranks round-robin.
    #[must_use]
    pub fn initial(shape: &Shape, ranks: Rank) -> Layout {
        Layout::round_robin(shape.layers, shape.experts, ranks)
    }

    fn round_robin(layers: usize, experts: usize, ranks: Rank) -> Layout {
        let ranks = usize::from(ranks.max(1));
        let mut layer = vec![Vec::new(); ranks];
        for expert in 0..experts {
            layer[expert % ranks].push(Expert::try_from(expert).unwrap_or(Expert::MAX));
        }
        Layout(vec![layer; layers])
    }

    /// Returns the load of the most loaded rank over the mean under `shares` by layer, averaged over the layers.
    #[must_use]
    pub fn skew(&self, shares: &[Vec<f64>]) -> f64 {
        let skews = self
            .0
            .iter()
            .zip(shares)
            .map(|(layer, shares)| layer_skew(layer, shares));
        skews.sum::<f64>() / to_f64(self.0.len().max(1))
    }

    /// Returns a hash that is the same in all processes.
    fn fingerprint(&self) -> u64 {
        let ranks = self.0.iter().flatten();
        ranks.fold(0, |hash, held| {
            let bytes: Vec<u8> = held
                .iter()
                .flat_map(|expert| expert.to_le_bytes())
                .collect();
            auburnline_core::hash::stable(hash, &bytes)
        })
    }

    /// Returns the approximate size of the encoded layout.
    #[must_use]
    pub(crate) fn encoded_bytes(&self) -> usize {
        let ranks = self.0.iter().flatten();
        ranks.map(|held| 1 + 2 * held.len()).sum()
    }
}

/// Difference of one rank in one layer between two layouts.
///
/// A copied expert takes about seven bytes, so that a change of a large group fits into one packet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// Index of the layer.
    pub layer: u16,
    /// Rank whose experts differ.
    pub rank: Rank,
    /// Experts that it no longer holds.
    pub dropped: Vec<Expert>,
    /// Experts that it holds from then on.
    pub added: Vec<Expert>,
}

impl Cell {
    fn between(layer: u16, rank: Rank, before: &[Expert], after: &[Expert]) -> Cell {
        let missing_in = |from: &[Expert], other: &[Expert]| {
            let missing = from.iter().filter(|expert| !other.contains(expert));
            missing.copied().collect()
        };
        Cell {
            layer,
            rank,
            dropped: missing_in(before, after),
            added: missing_in(after, before),
        }
    }

    /// Applies the difference to the experts that a rank holds. The result is sorted, as in every planned layout.
    fn apply(self, held: &mut Vec<Expert>) {
        held.retain(|expert| !self.dropped.contains(expert));
        held.extend(self.added);
        held.sort_unstable();
        held.dedup();
    }
}

/// A layout as it is sent to a rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Update {
    /// The full layout.
    Full(Layout),
    /// Differences to a map that the receiver knows.
    Delta(Delta),
}

/// Map that a delta is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Base {
    /// The map with which a group forms. It follows from these dimensions, so it is never sent.
    Initial {
        /// Number of layers.
        layers: u16,
        /// Number of experts in each layer.
        experts: u16,
        /// Number of ranks.
        ranks: Rank,
    },
    /// The map of this version, which the receiver was sent.
    Sent(Version),
}

impl Base {
    fn of(version: Version, layout: &Layout) -> Base {
        if version != 0 {
            return Base::Sent(version);
        }
        let layer = layout.0.first();
        let ranks = layer.map_or(0, Vec::len);
        let experts: usize = layer.into_iter().flatten().map(Vec::len).sum();
        Base::Initial {
            layers: u16::try_from(layout.0.len()).unwrap_or(u16::MAX),
            experts: u16::try_from(experts).unwrap_or(u16::MAX),
            ranks: Rank::try_from(ranks).unwrap_or(Rank::MAX),
        }
    }

    /// Returns the map; none if it is not among `known`, or exceeds the size limit.
    fn layout(self, known: &[(Version, Layout)]) -> Option<Layout> {
        match self {
            Base::Initial {
                layers,
                experts,
                ranks,
            } => {
                let (layers, experts) = (usize::from(layers), usize::from(experts));
                let cells = layers * experts.max(usize::from(ranks));
                (cells <= MAX_CELLS).then(|| Layout::round_robin(layers, experts, ranks))
            }
            Base::Sent(version) => {
                let (_, layout) = known.iter().find(|(known, _)| *known == version)?;
                Some(layout.clone())
            }
        }
    }
}

/// A layout as differences to a map that its receiver knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Delta {
    /// Map that the differences apply to.
    pub base: Base,
    /// Differences by layer and rank.
    pub cells: Vec<Cell>,
    /// Hash of the resulting layout. Ranks do not compare their maps, so a wrong base would go unnoticed without it.
    pub hash: u64,
}

impl Update {
    /// Returns the delta from `before`, the map of version `base`, to `layout`.
    #[must_use]
    pub fn delta(base: Version, before: &Layout, layout: &Layout) -> Update {
        let mut cells = Vec::new();
        for (layer, (ranks, old)) in (0..).zip(layout.0.iter().zip(&before.0)) {
            for (rank, (held, had)) in (0..).zip(ranks.iter().zip(old)) {
                if held != had {
                    cells.push(Cell::between(layer, rank, had, held));
                }
            }
        }
        Update::Delta(Delta {
            base: Base::of(base, before),
            cells,
            hash: layout.fingerprint(),
        })
    }

    /// Returns the map that a delta is based on; none for a full layout.
    #[must_use]
    pub const fn base(&self) -> Option<Base> {
        match self {
            Update::Full(_) => None,
            Update::Delta(delta) => Some(delta.base),
        }
    }

    /// Returns the layout; none if its base is not among `known`, a rank or layer does not exist there, or the hash of
    /// the result does not match.
    #[must_use]
    pub fn resolve(self, known: &[(Version, Layout)]) -> Option<Layout> {
        let delta = match self {
            Update::Full(layout) => return Some(layout),
            Update::Delta(delta) => delta,
        };
        let mut layout = delta.base.layout(known)?;
        for cell in delta.cells {
            let ranks = layout.0.get_mut(usize::from(cell.layer))?;
            let held = ranks.get_mut(usize::from(cell.rank))?;
            cell.apply(held);
        }
        (layout.fingerprint() == delta.hash).then_some(layout)
    }
}

fn layer_skew(layer: &[Vec<Expert>], shares: &[f64]) -> f64 {
    let mut copies = vec![0_u32; shares.len()];
    for expert in layer.iter().flatten() {
        copies[usize::from(*expert)] += 1;
    }
    let part = |expert: &Expert| {
        let expert = usize::from(*expert);
        shares[expert] / f64::from(copies[expert])
    };
    let loads = layer.iter().map(|held| held.iter().map(part).sum::<f64>());
    let slowest = loads.fold(0.0, f64::max);
    let sum: f64 = shares.iter().sum();
    slowest * to_f64(layer.len()) / sum.max(f64::EPSILON)
}
