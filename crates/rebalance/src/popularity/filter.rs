//! Estimate for one expert.

/// Standard deviations beyond which a report is outside the noise.
const BAND: f64 = 3.0;
/// Reports in a row outside the noise that mean a jump.
const JUMP_RUN: i8 = 3;
/// Reports that the measured noise averages over, at most.
const NOISE_MEMORY: f64 = 64.0;
/// Noise taken for an expert that was seen once, as a share of its count.
const FIRST_NOISE: f64 = 0.2;
/// Weight of the newest report among the recent ones.
const RECENT: f64 = 0.5;
/// Reports from which a slope is trusted.
const SLOPE_AFTER: f64 = 8.0;
/// Gain of the slope in squares of the level's gain; a quarter damps critically, more responds sooner.
const SLOPE_GAIN: f64 = 0.5;
/// Most that one expert counts for in the significance of its layer's drift.
const MOST_DRIFT: f64 = 100.0;
/// Least share, so that an expert that is never used keeps a finite noise.
const LEAST_SHARE: f64 = 1e-7;

/// Estimate for one expert of one layer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Filter {
    mean: f64,
    slope: f64,
    noise: f64,
    last: f64,
    recent: f64,
    weight: f64,
    seen: f64,
    run: i8,
}

impl Filter {
    /// Carries the estimate forward by `reports`.
    pub(super) fn advance(&mut self, reports: f64) {
        self.mean = self.at(reports);
    }

    /// Returns the share expected `reports` after the newest one, or before it if negative.
    pub(super) fn at(&self, reports: f64) -> f64 {
        (self.mean + self.slope * reports).max(LEAST_SHARE)
    }

    /// Takes in a share of `offset` reports after the newest; tells whether the popularity jumped.
    pub(super) fn observe(&mut self, share: f64, offset: f64, memory: f64) -> bool {
        let share = share.max(LEAST_SHARE);
        if self.seen == 0.0 {
            *self = Filter::first(share);
            return false;
        }
        let spread = (self.noise * (1.0 + self.weight.recip())).sqrt();
        self.measure_noise(share);
        let deviation = share - self.at(offset);
        let edge = BAND * spread;
        self.note_run(deviation, edge, share);
        if self.run.abs() >= JUMP_RUN {
            self.restart();
            return true;
        }
        self.weight = (self.weight + 1.0).min(memory);
        let gain = self.weight.recip();
        let surprise = deviation.clamp(-edge, edge);
        self.mean = (self.mean + gain * surprise).max(LEAST_SHARE);
        if self.weight >= SLOPE_AFTER {
            self.slope += SLOPE_GAIN * gain * gain * surprise;
        }
        false
    }

    fn first(share: f64) -> Self {
        Filter {
            mean: share,
            slope: 0.0,
            noise: (FIRST_NOISE * share).powi(2),
            last: share,
            recent: share,
            weight: 1.0,
            seen: 1.0,
            run: 0,
        }
    }

    fn measure_noise(&mut self, share: f64) {
        let limit = (2.0 * self.noise).sqrt() * (BAND + 1.0);
        let step = (share - self.last).clamp(-limit, limit);
        self.seen = (self.seen + 1.0).min(NOISE_MEMORY);
        self.noise += (step * step / 2.0 - self.noise) / self.seen;
        self.last = share;
    }

    fn note_run(&mut self, deviation: f64, edge: f64, share: f64) {
        let side = if deviation > edge {
            1
        } else if deviation < -edge {
            -1
        } else {
            0
        };
        if side != 0 && side == self.run.signum() {
            self.run += side;
            self.recent += (share - self.recent) * RECENT;
        } else {
            self.run = side;
            self.recent = share;
        }
    }

    fn restart(&mut self) {
        self.mean = self.recent;
        self.slope = 0.0;
        self.weight = f64::from(JUMP_RUN) * RECENT;
        self.run = 0;
    }
}

impl Filter {
    /// Variance of the share expected `ahead` reports after the newest, in steady state.
    pub(super) fn variance(&self, ahead: f64) -> f64 {
        if self.weight < SLOPE_AFTER {
            return self.noise / self.weight.max(1.0);
        }
        let errors = Errors::steady(self.weight.recip());
        self.noise * (errors.level + 2.0 * errors.both * ahead + errors.slope * ahead * ahead)
    }

    /// Square of the slope over its variance, one on average where nothing drifts.
    pub(super) fn drift(&self) -> f64 {
        let variance = self.noise * Errors::steady(self.weight.max(1.0).recip()).slope;
        if self.weight < SLOPE_AFTER || variance <= 0.0 {
            return 1.0;
        }
        (self.slope * self.slope / variance).min(MOST_DRIFT)
    }
}

/// Variances of level and slope and their covariance, in units of the noise.
struct Errors {
    level: f64,
    both: f64,
    slope: f64,
}

impl Errors {
    /// Errors of the filter once it has run for long with `gain`.
    fn steady(gain: f64) -> Self {
        let slope_gain = SLOPE_GAIN * gain * gain;
        let scale = (gain * (4.0 - 2.0 * gain - slope_gain)).recip();
        Errors {
            level: scale * (2.0 * gain * gain + 2.0 * slope_gain - 3.0 * gain * slope_gain),
            both: scale * slope_gain * (2.0 * gain - slope_gain),
            slope: scale * 2.0 * slope_gain * slope_gain,
        }
    }
}
