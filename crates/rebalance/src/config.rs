//! Settings of the choice of maps, with defaults for groups of 64 ranks.

use std::time::Duration;

/// Settings of a planner.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    pub(crate) expert_bytes: u64,
    pub(crate) horizon: Duration,
    pub(crate) lead: Duration,
    pub(crate) long_lead: Duration,
    pub(crate) max_age: Duration,
    pub(crate) warm_up: u32,
    pub(crate) cooldown: Duration,
    pub(crate) margin: f64,
    pub(crate) significance: f64,
    pub(crate) min_gain: f64,
    pub(crate) max_changes: usize,
    pub(crate) steps_per_change: f64,
    pub(crate) steps_per_load: f64,
    pub(crate) averaging_reports: f64,
    pub(crate) slow_threshold: f64,
    pub(crate) recovery_threshold: f64,
    pub(crate) drain_skew: f64,
    pub(crate) drain_after: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            expert_bytes: 44_040_192,
            horizon: Duration::from_hours(1),
            lead: Duration::from_mins(10),
            long_lead: Duration::from_hours(2),
            max_age: Duration::from_mins(5),
            warm_up: 8,
            cooldown: Duration::from_mins(2),
            margin: 1.5,
            significance: 5.0,
            min_gain: 0.02,
            max_changes: 16,
            steps_per_change: 2.0,
            steps_per_load: 0.5,
            averaging_reports: 24.0,
            slow_threshold: 1.2,
            recovery_threshold: 1.1,
            drain_skew: 1.25,
            drain_after: Duration::from_mins(10),
        }
    }
}

impl Config {
    /// Starts from the defaults.
    #[must_use]
    pub fn builder() -> Builder {
        Builder(Config::default())
    }
}

/// Builder of a [`Config`].
#[derive(Clone, Debug)]
pub struct Builder(Config);

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $kind:ty,)*) => {
        $($(#[$doc])*
        #[must_use]
        pub fn $name(mut self, value: $kind) -> Self {
            self.0.$name = value;
            self
        })*
    };
}

impl Builder {
    setters! {
        /// Weights of one expert of one layer, in bytes.
        expert_bytes: u64,
        /// Time over which a change of map must pay for itself.
        horizon: Duration,
        /// Time ahead of now for which popularity is expected.
        lead: Duration,
        /// Time ahead of now at which a change should still help.
        long_lead: Duration,
        /// Age beyond which reports are not used.
        max_age: Duration,
        /// Reports that are needed before the first change.
        warm_up: u32,
        /// Shortest time between two changes.
        cooldown: Duration,
        /// Factor by which the predicted gain must exceed the costs.
        margin: f64,
        /// Standard errors that a layer's gain must exceed.
        significance: f64,
        /// Least gain of a layer, as a share of its mean time.
        min_gain: f64,
        /// Most moves, swaps and replica changes of one layer in one plan.
        max_changes: usize,
        /// Steps that any change of map disrupts.
        steps_per_change: f64,
        /// Steps disrupted by each load on the rank that loads most.
        steps_per_load: f64,
        /// Reports that an estimate averages over.
        averaging_reports: f64,
        /// Time per token over the other ranks' from which a rank is slow.
        slow_threshold: f64,
        /// Time per token over the other ranks' below which a slow rank is well again.
        recovery_threshold: f64,
        /// Predicted skew from which a slow rank is a reason to drain the group.
        drain_skew: f64,
        /// Time that a rank must be slow before the group drains.
        drain_after: Duration,
    }

    /// Returns the settings.
    #[must_use]
    pub fn build(self) -> Config {
        self.0
    }
}
