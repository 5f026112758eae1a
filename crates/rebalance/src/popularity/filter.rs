//! Alpha-beta filter for the popularity of one expert.

/// Half width of the noise band, in standard deviations.
const BAND_SIGMAS: f64 = 3.0;
/// Number of successive reports outside the band on the same side that mean a jump.
const JUMP_REPORTS: i8 = 3;
/// Maximum number of reports that the measured noise averages over.
const NOISE_REPORTS: f64 = 64.0;
/// Standard deviation of the noise assumed after the first report, as a fraction of the share.
const FIRST_NOISE: f64 = 0.2;
/// Weight of the newest report in the average of successive reports outside the band.
const OUTLIER_WEIGHT: f64 = 0.5;
/// Number of averaged reports from which the slope is estimated.
const SLOPE_AFTER: f64 = 8.0;
/// Slope gain as a multiple of the squared level gain. 0.25 is critically damped; more responds sooner.
const SLOPE_GAIN: f64 = 0.5;
/// Maximum contribution of one expert to the significance of its layer's drift.
const MAX_DRIFT: f64 = 100.0;
/// Minimum share, which keeps the noise of an expert that is never used above zero.
const MIN_SHARE: f64 = 1e-7;

/// Filter state for one expert of one layer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Filter {
    mean: f64,
    slope: f64,
    noise: f64,
    last: f64,
    outlier_mean: f64,
    weight: f64,
    samples: f64,
    outlier_run: i8,
}

impl Filter {
    /// Extrapolates the level by this number of report intervals.
    pub(super) fn advance(&mut self, reports: f64) {
        self.mean = self.at(reports);
    }

    /// Returns the share forecast for `reports` report intervals after the newest report, or before it if
    /// negative.
    pub(super) fn at(&self, reports: f64) -> f64 {
        (self.mean + self.slope * reports).max(MIN_SHARE)
    }

    /// Updates the filter from a share reported `offset` report intervals after the newest report.
    ///
    /// Returns whether the popularity jumped.
    pub(super) fn observe(&mut self, share: f64, offset: f64, averaging_reports: f64) -> bool {
        let share = share.max(MIN_SHARE);
        if self.samples == 0.0 {
            *self = Filter::first(share);
            return false;
        }
        let sigma = (self.noise * (1.0 + self.weight.recip())).sqrt();
        self.measure_noise(share);
        let deviation = share - self.at(offset);
        let edge = BAND_SIGMAS * sigma;
        self.count_outliers(deviation, edge, share);
        if self.outlier_run.abs() >= JUMP_REPORTS {
            self.restart();
            return true;
        }
        self.weight = (self.weight + 1.0).min(averaging_reports);
        let gain = self.weight.recip();
        let innovation = deviation.clamp(-edge, edge);
        self.mean = (self.mean + gain * innovation).max(MIN_SHARE);
        if self.weight >= SLOPE_AFTER {
            self.slope += SLOPE_GAIN * gain * gain * innovation;
        }
        false
    }

    fn first(share: f64) -> Self {
        Filter {
            mean: share,
            slope: 0.0,
            noise: (FIRST_NOISE * share).powi(2),
            last: share,
            outlier_mean: share,
            weight: 1.0,
            samples: 1.0,
            outlier_run: 0,
        }
    }

    fn measure_noise(&mut self, share: f64) {
        let limit = (2.0 * self.noise).sqrt() * (BAND_SIGMAS + 1.0);
        let step = (share - self.last).clamp(-limit, limit);
        self.samples = (self.samples + 1.0).min(NOISE_REPORTS);
        self.noise += (step * step / 2.0 - self.noise) / self.samples;
        self.last = share;
    }

    fn count_outliers(&mut self, deviation: f64, edge: f64, share: f64) {
        let side = if deviation > edge {
            1
        } else if deviation < -edge {
            -1
        } else {
            0
        };
        if side != 0 && side == self.outlier_run.signum() {
            self.outlier_run += side;
            self.outlier_mean += (share - self.outlier_mean) * OUTLIER_WEIGHT;
        } else {
            self.outlier_run = side;
            self.outlier_mean = share;
        }
    }

    fn restart(&mut self) {
        self.mean = self.outlier_mean;
        self.slope = 0.0;
        self.weight = f64::from(JUMP_REPORTS) * OUTLIER_WEIGHT;
        self.outlier_run = 0;
    }
}

impl Filter {
    /// Returns the variance of the share forecast for `ahead` report intervals after the newest report, in
    /// steady state.
    pub(super) fn variance(&self, ahead: f64) -> f64 {
        if self.weight < SLOPE_AFTER {
            return self.noise / self.weight.max(1.0);
        }
        let errors = Errors::steady(self.weight.recip());
        self.noise * (errors.level + 2.0 * errors.covariance * ahead + errors.slope * ahead * ahead)
    }

    /// Returns the squared slope divided by its variance; one on average without drift.
    pub(super) fn drift(&self) -> f64 {
        let variance = self.noise * Errors::steady(self.weight.max(1.0).recip()).slope;
        if self.weight < SLOPE_AFTER || variance <= 0.0 {
            return 1.0;
        }
        (self.slope * self.slope / variance).min(MAX_DRIFT)
    }
}

/// Variances of level and slope and their covariance, as multiples of the noise variance.
struct Errors {
    level: f64,
    covariance: f64,
    slope: f64,
}

impl Errors {
    /// Returns the errors of the filter in steady state with this level gain.
    fn steady(gain: f64) -> Self {
        let slope_gain = SLOPE_GAIN * gain * gain;
        let scale = (gain * (4.0 - 2.0 * gain - slope_gain)).recip();
        Errors {
            level: scale * (2.0 * gain * gain + 2.0 * slope_gain - 3.0 * gain * slope_gain),
            covariance: scale * slope_gain * (2.0 * gain - slope_gain),
            slope: scale * 2.0 * slope_gain * slope_gain,
        }
    }
}
