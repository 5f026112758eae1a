//! Estimates the experts' popularity from reported counts.
//!
//! Each layer's counts are converted to shares of the layer's tokens. An expert's estimate consists of a
//! level and a slope (an alpha-beta filter), so that it follows a steady drift without lag and can be
//! extrapolated over the age of the reports. A report outside the expected noise band is clamped to the
//! edge of the band. Several in a row outside it on the same side mean that the popularity has jumped,
//! and the estimate restarts from them. Noise is measured from the differences between successive
//! reports, which a drift that is slow compared with the report interval hardly affects. The state is
//! one small filter for each expert of each layer.

mod filter;

use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::counts::Counts;
use crate::counts::Shape;
use crate::popularity::filter::Filter;
use crate::to_f64;

/// Maximum number of report intervals over which an estimate is extrapolated across a gap.
const MAX_GAP_REPORTS: f64 = 20.0;
/// Significance of a layer's drift up to which its slopes are considered noise.
const NOISE_DRIFT: f64 = 1.25;

/// Popularity estimate for all experts of a group.
#[derive(Clone, Debug)]
pub struct Estimate {
    layers: Vec<Vec<Filter>>,
    averaging_reports: f64,
    reports: u32,
    rate: f64,
    jumps: u64,
    newest: Monotonic,
    span: Duration,
}

/// Popularity of one layer, as forecast for two times.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// Share of the layer's tokens at the nearer time, by expert; sums to one.
    pub mean: Vec<f64>,
    /// Share at the later time, by expert; sums to one.
    pub later: Vec<f64>,
    /// Variance of the estimate in `mean`, by expert.
    pub variance: Vec<f64>,
}

impl Estimate {
    /// Creates an estimate that averages over at most `averaging_reports` reports.
    #[must_use]
    pub fn new(shape: Shape, averaging_reports: f64) -> Self {
        let layer = vec![Filter::default(); usize::from(shape.experts)];
        Self {
            layers: vec![layer; shape.layers],
            averaging_reports,
            reports: 0,
            rate: 0.0,
            jumps: 0,
            newest: Monotonic::ZERO,
            span: Duration::ZERO,
        }
    }

    /// Updates the estimate from a report whose span ended at `at`; it must fit the shape.
    pub fn observe(&mut self, at: Monotonic, counts: &Counts) {
        debug_assert_eq!(counts.layers.len(), self.layers.len());
        let offset = self.advance(at, counts.span);
        let mut all = 0.0;
        for (filters, tokens) in self.layers.iter_mut().zip(&counts.layers) {
            let total: f64 = tokens.iter().map(|&count| f64::from(count)).sum();
            all += total;
            if total > 0.0 {
                self.jumps +=
                    observe_layer(filters, tokens, (total, offset), self.averaging_reports);
            }
        }
        self.reports = self.reports.saturating_add(1);
        let rate = all / to_f64(self.layers.len().max(1)) / counts.span.as_secs_f64();
        let weight = f64::from(self.reports).min(self.averaging_reports);
        self.rate += (rate - self.rate) / weight;
    }

    /// Advances all filters to `at` if it is newer than the newest report.
    ///
    /// Returns the offset of `at` from the newest report in report intervals: zero, or negative for a
    /// report that arrived out of order.
    fn advance(&mut self, at: Monotonic, span: Duration) -> f64 {
        self.span = span;
        let behind = self.newest.saturating_sub(at);
        if self.reports == 0 || !behind.is_zero() {
            self.newest = self.newest.max(at);
            return -self.intervals(behind);
        }
        let ahead = self.intervals(at.saturating_sub(self.newest));
        for filter in self.layers.iter_mut().flatten() {
            filter.advance(ahead);
        }
        self.newest = at;
        0.0
    }

    /// Converts `time` to report intervals, at most the maximum gap.
    fn intervals(&self, time: Duration) -> f64 {
        (time.as_secs_f64() / self.span.as_secs_f64()).min(MAX_GAP_REPORTS)
    }

    /// Returns the popularity of `layer` as forecast for the times `near` and `far`.
    ///
    /// Slopes are weighted by how significant the layer's drift is.
    #[must_use]
    pub fn shares(&self, layer: usize, near: Monotonic, far: Monotonic) -> Shares {
        let filters = &self.layers[layer];
        let confidence = 1.0 - (NOISE_DRIFT / self.drift(layer)).min(1.0);
        let ahead = confidence * self.ahead(near);
        let (mean, scale) = forecast(filters, ahead);
        let (mean_far, _) = forecast(filters, confidence * self.ahead(far));
        let variance = |filter: &Filter| filter.variance(ahead) * scale * scale;
        Shares {
            mean,
            later: mean_far,
            variance: filters.iter().map(variance).collect(),
        }
    }

    /// Returns the significance of `layer`'s drift: the mean over its experts of the squared slope
    /// divided by its variance. It is near one without drift.
    #[must_use]
    pub fn drift(&self, layer: usize) -> f64 {
        let filters = &self.layers[layer];
        filters.iter().map(Filter::drift).sum::<f64>() / to_f64(filters.len().max(1))
    }

    /// Returns the time from the newest report to `at`, in report intervals.
    fn ahead(&self, at: Monotonic) -> f64 {
        if self.span.is_zero() {
            return 0.0;
        }
        at.saturating_sub(self.newest).as_secs_f64() / self.span.as_secs_f64()
    }

    /// Returns the number of reports that the estimate has been updated from.
    #[must_use]
    pub const fn reports(&self) -> u32 {
        self.reports
    }

    /// Returns the tokens per second that each layer's experts process, averaged over the layers.
    #[must_use]
    pub const fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns how many jumps of an expert's popularity were detected.
    #[must_use]
    pub const fn jumps(&self) -> u64 {
        self.jumps
    }
}

fn observe_layer(
    filters: &mut [Filter],
    tokens: &[u32],
    (total, offset): (f64, f64),
    averaging_reports: f64,
) -> u64 {
    let mut jumps = 0;
    for (filter, &count) in filters.iter_mut().zip(tokens) {
        jumps += u64::from(filter.observe(f64::from(count) / total, offset, averaging_reports));
    }
    jumps
}

/// Returns the shares forecast for `ahead` report intervals after the newest report, and the factor that
/// normalizes them to a sum of one.
fn forecast(filters: &[Filter], ahead: f64) -> (Vec<f64>, f64) {
    let means: Vec<f64> = filters.iter().map(|filter| filter.at(ahead)).collect();
    let scale = means.iter().sum::<f64>().recip();
    (means.iter().map(|mean| mean * scale).collect(), scale)
}
