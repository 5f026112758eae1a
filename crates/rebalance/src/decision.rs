//! Decisions of the planner, with all that a log line needs.

use std::fmt;
use std::time::Duration;

use auburnline_core::expert::Defect;
use auburnline_core::expert::Map;

use crate::straggler::Answer;
use crate::straggler::Slow;

/// Decision whether to change a map.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Whether the map stays or changes.
    pub choice: Choice,
    /// Reason for the choice.
    pub reason: Reason,
    /// Prediction for the chosen plan.
    pub chosen: Forecast,
    /// Predictions for the other plans, highest score first.
    pub runners_up: Vec<Forecast>,
    /// Ranks that are slow at present.
    pub slow: Vec<Slow>,
    /// Response to the slow ranks.
    pub answer: Answer,
    /// Age of the newest report; `None` before the first.
    pub age: Option<Duration>,
    /// Number of reports that the estimate is based on.
    pub reports: u32,
}

/// Whether a map stays or changes.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Keep the map in force.
    Stay,
    /// Change to this map.
    Change(Box<Map>),
}

/// Reason for a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The predicted gain exceeds the costs.
    Gain,
    /// No change has a predicted gain above noise and costs.
    NoGain,
    /// The gain does not outweigh the costs, which include the disrupted steps.
    Disruption,
    /// Too few reports have arrived.
    FewReports,
    /// The newest report is too old.
    StaleReports,
    /// The cooldown since the last change has not passed.
    Cooldown,
    /// The group should drain because a rank is slow.
    Draining,
    /// The dimensions of the map differ from the group's.
    WrongShape,
    /// The map has a defect.
    Unusable(Defect),
}

/// Kind of plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Keep the map.
    Stay,
    /// Swap places and change replicas.
    Changes,
    /// Rebuild every layer from scratch.
    Repack,
}

/// Predicted gain and costs of one plan over the horizon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Kind of the plan.
    pub plan: Plan,
    /// Predicted step time over the mean rank's time.
    pub skew: f64,
    /// Time that the group saves over the horizon.
    pub saved: Duration,
    /// Number of places that load another expert's weights.
    pub loads: usize,
    /// Size of the weights moved, in bytes.
    pub bytes: u64,
    /// Predicted number of disrupted steps.
    pub steps: f64,
    /// Gain minus costs under the preset's weights.
    pub score: f64,
}

impl Forecast {
    /// Returns the forecast for keeping a map with this skew, without gain or cost.
    #[must_use]
    pub const fn stay(skew: f64) -> Self {
        Forecast {
            plan: Plan::Stay,
            skew,
            saved: Duration::ZERO,
            loads: 0,
            bytes: 0,
            steps: 0.0,
            score: 0.0,
        }
    }
}

impl fmt::Display for Forecast {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?}(skew={:.3} saved_s={:.1} loads={} bytes={} steps={:.1} score={:.3})",
            self.plan,
            self.skew,
            self.saved.as_secs_f64(),
            self.loads,
            self.bytes,
            self.steps,
            self.score
        )
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "chosen={} reason={:?}", self.chosen, self.reason)?;
        write!(f, " runners_up=[")?;
        for (index, forecast) in self.runners_up.iter().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            write!(f, "{separator}{forecast}")?;
        }
        write!(f, "] slow={} answer={:?}", self.slow.len(), self.answer)?;
        match self.age {
            Some(age) => write!(f, " age_ms={}", age.as_millis())?,
            None => write!(f, " age_ms=none")?,
        }
        write!(f, " reports={}", self.reports)
    }
}
