//! How long the answers of each route take.
//!
//! An attempt that may be followed by another one is given up early only if its route's answers take far less time. Otherwise a
//! sound upstream would lose its work, and the second attempt would have too little time as well.

use std::collections::HashMap;
use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::gateway::Gateway;
use crate::request::Plan;

/// Time constant with which the longest answer is forgotten.
const FORGET_TIME_CONSTANT: Duration = Duration::from_secs(30);
/// Times the longest recent answer that an attempt may take before it is given up.
const MARGIN: u32 = 2;
/// Maximum number of routes for which durations are kept.
const MAX_ROUTES: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Longest {
    took: Duration,
    at: Monotonic,
}

impl Longest {
    fn at(self, now: Monotonic) -> Duration {
        let age = now.saturating_sub(self.at);
        self.took
            .mul_f64((-age.div_duration_f64(FORGET_TIME_CONSTANT)).exp())
    }
}

/// The longest recent answer of each route, by its name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Durations(HashMap<String, Longest>);

impl Gateway {
    /// Records how long an upstream took for a complete answer.
    pub fn record_duration(&mut self, plan: &Plan, took: Duration, now: Monotonic) {
        let durations = &mut self.durations.0;
        if durations.len() >= MAX_ROUTES {
            durations.clear();
        }
        let longest = Longest { took, at: now };
        let known = durations.entry(plan.route.name.clone()).or_insert(longest);
        if known.at(now) <= took {
            *known = longest;
        }
    }

    /// Returns how long the longest recent answer of the request's route took; `None` if there was none yet.
    #[must_use]
    pub fn longest_duration(&self, plan: &Plan, now: Monotonic) -> Option<Duration> {
        let longest = self.durations.0.get(&plan.route.name)?;
        Some(longest.at(now))
    }

    /// Returns whether answers of the request's route take so much less than `time` that an attempt which takes longer has
    /// failed. While there was no answer yet, nothing tells.
    #[must_use]
    pub fn is_overdue_after(&self, plan: &Plan, time: Duration, now: Monotonic) -> bool {
        let longest = self.longest_duration(plan, now);
        longest.is_some_and(|longest| longest * MARGIN <= time)
    }
}
