//! Predicts how many streams a group of ranks can carry in time.
//!
//! The ranks of a group run each forward pass together, so one stream too many makes all of them
//! late. The published cost model gives the time of a pass without requests and what each request
//! adds, but not how unevenly the work is spread over the ranks. [`Group`] learns that as one
//! imbalance factor from the pauses between the events of its own streams and predicts the pass
//! with one more request, which is admitted while the pass stays below the longest pause that
//! callers aim at.

use std::time::Duration;

use auburnline_admission::exposure::Cost;
use auburnline_admission::exposure::Exposure;
use auburnline_admission::forecast;
use auburnline_admission::forecast::MAX_FACTOR_AGE;
use auburnline_admission::forecast::Mean;
use auburnline_core::time::Monotonic;
use auburnline_lockstep::rank::NOMINAL_SLOWDOWN_PERCENT;
use auburnline_lockstep::rank::slowdown;

use crate::caution;
use crate::caution::Caution;
use crate::caution::SHIFTED_TARGET_FRACTION;
use crate::route::Engine;

/// Fraction of the longest pause that the mean pass may take. Single passes are longer than the
/// mean because prompts are read in them, but a refused caller is certain to come back late.
const TARGET_FRACTION: f64 = 0.82;
/// Factor before any observation, on the first placement map of a group, which spreads experts
/// without regard to demand.
const INITIAL_FACTOR: f64 = 3.4;
/// Bounds of the factor, so that a stall can't close a group and a lull can't overfill it.
const FACTOR_BOUNDS: (f64, f64) = (0.8, 6.0);
/// Time constant of the factor's moving average: about ten passes.
const FACTOR_TIME_CONSTANT: Duration = Duration::from_millis(800);
/// Time constant of the factor of the newest passes: about one pass. A shift of demand doubles the
/// length of passes at once, and streams sent meanwhile make them longer still.
const RECENT_TIME_CONSTANT: Duration = Duration::from_millis(100);
/// Pauses longer than this many longest pauses are stalls of a broken rank and say nothing about
/// load.
const STALL_PAUSES: f64 = 4.0;
/// Difference in the pace of the slowest rank, in hundredths, up to which it counts as unchanged.
const PACE_TOLERANCE: u16 = 10;
/// Part of what a group can carry from which its passes tell how far to fill it. With fewer
/// requests a prompt that is read takes most of a pass.
const LOADED_FRACTION: f64 = 0.5;
/// Time after a group formed for which it is filled by its newest passes alone: it gets a map for
/// its demand, and the streams that began on the first map end.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Fewest requests per rank, so that a wrong factor never closes a group.
const MIN_PER_RANK: f64 = 1.0;

/// Load of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Ranks that take requests.
    pub ranks: u32,
    /// Requests in flight from all gateways.
    pub in_flight: u32,
    /// Pace of the slowest rank: the time of its part of a pass relative to normal, in hundredths;
    /// 0 if none was reported.
    pub slowest: u16,
    /// The same of the slowest rank that runs requests: an idle rank has no work of its own in a
    /// pass.
    pub slowest_busy: u16,
}

/// Predicted capacity and pass time of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Most requests in flight that keep the pass in time.
    pub most: f64,
    /// Time of a pass with one more request.
    pub pass: Duration,
    /// Imbalance factor that the prediction used.
    pub factor: f32,
    /// Factor that the group is filled for, as gateways tell each other; 0 if they don't.
    pub fill: f32,
}

impl Prediction {
    /// Returns the duration of a usual stream at the predicted pass time.
    #[must_use]
    pub fn stream(&self, engine: &Engine) -> Duration {
        self.pass.max(engine.step).mul_f64(engine.passes())
    }
}

/// Pass-time model of one group, as this gateway learned it.
#[derive(Clone, Debug)]
pub struct Group {
    factor: f64,
    /// Factor of the newest passes.
    recent: f64,
    caution: Caution,
    /// Pace of the slowest rank while `caution` was learned.
    slowest: u16,
    /// When the newest pass ran that is known here.
    seen_at: Option<Monotonic>,
    mean_pass: f64,
    /// When the newest pass of an own stream ended, and its factor.
    own: Option<(Monotonic, f64)>,
    /// What streams meet, by the passes of all gateways.
    exposure: Exposure,
    /// Factor to fill the group for, as gateways tell it.
    told_fill: Mean,
    /// The same while it is fresh.
    fill: Option<f64>,
    /// When the group formed, if it did so since this gateway started.
    formed_at: Option<Monotonic>,
}

