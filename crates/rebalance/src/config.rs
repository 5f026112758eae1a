//! Settings of a planner, with defaults for groups of 64 ranks.

use std::time::Duration;

/// Settings of a planner; [`Builder`] describes each of them.
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
    /// Returns a builder that starts from the defaults.
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
        /// Size of the weights of one expert of one layer, in bytes.
        expert_bytes: u64,
        /// Time over which a change of map must pay for itself.
        horizon: Duration,
        /// Time ahead of now for which popularity is forecast to weigh a change.
        lead: Duration,
        /// Time ahead of now at which a change should still help; the search prefers such changes.
        long_lead: Duration,
        /// Maximum age of a report on arrival, and of the newest report when a change is planned.
        max_age: Duration,
        /// Number of reports needed before the first change.
        warm_up: u32,
        /// Minimum time between two changes.
        cooldown: Duration,
        /// Factor by which the predicted gain must exceed the costs.
        margin: f64,
        /// Number of standard errors of the estimate that a layer's gain must reach.
        significance: f64,
        /// Minimum gain of a layer, as a fraction of its mean time.
        min_gain: f64,
        /// Maximum number of swaps and replica changes of one layer in one plan.
        max_changes: usize,
        /// Number of steps that any change of map disrupts.
        steps_per_change: f64,
        /// Number of further steps disrupted for each load on the rank with the most loads.
        steps_per_load: f64,
        /// Maximum number of reports that an estimate averages over.
        averaging_reports: f64,
        /// Slowness (busy time over the usual one) above which a rank is slow.
        slow_threshold: f64,
        /// Slowness below which a slow rank has recovered; below `slow_threshold`.
        recovery_threshold: f64,
        /// Predicted skew with the best relief, above which a slow rank is a reason to drain the group.
        drain_skew: f64,
        /// Time for which a rank must be slow before the group is drained.
        drain_after: Duration,
    }

    /// Returns the settings.
    #[must_use]
    pub fn build(self) -> Config {
        self.0
    }
}
