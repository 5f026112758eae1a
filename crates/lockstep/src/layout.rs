//! Experts of a group by layer and rank, where ranks may leave places empty.

use std::time::Duration;

use auburnline_core::id::Expert;
use auburnline_core::id::Rank;
use serde::Deserialize;
use serde::Serialize;

use crate::sight::Version;
use crate::to_f64;

/// Most cells of a first map that is laid out at another's word: well over 58 layers of 256 experts, and a bound on what
/// a broken message may ask for.
const MOST_CELLS: usize = 1 << 16;

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
        Layout::in_turn(shape.layers, shape.experts, ranks)
    }

    fn in_turn(layers: usize, experts: usize, ranks: Rank) -> Layout {
        let ranks = usize::from(ranks.max(1));
        let mut layer = vec![Vec::new(); ranks];
        for expert in 0..experts {
            layer[expert % ranks].push(Expert::try_from(expert).unwrap_or(Expert::MAX));
        }
        Layout(vec![layer; layers])
    }

    /// Returns the most loaded rank over the mean under `shares` by layer, mean of all layers.
    #[must_use]
    pub fn skew(&self, shares: &[Vec<f64>]) -> f64 {
        let skews = self
            .0
            .iter()
            .zip(shares)
            .map(|(layer, shares)| layer_skew(layer, shares));
        skews.sum::<f64>() / to_f64(self.0.len().max(1))
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

    /// Returns about how many bytes it takes as a message.
    #[must_use]
    pub(crate) fn encoded_bytes(&self) -> usize {
        let ranks = self.0.iter().flatten();
        ranks.map(|held| 1 + 2 * held.len()).sum()
    }
}

/// How the experts of one rank in one layer differ from those of another layout.
///
/// A copied expert takes about seven bytes, so that a change of a large group stays within one packet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// Layer.
    pub layer: u16,
    /// Rank.
    pub rank: Rank,
    /// Experts that it holds no longer.
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

    /// Changes the experts that a rank holds; they are in order then, as in every layout that was planned.
    fn apply(self, held: &mut Vec<Expert>) {
        held.retain(|expert| !self.dropped.contains(expert));
        held.extend(self.added);
        held.sort_unstable();
        held.dedup();
    }
}

/// A layout on its way to a rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Parcel {
    /// All of it.
    Full(Layout),
    /// What differs from another map.
    Delta(Delta),
}

/// Map on which a parcel builds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Base {
    /// The map that a group forms with; everybody can lay it out.
    Initial {
        /// Layers.
        layers: u16,
        /// Experts of each layer.
        experts: u16,
        /// Ranks.
        ranks: Rank,
    },
    /// A map that its receiver was sent.
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

    /// Returns the map; none if it is not among `known`, or larger than any that can be sent.
    fn layout(self, known: &[(Version, Layout)]) -> Option<Layout> {
        match self {
            Base::Initial {
                layers,
                experts,
                ranks,
            } => {
                let (layers, experts) = (usize::from(layers), usize::from(experts));
                let cells = layers * experts.max(usize::from(ranks));
                (cells <= MOST_CELLS).then(|| Layout::in_turn(layers, experts, ranks))
            }
            Base::Sent(version) => {
                let (_, layout) = known.iter().find(|(known, _)| *known == version)?;
                Some(layout.clone())
            }
        }
    }
}

/// A layout by what differs from a map that its receiver knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Delta {
    /// Map that it builds on.
    pub base: Base,
    /// What differs.
    pub cells: Vec<Cell>,
    /// Hash of the layout that must come of it: ranks don't compare their maps, so a wrong base would never show.
    pub hash: u64,
}

impl Parcel {
    /// Returns what turns `before`, the map of version `base`, into `layout`.
    #[must_use]
    pub fn delta(base: Version, before: &Layout, layout: &Layout) -> Parcel {
        let mut cells = Vec::new();
        for (layer, (ranks, old)) in (0..).zip(layout.0.iter().zip(&before.0)) {
            for (rank, (held, had)) in (0..).zip(ranks.iter().zip(old)) {
                if held != had {
                    cells.push(Cell::between(layer, rank, had, held));
                }
            }
        }
        Parcel::Delta(Delta {
            base: Base::of(base, before),
            cells,
            hash: layout.fingerprint(),
        })
    }

    /// Returns the map that it builds on, if it does.
    #[must_use]
    pub const fn base(&self) -> Option<Base> {
        match self {
            Parcel::Full(_) => None,
            Parcel::Delta(changed) => Some(changed.base),
        }
    }

    /// Returns the layout; none if what it builds on is not among `known`.
    #[must_use]
    pub fn open(self, known: &[(Version, Layout)]) -> Option<Layout> {
        let changed = match self {
            Parcel::Full(layout) => return Some(layout),
            Parcel::Delta(changed) => changed,
        };
        let mut layout = changed.base.layout(known)?;
        for cell in changed.cells {
            let ranks = layout.0.get_mut(usize::from(cell.layer))?;
            let held = ranks.get_mut(usize::from(cell.rank))?;
            cell.apply(held);
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
    slowest * to_f64(layer.len()) / sum.max(f64::EPSILON)
}
