//! Recognition of slow ranks, which is kept apart from popularity.
//!
//! A rank is slow when its busy time is high for the tokens it handled, whatever it hosts. The usual
//! busy time for a number of tokens is a line through all ranks' reports (median of the slopes
//! between pairs, then median of the rests), so that neither a fixed cost per step nor a slow rank
//! bends it. The answers are fewer tokens for the rank or a drain of the group, never a new map.

use std::time::Duration;

use auburnline_core::id::Rank;
use auburnline_core::time::Monotonic;

use crate::config::Config;
use crate::counts::Work;

/// Reports in a row that change the verdict on a rank.
const VERDICT_RUN: u8 = 4;
/// Reports that a rank's slowness averages over.
const MEMORY: f64 = 4.0;
/// Range in which a rank's slowness is kept.
const SLOWNESS: (f64, f64) = (0.1, 100.0);

/// A slow rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slow {
    /// Which.
    pub rank: Rank,
    /// Its busy time over the usual one for its tokens.
    pub slowness: f64,
    /// Since when it has been slow.
    pub since: Monotonic,
}

/// Fewer tokens for a slow rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Relief {
    /// Which rank.
    pub rank: Rank,
    /// Part it takes of an expert that other ranks hold too, 1.0 for an even part.
    pub share: f64,
}

/// What to do about slow ranks.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Answer {
    /// No rank is slow.
    #[default]
    None,
    /// Send fewer tokens to these ranks, with the skew predicted then.
    Relieve {
        /// The ranks.
        ranks: Vec<Relief>,
        /// Predicted skew of the group.
        skew: f64,
    },
    /// Drain the group: fewer tokens would not do.
    Drain {
        /// The rank that has been slow for longest.
        rank: Rank,
        /// Predicted skew of the group with the best relief.
        skew: f64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    slowness: f64,
    run: u8,
    since: Option<Monotonic>,
}

/// Verdict on each rank of a group.
#[derive(Clone, Debug)]
pub struct Detector {
    ranks: Vec<Watch>,
    slow: f64,
    recovered: f64,
    token_time: f64,
}

impl Detector {
    /// Starts with every rank in order.
    #[must_use]
    pub fn new(ranks: Rank, config: &Config) -> Self {
        let watch = Watch {
            slowness: 1.0,
            run: 0,
            since: None,
        };
        Self {
            ranks: vec![watch; usize::from(ranks)],
            slow: config.slow_threshold,
            recovered: config.recovery_threshold,
            token_time: 0.0,
        }
    }

    /// Takes in the work of all ranks over a span that ended at `at`.
    pub fn observe(&mut self, at: Monotonic, work: &[Work]) {
        let Some(line) = Line::fit(work) else { return };
        self.token_time = if self.token_time > 0.0 {
            self.token_time + (line.token_time - self.token_time) / MEMORY
        } else {
            line.token_time
        };
        for (watch, work) in self.ranks.iter_mut().zip(work) {
            let Some(slowness) = line.slowness(work) else {
                continue;
            };
            watch.slowness += (slowness - watch.slowness) / MEMORY;
            watch.judge(at, slowness, self.slow, self.recovered);
        }
    }

    /// Returns the slow ranks in order.
    #[must_use]
    pub fn slow(&self) -> Vec<Slow> {
        let ranks = (0..).zip(&self.ranks);
        ranks
            .filter_map(|(rank, watch)| {
                Some(Slow {
                    rank,
                    slowness: watch.slowness,
                    since: watch.since?,
                })
            })
            .collect()
    }

    /// Returns the usual time per token of a rank, zero before the first report.
    #[must_use]
    pub fn token_time(&self) -> Duration {
        Duration::from_secs_f64(self.token_time)
    }

    /// Returns the usual time per token in seconds.
    pub(crate) const fn token_seconds(&self) -> f64 {
        self.token_time
    }
}

impl Watch {
    fn judge(&mut self, at: Monotonic, slowness: f64, slow: f64, recovered: f64) {
        let against = match self.since {
            None => slowness > slow,
            Some(_) => slowness < recovered,
        };
        self.run = if against { self.run + 1 } else { 0 };
        if self.run < VERDICT_RUN {
            return;
        }
        self.run = 0;
        self.since = match self.since {
            None => Some(at),
            Some(_) => None,
        };
        if self.since.is_none() {
            self.slowness = 1.0;
        }
    }
}

/// Usual busy time of a rank as a line over its tokens.
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
        known.then(|| (work.busy.as_secs_f64() / usual).clamp(SLOWNESS.0, SLOWNESS.1))
    }
}

fn tokens(work: &Work) -> f64 {
    u32::try_from(work.tokens).map_or(f64::from(u32::MAX), f64::from)
}

fn slopes(points: &[(f64, f64)]) -> Vec<f64> {
    let mut slopes = Vec::with_capacity(points.len() * points.len() / 2);
    for (index, (x, y)) in points.iter().enumerate() {
        for (far, high) in &points[index + 1..] {
            if (far - x).abs() > 0.0 {
                slopes.push((high - y) / (far - x));
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

/// Parts that are tried for a slow rank, as multiples of `1 / slowness`.
pub(crate) const RELIEF_FACTORS: [f64; 5] = [1.0, 0.75, 0.5, 0.25, 0.0];
