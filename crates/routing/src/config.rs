//! Settings of a router, all with defaults.

use std::time::Duration;

use auburnline_core::id::FailureDomainId;

/// Settings of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    pub(crate) failure_domain: FailureDomainId,
    pub(crate) load_bound: f64,
    pub(crate) random_choices: usize,
    pub(crate) tokens_per_step: f64,
    pub(crate) backlog_weight: f64,
    pub(crate) ring_hit_percent: u64,
    pub(crate) cross_domain_latency: Duration,
    pub(crate) step_time: Duration,
    pub(crate) report_half_life: Duration,
    pub(crate) step_time_half_life: Duration,
    pub(crate) max_report_age: Duration,
    pub(crate) max_hint_age: Duration,
}

impl Config {
    /// Returns a builder with the defaults, for a process in `failure_domain`.
    #[must_use]
    pub fn builder(failure_domain: FailureDomainId) -> Builder {
        Builder(Config {
            failure_domain,
            load_bound: 2.0,
            random_choices: 2,
            tokens_per_step: 2048.0,
            backlog_weight: 0.05,
            ring_hit_percent: 50,
            cross_domain_latency: Duration::from_millis(2),
            step_time: Duration::from_millis(20),
            report_half_life: Duration::from_millis(100),
            step_time_half_life: Duration::from_secs(10),
            max_report_age: Duration::from_secs(10),
            max_hint_age: Duration::from_mins(1),
        })
    }
}

/// Builder of a [`Config`].
#[derive(Clone, Debug)]
pub struct Builder(Config);

impl Builder {
    /// Sets how far above the mean load a unit may be and still be chosen for its cache.
    ///
    /// Values below 1.0 are taken as 1.0.
    #[must_use]
    pub fn load_bound(mut self, factor: f64) -> Self {
        self.0.load_bound = factor.max(1.0);
        self
    }

    /// Sets how many units are drawn at random for each decision, at least one.
    #[must_use]
    pub fn random_choices(mut self, count: usize) -> Self {
        self.0.random_choices = count.clamp(1, crate::candidate::MAX_DRAWN);
        self
    }

    /// Sets the prompt tokens that a unit prefills in a step.
    #[must_use]
    pub fn tokens_per_step(mut self, tokens: f64) -> Self {
        self.0.tokens_per_step = tokens.max(1.0);
        self
    }

    /// Sets the cost of a token of backlog against a token to prefill.
    #[must_use]
    pub fn backlog_weight(mut self, weight: f64) -> Self {
        self.0.backlog_weight = weight.max(0.0);
        self
    }

    /// Sets the share of a prefix that the unit which the ring names is taken to cache.
    #[must_use]
    pub fn ring_hit_percent(mut self, percent: u64) -> Self {
        self.0.ring_hit_percent = percent.min(100);
        self
    }

    /// Sets the cost of leaving the failure domain, there and back.
    #[must_use]
    pub fn cross_domain_latency(mut self, cost: Duration) -> Self {
        self.0.cross_domain_latency = cost;
        self
    }

    /// Sets the step time taken for a unit that has not reported.
    #[must_use]
    pub fn step_time(mut self, time: Duration) -> Self {
        self.0.step_time = time;
        self
    }

    /// Sets the age at which half of a report's difference from the mean is believed.
    #[must_use]
    pub fn report_half_life(mut self, age: Duration) -> Self {
        self.0.report_half_life = age.max(Duration::from_millis(1));
        self
    }

    /// Sets the half-life of a reported step time in the mean.
    #[must_use]
    pub fn step_time_half_life(mut self, age: Duration) -> Self {
        self.0.step_time_half_life = age.max(Duration::from_millis(1));
        self
    }

    /// Sets the age past which a report is not used.
    #[must_use]
    pub fn max_report_age(mut self, life: Duration) -> Self {
        self.0.max_report_age = life;
        self
    }

    /// Sets the age past which a hint of a cached prefix is not used.
    #[must_use]
    pub fn max_hint_age(mut self, life: Duration) -> Self {
        self.0.max_hint_age = life;
        self
    }

    /// Returns the settings.
    #[must_use]
    pub fn build(self) -> Config {
        self.0
    }
}
