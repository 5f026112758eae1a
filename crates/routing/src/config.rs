//! Configuration of a router and its defaults.

use std::time::Duration;

use auburnline_core::id::FailureDomainId;

/// Configuration of a router, made by its [`Builder`].
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
    /// Sets the load that a unit may have and still be preferred by cost, as a factor of the mean.
    ///
    /// Values below 1.0 are raised to 1.0. The default is 2.0.
    #[must_use]
    pub fn load_bound(mut self, factor: f64) -> Self {
        self.0.load_bound = factor.max(1.0);
        self
    }

    /// Sets the number of units drawn at random for each decision, from 1 to 4; the default is 2.
    #[must_use]
    pub fn random_choices(mut self, count: usize) -> Self {
        self.0.random_choices = count.clamp(1, crate::candidate::MAX_DRAWN);
        self
    }

    /// Sets the prompt tokens that a unit prefills in one step, at least 1; the default is 2048.
    #[must_use]
    pub fn tokens_per_step(mut self, tokens: f64) -> Self {
        self.0.tokens_per_step = tokens.max(1.0);
        self
    }

    /// Sets the cost of a backlog token relative to a token to prefill; the default is 0.05.
    #[must_use]
    pub fn backlog_weight(mut self, weight: f64) -> Self {
        self.0.backlog_weight = weight.max(0.0);
        self
    }

    /// Sets the percentage of the prefix that its owner on the ring is assumed to have cached.
    ///
    /// Values above 100 are lowered to 100. The default is 50.
    #[must_use]
    pub fn ring_hit_percent(mut self, percent: u64) -> Self {
        self.0.ring_hit_percent = percent.min(100);
        self
    }

    /// Sets the round-trip time added for a unit in another failure domain; the default is 2 ms.
    #[must_use]
    pub fn cross_domain_latency(mut self, latency: Duration) -> Self {
        self.0.cross_domain_latency = latency;
        self
    }

    /// Sets the step time assumed for a unit that has not reported one; the default is 20 ms.
    #[must_use]
    pub fn step_time(mut self, time: Duration) -> Self {
        self.0.step_time = time;
        self
    }

    /// Sets the age at which a report's difference from the mean load counts half.
    ///
    /// At least 1 ms; the default is 100 ms.
    #[must_use]
    pub fn report_half_life(mut self, age: Duration) -> Self {
        self.0.report_half_life = age.max(Duration::from_millis(1));
        self
    }

    /// Sets the half-life of step times in their exponentially weighted mean.
    ///
    /// At least 1 ms; the default is 10 s.
    #[must_use]
    pub fn step_time_half_life(mut self, age: Duration) -> Self {
        self.0.step_time_half_life = age.max(Duration::from_millis(1));
        self
    }

    /// Sets the age past which a decision does not give the age of a report.
    ///
    /// The load estimate uses a report of any age, see [`Builder::report_half_life`]. The default
    /// is 10 s.
    #[must_use]
    pub fn max_report_age(mut self, age: Duration) -> Self {
        self.0.max_report_age = age;
        self
    }

    /// Sets the age past which a hint of a cached prefix is ignored; the default is 1 min.
    #[must_use]
    pub fn max_hint_age(mut self, age: Duration) -> Self {
        self.0.max_hint_age = age;
        self
    }

    /// Returns the configuration.
    #[must_use]
    pub fn build(self) -> Config {
        self.0
    }
}
