//! Estimate of the experts' popularity from reported counts.
//!
//! Each layer's counts become shares of the layer's tokens. An expert's estimate is a level with a
//! slope (an alpha-beta filter), so that a steady drift is followed without lag and
//! can be carried forward over the age of the reports. A report that lies outside the expected noise
//! counts only up to its edge, and when several in a row lie outside on one side the popularity has
//! jumped and the estimate starts anew from them. Noise is measured by differences between
//! successive reports, which a drift that is slow beside the reports hardly moves. State is one
//! small cell for each expert of each layer.

mod filter;

use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::counts::Counts;
use crate::counts::Shape;
use crate::popularity::filter::Filter;
use crate::to_f64;

/// Most reports by which an estimate is carried forward over a gap.
const LONGEST_GAP: f64 = 20.0;
/// Significance of a layer's drift up to which its slopes are taken for noise.
const LEAST_DRIFT: f64 = 1.25;

/// Estimate for all experts of a group.
#[derive(Clone, Debug)]
pub struct Estimate {
    layers: Vec<Vec<Filter>>,
    memory: f64,
    reports: u32,
    rate: f64,
    jumps: u64,
    newest: Monotonic,
    span: Duration,
}

/// Popularity of one layer at a moment.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// Share of the layer's tokens, by expert; the sum is one.
    pub mean: Vec<f64>,
    /// Share expected later, by expert; the sum is one.
    pub later: Vec<f64>,
    /// Variance of that share's estimate, by expert.
    pub variance: Vec<f64>,
}

impl Estimate {
    /// Starts an estimate that averages over `memory` reports.
    #[must_use]
    pub fn new(shape: Shape, memory: f64) -> Self {
        let layer = vec![Filter::default(); usize::from(shape.experts)];
        Self {
            layers: vec![layer; shape.layers],
            memory,
            reports: 0,
            rate: 0.0,
            jumps: 0,
            newest: Monotonic::ZERO,
            span: Duration::ZERO,
        }
    }

    /// Takes in a report that fits the shape, of a span that ended at `at`.
    pub fn observe(&mut self, at: Monotonic, counts: &Counts) {
        debug_assert_eq!(counts.layers.len(), self.layers.len());
        let offset = self.advance(at, counts.span);
        let mut all = 0.0;
        for (cells, tokens) in self.layers.iter_mut().zip(&counts.layers) {
            let total: f64 = tokens.iter().map(|&count| f64::from(count)).sum();
            all += total;
            if total > 0.0 {
                self.jumps += observe_layer(cells, tokens, (total, offset), self.memory);
            }
        }
        self.reports = self.reports.saturating_add(1);
        let rate = all / to_f64(self.layers.len().max(1)) / counts.span.as_secs_f64();
        let weight = f64::from(self.reports).min(self.memory);
        self.rate += (rate - self.rate) / weight;
    }

    /// Carries all cells forward to `at` if that is new; returns how far behind the newest it is.
    fn advance(&mut self, at: Monotonic, span: Duration) -> f64 {
        self.span = span;
        let behind = self.newest.saturating_sub(at);
        if self.reports == 0 || !behind.is_zero() {
            self.newest = self.newest.max(at);
            return -self.spans(behind);
        }
        let ahead = self.spans(at.saturating_sub(self.newest));
        for cell in self.layers.iter_mut().flatten() {
            cell.advance(ahead);
        }
        self.newest = at;
        0.0
    }

    /// Returns `time` in reports, at most the longest gap.
    fn spans(&self, time: Duration) -> f64 {
        (time.as_secs_f64() / self.span.as_secs_f64()).min(LONGEST_GAP)
    }

    /// Returns the popularity of `layer` as expected `soon` and in the `future`.
    ///
    /// Slopes count as far as the layer's drift is significant.
    #[must_use]
    pub fn shares(&self, layer: usize, soon: Monotonic, future: Monotonic) -> Shares {
        let cells = &self.layers[layer];
        let trust = 1.0 - (LEAST_DRIFT / self.drift(layer)).min(1.0);
        let ahead = trust * self.ahead(soon);
        let (mean, scale) = expected(cells, ahead);
        let (next, _) = expected(cells, trust * self.ahead(future));
        let variance = |cell: &Filter| cell.variance(ahead) * scale * scale;
        Shares {
            mean,
            later: next,
            variance: cells.iter().map(variance).collect(),
        }
    }

    /// Returns the significance of `layer`'s drift: the mean square of its experts' slopes over
    /// their variances, near one where nothing drifts.
    #[must_use]
    pub fn drift(&self, layer: usize) -> f64 {
        let cells = &self.layers[layer];
        cells.iter().map(Filter::drift).sum::<f64>() / to_f64(cells.len().max(1))
    }

    /// Returns the time from the newest report to `at` in reports.
    fn ahead(&self, at: Monotonic) -> f64 {
        if self.span.is_zero() {
            return 0.0;
        }
        at.saturating_sub(self.newest).as_secs_f64() / self.span.as_secs_f64()
    }

    /// Returns the number of reports taken in.
    #[must_use]
    pub const fn reports(&self) -> u32 {
        self.reports
    }

    /// Returns the tokens a second that each layer's experts handle.
    #[must_use]
    pub const fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns how often an expert's popularity was found to have jumped.
    #[must_use]
    pub const fn jumps(&self) -> u64 {
        self.jumps
    }
}

fn observe_layer(
    cells: &mut [Filter],
    tokens: &[u32],
    (total, offset): (f64, f64),
    memory: f64,
) -> u64 {
    let mut jumps = 0;
    for (cell, &count) in cells.iter_mut().zip(tokens) {
        jumps += u64::from(cell.observe(f64::from(count) / total, offset, memory));
    }
    jumps
}

/// Shares expected `ahead` reports after the newest, and the scale that makes them sum to one.
fn expected(cells: &[Filter], ahead: f64) -> (Vec<f64>, f64) {
    let means: Vec<f64> = cells.iter().map(|cell| cell.at(ahead)).collect();
    let scale = means.iter().sum::<f64>().recip();
    (means.iter().map(|mean| mean * scale).collect(), scale)
}
