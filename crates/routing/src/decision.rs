//! The result of a decision, with the data for its log line.

use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_core::id::GroupId;
use auburnline_core::id::ModelId;
use auburnline_core::id::PoolId;

/// How a unit became a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// A hint says that it caches a prefix of the prompt.
    Cached,
    /// It owns a prefix of the prompt on the consistent-hash ring.
    Ring,
    /// It was drawn at random.
    Drawn,
    /// It was the next unit on the ring as no other candidate was within the load bound.
    Spill,
}

impl Reason {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Reason::Cached => "cached",
            Reason::Ring => "ring",
            Reason::Drawn => "drawn",
            Reason::Spill => "spill",
        }
    }
}

/// A scored unit.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Group that names the unit.
    pub group: GroupId,
    /// How the unit became a candidate.
    pub reason: Reason,
    /// Predicted time to the first token; the lowest within the load bound is chosen.
    pub cost: Duration,
    /// Last reported backlog and own sends since its measurement, in tokens.
    pub load: u64,
    /// Prompt tokens that the unit is expected to have cached.
    pub cached_tokens: u64,
    /// Whether the estimated load is within the load bound relative to the mean.
    pub within_bound: bool,
    /// Age of the load report; `None` without a report or past the maximum age.
    pub report_age: Option<Duration>,
    /// Age of the hint that made the unit a candidate; `None` for any other reason.
    pub hint_age: Option<Duration>,
}

/// The result of routing one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Pool that the query requested.
    pub pool: PoolId,
    /// Model that the query requested; `None` for a plain service.
    pub model: Option<ModelId>,
    /// The chosen unit, or the kind of error if there is none.
    pub chosen: Result<Candidate, Kind>,
    /// The other candidates: those within the load bound by cost, then the rest by load.
    pub runners_up: Vec<Candidate>,
    /// Admitting units of the pool and model, including excluded ones; 0 without a chosen unit.
    pub admitting: usize,
    /// Mean load of the admitting units in tokens.
    pub mean_load: u64,
    /// Whether the predicted time to the first token exceeds the deadline.
    pub late: bool,
}

impl Decision {
    /// Returns the group of the chosen unit.
    ///
    /// # Errors
    ///
    /// Returns the kind of error to answer with if no unit was chosen.
    pub fn group(&self) -> Result<&GroupId, Kind> {
        match &self.chosen {
            Ok(candidate) => Ok(&candidate.group),
            Err(kind) => Err(*kind),
        }
    }
}

/// Formats an age in milliseconds, or `-` without one.
struct Age(Option<Duration>);

impl Display for Age {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Some(age) => write!(f, "{}", age.as_millis()),
            None => f.write_str("-"),
        }
    }
}

impl Display for Decision {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let model = self.model.as_deref().unwrap_or("-");
        write!(f, "decision=route pool={} model={model}", self.pool)?;
        match &self.chosen {
            Ok(chosen) => write_chosen(chosen, f)?,
            Err(kind) => write!(f, " group=- error={kind}")?,
        }
        write!(
            f,
            " admitting={} mean_load={} late={} runners_up=",
            self.admitting, self.mean_load, self.late
        )?;
        write_runners(&self.runners_up, f)
    }
}

fn write_chosen(chosen: &Candidate, f: &mut Formatter<'_>) -> std::fmt::Result {
    write!(
        f,
        " group={} reason={} cost_ms={} load={} cached_tokens={} report_age_ms={} hint_age_ms={}",
        chosen.group,
        chosen.reason.name(),
        chosen.cost.as_millis(),
        chosen.load,
        chosen.cached_tokens,
        Age(chosen.report_age),
        Age(chosen.hint_age),
    )
}

fn write_runners(runners: &[Candidate], f: &mut Formatter<'_>) -> std::fmt::Result {
    if runners.is_empty() {
        return f.write_str("-");
    }
    for (index, runner) in runners.iter().enumerate() {
        let comma = if index == 0 { "" } else { "," };
        let cost = runner.cost.as_millis();
        write!(
            f,
            "{comma}{}:{}:{cost}ms",
            runner.group,
            runner.reason.name()
        )?;
    }
    Ok(())
}
