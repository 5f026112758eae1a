//! Layout of experts over the ranks of a group.
//!
//! Each rank has the same number of places in each layer; a place holds one expert's weights. An
//! expert may occupy several places (replicas), and every expert occupies at least one.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Expert;
use crate::id::Generation;
use crate::id::Rank;

/// Experts of one layer in rank order: place `p` of rank `r` is entry `r * places + p`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Layer(pub Vec<Expert>);

/// Assignment of experts to places in all layers of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Map {
    /// Generation, unique within a group and increasing.
    pub generation: Generation,
    /// Number of ranks.
    pub ranks: Rank,
    /// Number of distinct experts in each layer.
    pub experts: Expert,
    /// Layers in model order, all of equal length.
    pub layers: Vec<Layer>,
}

/// Why a map is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// There are no ranks, experts or layers.
    Empty,
    /// A layer's length is 0, no multiple of the ranks or unequal to the first layer's.
    Uneven,
    /// An expert's index is not below [`Map::experts`].
    UnknownExpert,
    /// An expert has no place in a layer.
    MissingExpert,
}

impl Map {
    /// Returns the initial map of a group: experts in index order, repeated from the first until
    /// all places are filled.
    #[must_use]
    pub fn initial(ranks: Rank, experts: Expert, layers: usize, places: usize) -> Map {
        let total = usize::from(ranks) * places;
        let layer: Vec<Expert> = (0..experts).cycle().take(total).collect();
        Map {
            generation: 1,
            ranks,
            experts,
            layers: vec![Layer(layer); layers],
        }
    }

    /// Returns the number of places of each rank in each layer.
    #[must_use]
    pub fn places(&self) -> usize {
        self.layers
            .first()
            .map_or(0, |layer| layer.0.len() / usize::from(self.ranks.max(1)))
    }

    /// Returns the experts that `rank` holds in `layer`.
    #[must_use]
    pub fn hosted(&self, layer: usize, rank: Rank) -> &[Expert] {
        let places = self.places();
        let start = usize::from(rank) * places;
        &self.layers[layer].0[start..start + places]
    }

    /// Checks that the layers have equal shape and that each holds every expert.
    ///
    /// # Errors
    ///
    /// Returns the first defect found.
    pub fn check(&self) -> Result<(), Defect> {
        if self.ranks == 0 || self.experts == 0 || self.layers.is_empty() {
            return Err(Defect::Empty);
        }
        let length = self.layers[0].0.len();
        if length == 0 || !length.is_multiple_of(usize::from(self.ranks)) {
            return Err(Defect::Uneven);
        }
        self.layers
            .iter()
            .try_for_each(|layer| self.check_layer(layer, length))
    }

    fn check_layer(&self, layer: &Layer, length: usize) -> Result<(), Defect> {
        if layer.0.len() != length {
            return Err(Defect::Uneven);
        }
        let mut found = vec![false; usize::from(self.experts)];
        for &expert in &layer.0 {
            let seen = found
                .get_mut(usize::from(expert))
                .ok_or(Defect::UnknownExpert)?;
            *seen = true;
        }
        if found.contains(&false) {
            return Err(Defect::MissingExpert);
        }
        Ok(())
    }
}