impl Default for Group {
    fn default() -> Group {
        Group {
            factor: INITIAL_FACTOR,
            recent: INITIAL_FACTOR,
            caution: Caution::default(),
            slowest: NOMINAL_SLOWDOWN_PERCENT,
            seen_at: None,
            mean_pass: 0.0,
            own: None,
            exposure: Exposure::default(),
            told_fill: Mean::default(),
            fill: None,
            formed_at: None,
        }
    }
}

impl Group {
    /// Returns the model of a group that just formed, of which all passes before say nothing.
    #[must_use]
    pub fn formed(now: Monotonic) -> Group {
        Group {
            formed_at: Some(now),
            ..Group::default()
        }
    }

    /// Records the pause between two events of a stream, while `load` ran.
    pub fn observe(
        &mut self,
        engine: &Engine,
        longest: Duration,
        pause: Duration,
        load: Load,
        now: Monotonic,
    ) {
        let slowest = load.slowest.max(NOMINAL_SLOWDOWN_PERCENT);
        if slowest.abs_diff(self.slowest) > PACE_TOLERANCE {
            // Passes changed because a rank turned slow or recovered, which says nothing about
            // future shifts of demand.
            self.slowest = slowest;
            self.caution = Caution::default();
            self.exposure = Exposure::default();
            self.told_fill = Mean::default();
            self.fill = None;
        }
        let pause = pause.as_secs_f64();
        if pause > longest.as_secs_f64() * STALL_PAUSES || load.in_flight == 0 {
            return;
        }
        let passed = self
            .seen_at
            .map_or(FACTOR_TIME_CONSTANT, |at| now.saturating_sub(at));
        self.seen_at = Some(now);
        let weight = ewma_weight(passed, FACTOR_TIME_CONSTANT);
        let slope = slope(engine, load.ranks) * f64::from(load.in_flight);
        let seen = ((pause - base(engine, load)) / slope).clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
        self.own = Some((now, seen));
        self.factor += (seen - self.factor) * weight;
        self.mean_pass += (pause - self.mean_pass) * weight;
        let weight = ewma_weight(passed, RECENT_TIME_CONSTANT);
        self.recent += (seen - self.recent) * weight;
        let pass = caution::Pass {
            is_long: pause > longest.as_secs_f64(),
            factor: self.recent,
            stream: self.mean_pass().mul_f64(engine.passes()),
        };
        self.caution.observe(&pass, passed, now);
    }

    /// Adds the newest pass of an own stream to what gateways tell each other.
    pub fn share(&mut self, engine: &Engine, longest: Duration, load: Load, now: Monotonic) {
        if let Some((_, factor)) = self.own.filter(|(at, _)| *at == now) {
            self.expose(factor, engine, longest, load, now);
        }
    }

    /// Returns what this gateway saw of the group's passes; none without recent ones.
    #[must_use]
    pub fn record(
        &self,
        group: forecast::GroupTag,
        cost: &Cost,
        now: Monotonic,
    ) -> Option<forecast::Record> {
        let (at, factor) = self.own?;
        let age = now.saturating_sub(at);
        let record = forecast::Record {
            group,
            factor: single(factor),
            fill: single(self.exposure.best(cost).unwrap_or(0.0)),
            age_ms: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
        };
        record.is_valid().then_some(record)
    }

    /// Adds what a gateway saw of the group's passes, this one or another, while `load` runs;
    /// returns whether it says anything about the group.
    pub fn hear(
        &mut self,
        record: &forecast::Record,
        engine: &Engine,
        longest: Duration,
        load: Load,
        now: Monotonic,
    ) -> bool {
        let age = record.age();
        let at = now.saturating_sub(age);
        if !record.is_valid() || self.formed_at.is_some_and(|formed_at| at < formed_at) {
            return false;
        }
        let passed = self
            .seen_at
            .map_or(FACTOR_TIME_CONSTANT, |seen_at| at.saturating_sub(seen_at));
        if age < MAX_FACTOR_AGE && passed > Duration::ZERO {
            let seen = f64::from(record.factor).clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
            self.factor += (seen - self.factor) * ewma_weight(passed, FACTOR_TIME_CONSTANT);
            self.recent += (seen - self.recent) * ewma_weight(passed, RECENT_TIME_CONSTANT);
            self.seen_at = Some(at);
            self.expose(seen, engine, longest, load, at);
        }
        if record.fill > 0.0 {
            self.told_fill.add(record.fill.into(), age, now);
        }
        self.refresh(now);
        true
    }

