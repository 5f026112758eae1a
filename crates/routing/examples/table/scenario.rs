//! The scenarios of the table.

use std::time::Duration;

use crate::trace::Micros;

/// Default number of groups.
pub(crate) const GROUPS: usize = 24;
/// Number of failure domains; groups and entries are assigned to them in turn.
pub(crate) const DOMAINS: usize = 3;
pub(crate) const SECOND: Micros = 1_000_000;
/// Requests per second and group under normal load.
const STEADY: f64 = 25.0;
/// Requests per second and group at peak load.
const PEAK: f64 = 42.0;

/// Load, failures and duration of a run.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) groups: usize,
    pub(crate) entries: usize,
    pub(crate) workspaces: u32,
    /// Requests per second over all entries.
    pub(crate) rate: f64,
    /// Fraction of cases that belong to the large workspace.
    pub(crate) large_share: f64,
    /// Blocks that all prompts of the large workspace share.
    pub(crate) large_shared_blocks: u64,
    /// Step time of the first group after the change, in percent of the others'.
    pub(crate) slow_percent: u64,
    /// Whether the last failure domain is lost at [`Scenario::change`].
    pub(crate) domain_lost: bool,
    /// Time of the slowdown or the loss.
    pub(crate) change: Micros,
    /// End of the warm-up, before which nothing is counted.
    pub(crate) warm_up: Micros,
    /// End of arrivals.
    pub(crate) length: Micros,
    /// Age of a load report when it arrives.
    pub(crate) lag: Duration,
}

impl Scenario {
    fn steady(groups: usize) -> Self {
        Scenario {
            name: "steady",
            groups,
            entries: groups / 2,
            workspaces: 20,
            rate: rate(groups, STEADY),
            large_share: 0.0,
            large_shared_blocks: 0,
            slow_percent: 100,
            domain_lost: false,
            change: 25 * SECOND,
            warm_up: 20 * SECOND,
            length: 60 * SECOND,
            lag: Duration::from_millis(300),
        }
    }

    /// Returns all scenarios in the order of the table's rows.
    pub(crate) fn all(groups: usize) -> Vec<Scenario> {
        let steady = Scenario::steady(groups);
        let peak = Scenario {
            name: "peak",
            rate: rate(groups, PEAK),
            ..steady.clone()
        };
        let large = Scenario {
            name: "large",
            large_share: 0.6,
            large_shared_blocks: 24,
            ..steady.clone()
        };
        let slow = Scenario {
            name: "slow",
            slow_percent: 250,
            ..steady.clone()
        };
        let lost = Scenario {
            name: "lost",
            domain_lost: true,
            ..steady.clone()
        };
        let both = Scenario {
            name: "peak-slow",
            slow_percent: 250,
            ..peak.clone()
        };
        vec![steady, peak, large, slow, lost, both]
    }

    /// Returns the steady scenario at `each` requests per second and group.
    pub(crate) fn at_rate(groups: usize, each: u32) -> Self {
        Scenario {
            name: "rate",
            rate: rate(groups, f64::from(each)),
            ..Scenario::steady(groups)
        }
    }

    /// Returns the name, followed by the rate per group in the sweep of rates.
    pub(crate) fn label(&self) -> String {
        if self.name != "rate" {
            return self.name.to_owned();
        }
        let each = self.rate / rate(self.groups, 1.0);
        format!("rate-{each}")
    }

    pub(crate) fn with_lag(mut self, lag: Duration) -> Self {
        self.lag = lag;
        self
    }
}

fn rate(groups: usize, each: f64) -> f64 {
    f64::from(u32::try_from(groups).unwrap_or(u32::MAX)) * each
}
