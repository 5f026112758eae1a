//! What is known of one part of prompts: the crashes under it, and the whole answers that show that it is sound.
//!
//! How far an answer was when its upstream crashed says nothing of the cause: it depends on buffers, on the network, and on what
//! the upstream does before it fails. So all crashes since the last whole answer count alike, and only a whole answer clears them.

use crate::prompt::Part;
use crate::quarantine::RETENTION;
use crate::quarantine::StartTag;
use crate::quarantine::Timestamp;
use crate::quarantine::part::Mark;
use crate::quarantine::part::Outcome;
use crate::quarantine::part::Prompts;
use crate::quarantine::part::Stage;

/// Maximum number of crashes remembered for one part.
pub(super) const MAX_CRASHES: usize = 8;
/// Number of moments at which upstreams have crashed at which a part is held, if no request with it ever had its whole answer:
/// enough to tell it from parts that were there by chance, and two fewer than users tolerate.
pub(super) const UNKNOWN_LIMIT: usize = 3;
/// The same for a part that had whole answers before.
const SOUND_LIMIT: usize = 5;
/// Number of crashes at one moment at which a part is held that had no whole answer and was at all crashes then. A part that was
/// at all crashes of its moments is held at its usual limit if more than half of that are moments.
const BURST_LIMIT: usize = 5;
/// Time within which crashes belong to one moment: upstreams that lose power together.
const MOMENT: Timestamp = Timestamp::from_millis(100);
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
    /// Whether the crashes suffice though those of one moment may have a common cause.
    pub(super) is_spread: bool,
    /// Whether no whole answer has shown the part to be sound.
    is_unknown: bool,
    crashes: usize,
}

/// Evidence on one part.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    pub(super) crashes: Vec<Crash>,
    /// When a request with the part last had its whole answer.
    answered: Option<Timestamp>,
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
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| (crash.at, crash.upstream));
        self.make_room();
        self.crashes.contains(&crash)
    }

    /// Drops a crash if there are too many: one that is not the first of its moment, otherwise the oldest.
    fn make_room(&mut self) {
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let mut moments = Moments::default();
        let is_first: Vec<bool> = self.crashes.iter().map(|one| moments.add(one.at)).collect();
        let redundant = is_first.iter().rposition(|is_first| !is_first);
        self.crashes.remove(redundant.unwrap_or(0));
    }

    /// Records a whole answer; returns whether that changes anything that others should know.
    pub(super) fn add_answer(&mut self, at: Timestamp) -> bool {
        let was_unknown = self.is_unknown();
        self.answered = self.answered.max(Some(at));
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

    /// Returns whether a whole answer since has cleared a crash.
    pub(super) fn is_cleared(&self, crash: &Crash) -> bool {
        Some(crash.at) <= self.answered
    }

    /// Returns whether no whole answer has shown the part to be sound.
    pub(super) fn is_unknown(&self) -> bool {
        self.answered.is_none()
    }

    /// Returns the grounds on which the part is held by crashes at these times; none if they do not suffice.
    pub(super) fn weight(&self, mut times: Vec<Timestamp>) -> Option<Weight> {
        times.sort_unstable();
        let is_unknown = self.is_unknown();
        let limit = if is_unknown {
            UNKNOWN_LIMIT
        } else {
            SOUND_LIMIT
        };
        let mut moments = Moments::default();
        let count = times.iter().filter(|at| moments.add(**at)).count();
        let is_spread = count >= limit;
        let is_close = 2 * count > limit && times.len() >= limit;
        let is_burst = is_unknown && times.len() >= BURST_LIMIT;
        (is_spread || is_close || is_burst).then_some(Weight {
            is_spread,
            is_unknown,
            crashes: times.len(),
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
        let last = self.last_crash().max(self.answered);
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
        answered
            .into_iter()
            .chain(crashes)
            .map(move |(outcome, at)| Mark::new(part, outcome, now.saturating_sub(at)))
    }
}

/// Whether two crashes belong to one moment.
pub(super) fn is_one_moment(one: Timestamp, other: Timestamp) -> bool {
    one.abs_diff(other) < MOMENT
}

/// Moments at which upstreams crashed, in their order.
#[derive(Debug, Default)]
struct Moments {
    last: Option<Timestamp>,
}

impl Moments {
    /// Adds a crash; returns whether it is the first of its moment.
    fn add(&mut self, at: Timestamp) -> bool {
        let is_first = self.last.is_none_or(|last| !is_one_moment(last, at));
        if is_first {
            self.last = Some(at);
        }
        is_first
    }
}
