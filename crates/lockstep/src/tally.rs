//! Aggregation of the expert counts of several ranks for the leader.
//!
//! In a large group the counts of all ranks exceed the leader's link. So some sidecars sum the counts of a few
//! others and send the sums with their own. While such an aggregator is gone, the leader learns of demand from the
//! remaining ranks.

use crate::rank::Epoch;

/// Summed counts, by layer and expert, that were not sent on yet.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    epoch: Epoch,
    activations: Vec<u32>,
}

impl Tally {
    /// Adds the counts of another rank; those of an earlier epoch, or of another length, are ignored.
    pub fn add(&mut self, epoch: Epoch, activations: &[u32]) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.activations.clear();
        }
        if epoch < self.epoch {
            return;
        }
        if self.activations.is_empty() {
            self.activations = activations.to_vec();
        } else {
            add(&mut self.activations, activations);
        }
    }

    /// Adds the sums to `activations` of the own rank if they are of its `epoch`, and clears them.
    pub fn add_to(&mut self, activations: &mut [u32], epoch: Option<Epoch>) {
        let sums = std::mem::take(&mut self.activations);
        if epoch == Some(self.epoch) {
            add(activations, &sums);
        }
    }
}

fn add(to: &mut [u32], activations: &[u32]) {
    if to.len() != activations.len() {
        return;
    }
    for (sum, count) in to.iter_mut().zip(activations) {
        *sum = sum.saturating_add(*count);
    }
}
