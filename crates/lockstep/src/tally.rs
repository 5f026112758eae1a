//! Counts of other ranks that a sidecar adds up for the one that leads.
//!
//! In a large group the counts of all ranks are more than the lead's link carries. So some sidecars collect those of a few
//! others, and give the sums on with their own. If one is gone, the lead learns of demand from the other ranks meanwhile.

use crate::sight::Epoch;

/// Counts by layer and expert that wait to go on.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    epoch: Epoch,
    choices: Vec<u32>,
}

impl Tally {
    /// Takes the counts of another rank; those of an earlier epoch, or of another shape, are void.
    pub fn take(&mut self, epoch: Epoch, choices: &[u32]) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.choices.clear();
        }
        if epoch < self.epoch {
            return;
        }
        if self.choices.is_empty() {
            self.choices = choices.to_vec();
        } else {
            add(&mut self.choices, choices);
        }
    }

    /// Adds what was collected to the own choices, if it is of the own epoch.
    pub fn add_to(&mut self, choices: &mut [u32], epoch: Option<Epoch>) {
        let collected = std::mem::take(&mut self.choices);
        if epoch == Some(self.epoch) {
            add(choices, &collected);
        }
    }
}

fn add(to: &mut [u32], choices: &[u32]) {
    if to.len() != choices.len() {
        return;
    }
    for (sum, chosen) in to.iter_mut().zip(choices) {
        *sum = sum.saturating_add(*chosen);
    }
}
