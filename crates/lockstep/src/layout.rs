//! Experts of a group by layer and rank, where ranks may leave places empty.

use std::time::Duration;

use auburnline_core::id::Expert;
use auburnline_core::id::Rank;
use serde::Deserialize;
use serde::Serialize;

use crate::real;
use crate::sight::Version;

/// Published shape of a group's experts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shape {
    /// Layers whose experts are placed by themselves.
    pub layers: usize,
    /// Experts of each layer.
    pub experts: usize,
    /// Most experts that a rank holds in a layer.
    pub places: usize,
    /// Most experts of a layer that one change may bring to a rank.
    pub most_new: usize,
    /// Time that a rank needs to copy one expert.
    pub copy: Duration,
}

/// Experts by layer and rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Layout(pub Vec<Vec<Vec<Expert>>>);

impl Layout {
    /// Returns the layout of a group that just formed: experts to ranks in turn.
    #[must_use]
    pub fn initial(shape: &Shape, ranks: Rank) -> Layout {
        let ranks = usize::from(ranks.max(1));
        let mut layer = vec![Vec::new(); ranks];
        for expert in 0..shape.experts {
            layer[expert % ranks].push(Expert::try_from(expert).unwrap_or(Expert::MAX));
        }
        Layout(vec![layer; shape.layers])
    }

    /// Returns the most loaded rank over the mean under `shares` by layer, mean of all layers.
    #[must_use]
    pub fn skew(&self, shares: &[Vec<f64>]) -> f64 {
        let skews = self
            .0
            .iter()
            .zip(shares)
            .map(|(layer, shares)| layer_skew(layer, shares));
        skews.sum::<f64>() / real(self.0.len().max(1))
    }

    /// Returns a hash that all processes agree on.
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

    /// Returns how many experts each rank gets that it does not hold in `before`, over all layers.
    #[must_use]
    pub fn new_by_rank(&self, before: &Layout) -> Vec<usize> {
        let ranks = self.0.first().map_or(0, Vec::len);
        let mut counts = vec![0; ranks];
        for (layer, old) in self.0.iter().zip(&before.0) {
            for (rank, (held, had)) in layer.iter().zip(old).enumerate() {
                counts[rank] += held.iter().filter(|expert| !had.contains(expert)).count();
            }
        }
        counts
    }
}

/// Experts of one rank in one layer, where they differ from those of another layout.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// Layer.
    pub layer: u16,
    /// Rank.
    pub rank: Rank,
    /// Experts that it holds.
    pub held: Vec<Expert>,
}

/// A layout on its way to a rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Parcel {
    /// All of it.
    Whole(Layout),
    /// What differs from another map.
    Changed(Changed),
}

/// A layout by what differs from a map that its receiver knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Changed {
    /// Version of that map.
    pub base: Version,
    /// What differs.
    pub cells: Vec<Cell>,
    /// Hash of the layout that must come of it: ranks don't compare their maps, so a wrong base would never show.
    pub hash: u64,
}

impl Parcel {
    /// Returns what turns `base` into `layout`.
    #[must_use]
    pub fn changed(base: Version, before: &Layout, layout: &Layout) -> Parcel {
        let mut cells = Vec::new();
        for (layer, (ranks, old)) in (0..).zip(layout.0.iter().zip(&before.0)) {
            for (rank, (held, had)) in (0..).zip(ranks.iter().zip(old)) {
                if held != had {
                    let held = held.clone();
                    cells.push(Cell { layer, rank, held });
                }
            }
        }
        let hash = layout.fingerprint();
        Parcel::Changed(Changed { base, cells, hash })
    }

    /// Returns the version that it builds on, if it does.
    #[must_use]
    pub const fn base(&self) -> Option<Version> {
        match self {
            Parcel::Whole(_) => None,
            Parcel::Changed(changed) => Some(changed.base),
        }
    }

    /// Returns the layout; none if what it builds on is not among `known`.
    #[must_use]
    pub fn open(self, known: &[(Version, Layout)]) -> Option<Layout> {
        let changed = match self {
            Parcel::Whole(layout) => return Some(layout),
            Parcel::Changed(changed) => changed,
        };
        let (_, before) = known.iter().find(|(version, _)| *version == changed.base)?;
        let mut layout = before.clone();
        for cell in changed.cells {
            let ranks = layout.0.get_mut(usize::from(cell.layer))?;
            *ranks.get_mut(usize::from(cell.rank))? = cell.held;
        }
        (layout.fingerprint() == changed.hash).then_some(layout)
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
    slowest * real(layer.len()) / sum.max(f64::EPSILON)
}
