//! How many streams a group of ranks can carry in time.
//!
//! The ranks of a group run each pass together, so one stream too many makes all of them late. The
//! published cost model gives the time of a pass without requests and what each request adds; how
//! unevenly the work lies on the ranks it does not give. [`Group`] learns that as one factor from
//! the pauses between the events of its own streams, predicts the pass with one request more, and
//! lets it in while that stays under the pause that callers aim at.

use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_lockstep::sight::USUAL_PACE;
use auburnline_lockstep::sight::slowness;

use crate::caution;
use crate::caution::Caution;
use crate::caution::SHIFTED_TARGET_FRACTION;
use crate::route::Engine;

/// Part of the longest pause that the mean pass may take: single passes are longer than the mean by
/// the prompts that are read in them, but a refused caller comes back late for certain.
const TARGET_PART: f64 = 0.82;
/// Factor before anything was seen, on the map that a group forms with, which spreads experts without regard to demand.
const FIRST_FACTOR: f64 = 3.4;
/// Bounds of the factor, so that a stall can't shut a group and a lull can't open it.
const FACTORS: (f64, f64) = (0.8, 6.0);
/// Time in which the factor follows what is seen by two thirds: about ten passes.
const FACTOR_TIME: Duration = Duration::from_millis(800);
/// The same for the factor of the newest passes: about one pass. A shift of demand makes passes twice as long at once, and
/// what is sent meanwhile makes them longer still.
const RECENT_TIME: Duration = Duration::from_millis(100);
/// Pauses beyond this many longest pauses are stalls of a broken rank and tell nothing of load.
const STALL_PAUSES: f64 = 4.0;
/// Hundredths by which the slowest rank of a group may differ without being slow anew or well again.
const PACE_NOISE: u16 = 10;
/// Fewest requests on a rank, so that a wrong factor never shuts a group.
const LEAST_PER_RANK: f64 = 1.0;

/// What runs at a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Ranks that take requests.
    pub ranks: u32,
    /// Requests in flight from all gateways.
    pub in_flight: u32,
    /// Times that the slowest rank takes longer than it should, in hundredths, as far as told.
    pub slowest: u16,
    /// The same of the slowest that runs requests: one that runs none has no part of its own in a pass.
    pub slowest_busy: u16,
}

/// One prediction, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Most requests that keep the pass in time.
    pub most: f64,
    /// Pass with one request more.
    pub pass: Duration,
    /// Learned factor.
    pub factor: f64,
}

impl Prediction {
    /// Returns how long a usual stream runs at this pace.
    #[must_use]
    pub fn stream(&self, engine: &Engine) -> Duration {
        self.pass.max(engine.step).mul_f64(engine.passes())
    }
}

/// What this gateway knows of one group's pace.
#[derive(Clone, Debug)]
pub struct Group {
    factor: f64,
    /// Factor of the newest passes.
    recent: f64,
    caution: Caution,
    /// Slowest rank while that was learned.
    slowest: u16,
    seen_at: Option<Monotonic>,
    mean_pass: f64,
}

impl Default for Group {
    fn default() -> Group {
        Group {
            factor: FIRST_FACTOR,
            recent: FIRST_FACTOR,
            caution: Caution::default(),
            slowest: USUAL_PACE,
            seen_at: None,
            mean_pass: 0.0,
        }
    }
}

impl Group {
    /// Takes the pause between two events of a stream, while `load` ran.
    pub fn observe(
        &mut self,
        engine: &Engine,
        longest: Duration,
        pause: Duration,
        load: Load,
        now: Monotonic,
    ) {
        let slowest = load.slowest.max(USUAL_PACE);
        if slowest.abs_diff(self.slowest) > PACE_NOISE {
            // Passes became as long by a slow rank, or no longer are; they tell nothing of shifts to come.
            self.slowest = slowest;
            self.caution = Caution::default();
        }
        let pause = pause.as_secs_f64();
        if pause > longest.as_secs_f64() * STALL_PAUSES || load.in_flight == 0 {
            return;
        }
        let passed = self
            .seen_at
            .map_or(FACTOR_TIME, |at| now.saturating_sub(at));
        self.seen_at = Some(now);
        let weight = ewma_weight(passed, FACTOR_TIME);
        let slope = slope(engine, load.ranks) * f64::from(load.in_flight);
        let seen = ((pause - base(engine, load)) / slope).clamp(FACTORS.0, FACTORS.1);
        self.factor += (seen - self.factor) * weight;
        self.mean_pass += (pause - self.mean_pass) * weight;
        let weight = ewma_weight(passed, RECENT_TIME);
        self.recent += (seen - self.recent) * weight;
        let pass = caution::Pass {
            is_long: pause > longest.as_secs_f64(),
            factor: self.recent,
            stream: self.mean_pass().mul_f64(engine.passes()),
        };
        self.caution.observe(&pass, passed, now);
    }

    /// Returns the mean pass seen of late.
    #[must_use]
    pub fn mean_pass(&self) -> Duration {
        Duration::from_secs_f64(self.mean_pass)
    }

    /// Returns whether the group is filled for the passes after a shift of demand.
    pub(crate) fn is_cautious(&self) -> bool {
        self.caution.factor().is_some()
    }

    /// Predicts the pass with one request more.
    #[must_use]
    pub fn predict(&self, engine: &Engine, longest: Duration, load: Load) -> Prediction {
        let even = slope(engine, load.ranks);
        let factor = self.factor.max(self.recent);
        let slope = even * factor;
        let longest = longest.as_secs_f64();
        let ranks = f64::from(load.ranks.max(1));
        let places = ranks * f64::from(engine.slots);
        let base = base(engine, load);
        let most = (longest * TARGET_PART - base) / slope;
        let shifted = self.caution.factor().map_or(f64::INFINITY, |factor| {
            (longest * SHIFTED_TARGET_FRACTION - base) / (even * factor)
        });
        let most = most.min(shifted).clamp(ranks * LEAST_PER_RANK, places);
        let pass = base + slope * f64::from(load.in_flight + 1);
        Prediction {
            most,
            pass: Duration::from_secs_f64(pass),
            factor,
        }
    }
}

/// Returns the weight of something seen after `passed` for a value that follows by two thirds in `time`.
pub(crate) fn ewma_weight(passed: Duration, time: Duration) -> f64 {
    1.0 - (-passed.as_secs_f64() / time.as_secs_f64()).exp()
}

/// Returns the seconds of a pass without requests: the slowest one's, for which all others wait.
fn base(engine: &Engine, load: Load) -> f64 {
    engine.base().as_secs_f64() * slowness(load.slowest_busy)
}

/// Returns the seconds that one request adds to a pass if the work lies evenly on the ranks.
fn slope(engine: &Engine, ranks: u32) -> f64 {
    engine.writing().as_secs_f64() / f64::from(ranks.max(1))
}
