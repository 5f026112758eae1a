//! What is known of one part of prompts: the crashes under it, and answers that show that it is sound.

use crate::prompt::Part;
use crate::quarantine::RETENTION;
use crate::quarantine::StartTag;
use crate::quarantine::Timestamp;
use crate::quarantine::part::Mark;
use crate::quarantine::part::Outcome;
use crate::quarantine::part::Prompts;
use crate::quarantine::part::Stage;

/// Maximum number of crashes remembered for one part.
const MAX_CRASHES: usize = ANY_LIMIT;
/// Number of upstreams that have crashed at the beginning of an answer at which a part is held, if no answer has shown it to be
/// sound: enough to tell it from parts that were there by chance, and two fewer than users tolerate.
const UNKNOWN_LIMIT: usize = 3;
/// The same for a part that answers have shown to be sound before.
const SOUND_LIMIT: usize = 5;
/// Number of crashes, wherever answers with the part were, at which it is held.
const ANY_LIMIT: usize = 8;
/// Time within which crashes count as one of these: upstreams that lose power together.
const SPACING: Timestamp = Timestamp::from_secs(1);
/// Time for which a part is held after [`UNKNOWN_LIMIT`] crashes, before it is tried again. It doubles with each further one.
const HOLD_TIME: Timestamp = Timestamp::from_mins(1);

/// Crash of an upstream that had requests with the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) upstream: StartTag,
    pub(super) at: Timestamp,
    /// How far the most advanced of these requests was.
    pub(super) stage: Stage,
    /// Prompts of some of these requests.
    pub(super) prompts: Prompts,
}

/// Grounds on which a part is held; compares by how strong they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Weight {
    /// Whether no answer has shown the part to be sound.
    is_unknown: bool,
    crashes: usize,
}

/// Evidence on one part.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    pub(super) crashes: Vec<Crash>,
    /// When a request with the part last had its whole answer.
    answered: Option<Timestamp>,
    /// When an answer to a request with the part was last past its beginning.
    survived: Option<Timestamp>,
    /// When the record last changed.
    pub(super) changed: Timestamp,
    /// When the record was last sent to other gateways.
    pub(super) sent: Timestamp,
    /// When a request was last let through to try the part again.
    pub(super) tried: Option<Timestamp>,
    /// Requests refused since then.
    pub(super) refused: u32,
}

impl Record {
    /// Records a crash; returns whether that changes anything.
    pub(super) fn add_crash(&mut self, crash: Crash) -> bool {
        if self.is_cleared(&crash) {
            return false;
        }
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.upstream == crash.upstream) {
            let before = *known;
            known.stage = known.stage.max(crash.stage);
            known.at = known.at.min(crash.at);
            known.prompts.merge(&crash.prompts);
            return (known.stage, known.prompts) != (before.stage, before.prompts);
        }
        if self.crashes.len() >= MAX_CRASHES {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| (crash.at, crash.upstream));
        true
    }

    /// Records a whole answer; returns whether that changes anything that others should know.
    pub(super) fn add_answer(&mut self, at: Timestamp) -> bool {
        let was_unknown = self.is_unknown();
        self.answered = self.answered.max(Some(at));
        self.clear() || was_unknown
    }

    /// Records an answer that is past its beginning; returns whether that changes anything that others should know.
    pub(super) fn add_survival(&mut self, at: Timestamp) -> bool {
        let was_unknown = self.is_unknown();
        self.survived = self.survived.max(Some(at));
        self.clear() || was_unknown
    }

    /// Removes the crashes that answers since have cleared; returns whether there were any.
    fn clear(&mut self) -> bool {
        let before = self.crashes.len();
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.retain(|crash| !self.is_cleared(crash));
        self.crashes = crashes;
        self.crashes.len() < before
    }

    /// Returns whether an answer since has cleared a crash. One that is past its beginning does not clear crashes that came
    /// later than that in an answer.
    fn is_cleared(&self, crash: &Crash) -> bool {
        let has_survived = crash.stage != Stage::Underway && Some(crash.at) <= self.survived;
        Some(crash.at) <= self.answered || has_survived
    }

    /// Returns whether no answer has shown the part to be sound.
    pub(super) fn is_unknown(&self) -> bool {
        self.answered.is_none() && self.survived.is_none()
    }

    /// Returns the grounds on which the part is held by its crashes other than those that are `explained`; none if they do not
    /// suffice.
    pub(super) fn weight(&self, explained: impl Fn(&Crash) -> bool) -> Option<Weight> {
        let left: Vec<&Crash> = self
            .crashes
            .iter()
            .filter(|crash| !explained(crash))
            .collect();
        let is_unknown = self.is_unknown();
        let at_beginning = left
            .iter()
            .filter(|crash| crash.stage == Stage::Beginning)
            .count();
        let limit = if is_unknown {
            UNKNOWN_LIMIT
        } else {
            SOUND_LIMIT
        };
        let is_held = at_beginning >= limit || spaced(&left) >= ANY_LIMIT;
        let crashes = left.len();
        is_held.then_some(Weight {
            is_unknown,
            crashes,
        })
    }

    pub(super) fn last_crash(&self) -> Option<Timestamp> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    /// Returns for how long the part is held after its last crash before it is tried again.
    pub(super) fn hold_time(&self) -> Timestamp {
        let further = self.crashes.len().saturating_sub(UNKNOWN_LIMIT);
        HOLD_TIME * (1 << further)
    }

    /// Returns whether there is still a reason to keep the record. A held part stays long enough to be tried again.
    pub(super) fn is_current(&self, now: Timestamp) -> bool {
        let last = self.last_crash().max(self.answered).max(self.survived);
        let time = RETENTION.max(2 * self.hold_time());
        now.saturating_sub(last.unwrap_or_default()) < time
    }

    /// Returns all that is known, as it is sent to other gateways.
    pub(super) fn marks(&self, part: Part, now: Timestamp) -> impl Iterator<Item = Mark> {
        let crashes = self.crashes.iter().map(|crash| {
            let outcome = Outcome::Crashed {
                upstream: crash.upstream,
                stage: crash.stage,
                prompts: crash.prompts,
            };
            (outcome, crash.at)
        });
        let answered = self.answered.map(|at| (Outcome::Answered, at));
        let survived = self.survived.map(|at| (Outcome::Survived, at));
        let sound = answered.into_iter().chain(survived);
        sound
            .chain(crashes)
            .map(move |(outcome, at)| Mark::new(part, outcome, now.saturating_sub(at)))
    }
}

/// Returns the number of crashes that are at least [`SPACING`] apart.
fn spaced(crashes: &[&Crash]) -> usize {
    let mut last: Option<Timestamp> = None;
    let mut count = 0;
    for crash in crashes {
        if last.is_none_or(|last| crash.at >= last + SPACING) {
            last = Some(crash.at);
            count += 1;
        }
    }
    count
}
