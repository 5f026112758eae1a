//! What gateways learned of the forward passes of a group, as they tell each other.
//!
//! A gateway tells only of passes that it saw itself, with their age, so that nothing circulates
//! and everything ages out. A record is a statement about a moment: one that is lost is replaced by
//! the next, one that arrives twice or late adds nothing new, and one from a process that started
//! again is as good as any other.

use std::time::Duration;

use auburnline_core::time::Monotonic;
use serde::Deserialize;
use serde::Serialize;

/// Identifies a group to all gateways: a hash of its name.
pub type GroupTag = u64;

/// Most records of a message. With a message to six gateways each 0.3 s, they take 2 KB a second,
/// however many groups there are.
pub const MAX_RECORDS: usize = 4;
/// Age from which a record says nothing about the passes of now: about ten passes.
pub const MAX_FACTOR_AGE: Duration = Duration::from_secs(1);
/// Age from which a record says nothing about shifts of demand either: several shifts where they
/// are frequent.
pub const MAX_AGE: Duration = Duration::from_secs(20);
/// Time constant of the mean over gateways: some tens of records, so that the values of all
/// gateways differ little.
const MEAN_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Passes of one group, as one gateway saw them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Group that ran the passes.
    pub group: GroupTag,
    /// Imbalance factor of the newest pass.
    pub factor: f32,
    /// Factor that the group is best filled for; 0 if the sender saw too few passes to tell.
    pub fill: f32,
    /// Age of the newest pass, in milliseconds.
    pub age_ms: u16,
}

impl Record {
    /// Returns the age of the newest pass.
    #[must_use]
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.age_ms.into())
    }

    /// Returns whether its values can be told apart from damage.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let is_factor = |factor: f32| factor.is_finite() && factor >= 0.0;
        is_factor(self.factor) && is_factor(self.fill) && self.age() < MAX_AGE
    }
}

/// Mean of values that gateways tell, weighted by freshness.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mean {
    value: f64,
    weight: f64,
    at: Monotonic,
}

impl Mean {
    /// Adds a value that was current `age` ago.
    pub fn add(&mut self, value: f64, age: Duration, now: Monotonic) {
        let before = self.weight * freshness(now.saturating_sub(self.at));
        let weight = freshness(age);
        self.weight = before + weight;
        if self.weight > 0.0 {
            self.value += (value - self.value) * weight / self.weight;
        }
        self.at = now;
    }

    /// Returns the mean; none if no value was added within [`MAX_AGE`].
    #[must_use]
    pub fn value(&self, now: Monotonic) -> Option<f64> {
        let is_known = self.weight > 0.0 && now.saturating_sub(self.at) < MAX_AGE;
        is_known.then_some(self.value)
    }
}

/// Returns the weight of a value of this age relative to one of now.
fn freshness(age: Duration) -> f64 {
    (-age.as_secs_f64() / MEAN_TIME_CONSTANT.as_secs_f64()).exp()
}
