//! Detects slow ranks (stragglers), independently of popularity.
//!
//! A rank is slow if its busy time is high for the tokens that it processed, whichever experts it
//! hosts. The usual busy time for a number of tokens is a line fitted to the reports of all ranks: its
//! slope is the median of the slopes between pairs of ranks, its fixed part the median of the residuals
//! (Theil-Sen regression). So neither a fixed cost per step nor a slow rank distorts it. The response is
//! fewer tokens for the rank or a drain of the group, never a new map.

use std::time::Duration;

use auburnline_core::id::Rank;
use auburnline_core::time::Monotonic;

use crate::config::Config;
use crate::counts::Work;

/// Number of successive reports after which a rank becomes slow, or recovers.
const TRANSITION_REPORTS: u8 = 4;
/// Number of reports that a rank's slowness, and the usual time per token, average over.
const AVERAGING_REPORTS: f64 = 4.0;
/// Range that the slowness from one report is clamped to.
const SLOWNESS_RANGE: (f64, f64) = (0.1, 100.0);

/// Slow rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slow {
    /// Number of the rank in its group.
    pub rank: Rank,
    /// Ratio of its busy time to the usual one for its tokens, averaged over recent reports.
    pub slowness: f64,
    /// End of the span whose report made it slow.
    pub since: Monotonic,
}

/// Reduced share of tokens for a slow rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Relief {
    /// Rank to relieve.
    pub rank: Rank,
    /// Weight of the rank when an expert's tokens are split over its replicas; 1.0 for an even split.
    pub share: f64,
}

/// Response to slow ranks.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Answer {
    /// No rank is slow.
    #[default]
    None,
    /// Send fewer tokens to the slow ranks.
    Relieve {
        /// Slow ranks, each with its reduced share.
        ranks: Vec<Relief>,
        /// Predicted skew of the group with these shares.
        skew: f64,
    },
    /// Drain the group, because fewer tokens for the slow ranks are not enough.
    Drain {
        /// Rank that has been slow for the longest time.
        rank: Rank,
        /// Predicted skew of the group with the best relief.
        skew: f64,
    },
}

#[derive(Clone, Copy, Debug)]
struct State {
    slowness: f64,
    pending_reports: u8,
    since: Option<Monotonic>,
}

/// Detector of the slow ranks of a group.
#[derive(Clone, Debug)]
pub struct Detector {
    ranks: Vec<State>,
    slow_threshold: f64,
    recovery_threshold: f64,
    token_time: f64,
}

impl Detector {
    /// Creates a detector to which no rank is slow yet.
    #[must_use]
    pub fn new(ranks: Rank, config: &Config) -> Self {
        let state = State {
            slowness: 1.0,
            pending_reports: 0,
            since: None,
        };
        Self {
            ranks: vec![state; usize::from(ranks)],
            slow_threshold: config.slow_threshold,
            recovery_threshold: config.recovery_threshold,
            token_time: 0.0,
        }
    }

    /// Processes the work of all ranks over a span that ended at `at`.
    pub fn observe(&mut self, at: Monotonic, work: &[Work]) {
        let Some(line) = Line::fit(work) else { return };
        self.token_time = if self.token_time > 0.0 {
            self.token_time + (line.token_time - self.token_time) / AVERAGING_REPORTS
        } else {
            line.token_time
        };
        for (state, work) in self.ranks.iter_mut().zip(work) {
            let Some(slowness) = line.slowness(work) else {
                continue;
            };
            state.slowness += (slowness - state.slowness) / AVERAGING_REPORTS;
            state.update(at, slowness, self.slow_threshold, self.recovery_threshold);
        }
    }

    /// Returns the slow ranks, in rank order.
    #[must_use]
    pub fn slow(&self) -> Vec<Slow> {
        let ranks = (0..).zip(&self.ranks);
        ranks
            .filter_map(|(rank, state)| {
                Some(Slow {
                    rank,
                    slowness: state.slowness,
                    since: state.since?,
                })
            })
            .collect()
    }

    /// Returns the usual time per token of a rank; zero before the first report.
    #[must_use]
    pub fn token_time(&self) -> Duration {
        Duration::from_secs_f64(self.token_time)
    }

    /// Returns the usual time per token of a rank in seconds; zero before the first report.
    pub(crate) const fn token_seconds(&self) -> f64 {
        self.token_time
    }
}

impl State {
    fn update(
        &mut self,
        at: Monotonic,
        slowness: f64,
        slow_threshold: f64,
        recovery_threshold: f64,
    ) {
        let differs = match self.since {
            None => slowness > slow_threshold,
            Some(_) => slowness < recovery_threshold,
        };
        self.pending_reports = if differs { self.pending_reports + 1 } else { 0 };
        if self.pending_reports < TRANSITION_REPORTS {
            return;
        }
        self.pending_reports = 0;
        self.since = match self.since {
            None => Some(at),
            Some(_) => None,
        };
        if self.since.is_none() {
            self.slowness = 1.0;
        }
    }
}

/// Usual busy time of a rank as a linear function of its tokens, in seconds.
struct Line {
    fixed: f64,
    slope: f64,
    token_time: f64,
}

impl Line {
    fn fit(work: &[Work]) -> Option<Self> {
        let points: Vec<(f64, f64)> = work
            .iter()
            .filter(|work| work.tokens > 0 && !work.busy.is_zero())
            .map(|work| (tokens(work), work.busy.as_secs_f64()))
            .collect();
        let token_time = median(points.iter().map(|(x, y)| y / x).collect())?;
        let slope = median(slopes(&points)).unwrap_or(token_time);
        let slope = slope.clamp(0.0, token_time);
        let fixed = median(points.iter().map(|(x, y)| y - slope * x).collect())?;
        Some(Line {
            fixed: fixed.max(0.0),
            slope,
            token_time,
        })
    }

    fn slowness(&self, work: &Work) -> Option<f64> {
        let usual = self.fixed + self.slope * tokens(work);
        let known = work.tokens > 0 && usual > 0.0;
        known.then(|| (work.busy.as_secs_f64() / usual).clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1))
    }
}

fn tokens(work: &Work) -> f64 {
    u32::try_from(work.tokens).map_or(f64::from(u32::MAX), f64::from)
}

fn slopes(points: &[(f64, f64)]) -> Vec<f64> {
    let mut slopes = Vec::with_capacity(points.len() * points.len() / 2);
    for (index, (x, y)) in points.iter().enumerate() {
        for (other_x, other_y) in &points[index + 1..] {
            if (other_x - x).abs() > 0.0 {
                slopes.push((other_y - y) / (other_x - x));
            }
        }
    }
    slopes
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    let (_, value, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*value)
}

/// Shares that are tried for a slow rank, as multiples of `1 / slowness`.
pub(crate) const RELIEF_FACTORS: [f64; 5] = [1.0, 0.75, 0.5, 0.25, 0.0];
