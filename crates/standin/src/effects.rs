//! Effects that a stand-in had, in order, for the check of histories.

use auburnline_core::id::RequestId;
use serde::Deserialize;
use serde::Serialize;

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A request began to run; this is the effect that may happen once.
    Started,
    /// A request ran to its end.
    Finished,
    /// A request was cancelled, or its connection went away.
    Cancelled,
    /// An order was taken.
    Ordered,
    /// An order or request with an older fencing number was refused.
    Fenced,
    /// An invariant of the stand-in did not hold.
    Violated,
}

/// One effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// Number, from 1.
    pub sequence: u64,
    /// What happened.
    pub event: Event,
    /// Idempotency key, empty if there is none.
    pub id: RequestId,
    /// What it concerned.
    pub detail: String,
}

/// All effects of one stand-in.
#[derive(Debug, Default)]
pub struct Effects(Vec<Effect>);

impl Effects {
    /// Adds an effect.
    pub fn push(&mut self, event: Event, id: &str, detail: impl Into<String>) {
        self.0.push(Effect {
            sequence: self.0.len() as u64 + 1,
            event,
            id: id.into(),
            detail: detail.into(),
        });
    }

    /// Returns the effects as JSON, one a line.
    #[must_use]
    pub fn lines(&self) -> String {
        self.0
            .iter()
            .filter_map(|effect| serde_json::to_string(effect).ok())
            .map(|line| line + "\n")
            .collect()
    }
}

/// Reads the effects that [`Effects::lines`] wrote.
///
/// # Errors
///
/// Returns the first line's error.
pub fn parse(lines: &str) -> Result<Vec<Effect>, serde_json::Error> {
    lines.lines().map(serde_json::from_str).collect()
}