    /// Drops what was told too long ago.
    pub fn refresh(&mut self, now: Monotonic) {
        let fill = self.told_fill.value(now);
        let fill = fill.filter(|_| !self.is_settling(now));
        self.fill = fill.map(|fill| fill.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1));
    }

    /// Returns whether the group formed so recently that its passes say nothing about shifts.
    fn is_settling(&self, now: Monotonic) -> bool {
        self.formed_at
            .is_some_and(|formed_at| now.saturating_sub(formed_at) < SETTLING_TIME)
    }

    fn expose(
        &mut self,
        factor: f64,
        engine: &Engine,
        longest: Duration,
        load: Load,
        at: Monotonic,
    ) {
        let cost = cost(engine, longest, load);
        let requests = f64::from(load.in_flight);
        let is_loaded = requests >= cost.most(self.factor.max(self.recent)) * LOADED_FRACTION;
        if !is_loaded || self.is_settling(at) {
            return;
        }
        let pass = cost.pass(self.factor, requests).min(cost.longest);
        let pass = Duration::from_secs_f64(pass);
        let life = pass.mul_f64(engine.passes());
        self.exposure.observe(factor, pass, life, at);
    }

    /// Returns the moving average of the passes seen.
    #[must_use]
    pub fn mean_pass(&self) -> Duration {
        Duration::from_secs_f64(self.mean_pass)
    }

    /// Returns whether the group is filled only as far as passes right after a shift of demand
    /// allow.
    pub(crate) fn is_cautious(&self) -> bool {
        self.caution.factor().is_some() || self.fill.is_some_and(|fill| fill > self.factor)
    }

    /// Predicts the pass with one more request, and how many requests the group can carry.
    #[must_use]
    pub fn predict(&self, engine: &Engine, longest: Duration, load: Load) -> Prediction {
        let even_slope = slope(engine, load.ranks);
        let factor = self.factor.max(self.recent);
        let slope = even_slope * factor;
        let ranks = f64::from(load.ranks.max(1));
        let slots = ranks * f64::from(engine.slots);
        let base = base(engine, load);
        let most = if let Some(fill) = self.fill {
            let cost = cost(engine, longest, load);
            let most_now = (cost.longest * SHIFTED_TARGET_FRACTION - base) / slope;
            cost.most(fill).min(most_now)
        } else {
            let longest = longest.as_secs_f64();
            let most = (longest * TARGET_FRACTION - base) / slope;
            let most_after_shift = self.caution.factor().map_or(f64::INFINITY, |factor| {
                (longest * SHIFTED_TARGET_FRACTION - base) / (even_slope * factor)
            });
            most.min(most_after_shift)
        };
        let most = most.clamp(ranks * MIN_PER_RANK, slots);
        let pass = base + slope * f64::from(load.in_flight + 1);
        Prediction {
            most,
            pass: Duration::from_secs_f64(pass),
            factor: single(factor),
            fill: single(self.fill.unwrap_or(0.0)),
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "factors and fractions need few digits"
)]
const fn single(value: f64) -> f32 {
    value as f32
}

/// Returns the weight of a sample in an exponentially weighted moving average with time constant
/// `time`, `passed` after the sample before.
pub(crate) fn ewma_weight(passed: Duration, time: Duration) -> f64 {
    1.0 - (-passed.as_secs_f64() / time.as_secs_f64()).exp()
}

pub(crate) fn cost(engine: &Engine, longest: Duration, load: Load) -> Cost {
    Cost {
        base: base(engine, load),
        slope: slope(engine, load.ranks),
        longest: longest.as_secs_f64(),
    }
}

/// Returns the seconds of a pass without requests: those of the slowest busy rank, for which all
/// others wait.
fn base(engine: &Engine, load: Load) -> f64 {
    engine.base().as_secs_f64() * slowdown(load.slowest_busy)
}

/// Returns the seconds that one request adds to a pass if the work is spread evenly over the ranks.
fn slope(engine: &Engine, ranks: u32) -> f64 {
    engine.decode_time().as_secs_f64() / f64::from(ranks.max(1))
}
