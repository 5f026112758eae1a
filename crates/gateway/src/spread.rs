//! Distribution of the published state: which gateways read the store, and how the others get the
//! changes from them.
//!
//! A few gateways read the store, and [`crate::neighbour::reader`] selects them. The others query
//! one of these, or a gateway that does, and get the changes since the revision they know, or learn
//! that they have to read the full state themselves. An answer is dated to the time its query was
//! sent, minus the age of what its sender knows, so that a delayed message never makes knowledge
//! look younger than it is.
//!
//! A store that is restored from a backup assigns the same revision numbers again. Therefore a
//! [`Revision`] includes a generation of the store, and numbers are never compared across
//! generations. A gateway that learns of a different generation from the store, or of a newer one
//! from another gateway, reads the full state again.

mod message;
mod revision;

use std::collections::VecDeque;
use std::time::Duration;

use auburnline_core::time::Monotonic;

use self::message::MAX_ANSWER_CHANGES;
use crate::route::Version;

pub use message::Answer;
pub use message::Change;
pub use message::Query;
pub use message::Update;
pub use revision::FullRead;
pub use revision::Generation;
pub use revision::Revision;

/// Changes that are kept to answer queries. Of several changes of one entry only the last is kept,
/// so a restart of 2,000 upstreams, with one entry removed and one added each, fits.
const MAX_KEPT_CHANGES: usize = 4_096;
/// Time without an answer from any reader after which a gateway reads the store itself: longer than
/// it takes until a query is repeated.
const UNANSWERED_TIMEOUT: Duration = Duration::from_millis(700);

/// Time that a gateway waits for a reader to send an announced configuration, which allows two or
/// three queries. Then it reads the configuration itself, well within the bound on putting
/// configurations in force.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(900);

/// Shortest and longest delay before the store is asked again after a failure. Readers always use
/// the shortest one; a gateway that reads only because no reader answers it backs off up to the
/// longest. Rejected calls also load the store, and once a reader gets answers again it informs the
/// others.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

/// Shortest and longest delay before a gateway that the store does not answer tries it again while
/// others read for it. Nothing depends on its success, and hundreds of gateways may be in this state.
const PROBE_DELAYS: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(16));

/// What this gateway has to read from the store now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// The full published state.
    All,
    /// Only the configuration.
    Configuration,
    /// As a reader, the changes after a revision.
    Changes(Revision),
    /// Nothing, since other gateways are the readers.
    Nothing,
}

/// Knowledge of the published state at one gateway, and what it needs to distribute changes.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    /// Generation that the store reported last.
    generation: Generation,
    /// Newest generation that another gateway reported.
    reported_generation: Generation,
    /// Generation of the last full read.
    full_read_generation: Option<Generation>,
    revision: Option<Revision>,
    /// Revisions of the newest configuration that was announced, and of the newest one that was
    /// read.
    heard: Revision,
    read: Revision,
    /// Since when an announced configuration has been missing here.
    awaited_since: Option<Monotonic>,
    /// Newest configuration, kept to answer queries.
    kept_configuration: Option<Update>,
    changes: VecDeque<(Revision, Change)>,
    /// Revision after which `changes` is complete.
    kept_after: Revision,
    /// Consecutive requests to the store without an answer.
    failures: u32,
    /// Number of the last query and the time it was sent.
    asked: Option<(u64, Monotonic)>,
    /// Since when queries have been sent and no reader has answered.
    unanswered_since: Option<Monotonic>,
    number: u64,
}

impl Spread {
    /// Returns the revision up to which the state is known; `None` until the first full read and
    /// while another full read is due.
    #[must_use]
    pub const fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Records the generation that the store itself reported; returns whether it differs from the
    /// previous one. A gateway's calls to the store are sequential, so each report is newer than
    /// the ones before.
    pub fn set_generation(&mut self, generation: Generation) -> bool {
        let is_other = generation != self.generation;
        if is_other {
            self.generation = generation;
            self.reset();
        }
        is_other
    }

    /// Records the generation that another gateway reported; returns whether it is new. The store
    /// has to confirm it: a wrong report costs one full read and doesn't block later generations.
    pub fn note_generation(&mut self, generation: Generation) -> bool {
        let is_new = generation > self.generation.max(self.reported_generation);
        if is_new {
            self.reported_generation = generation;
            self.reset();
        }
        is_new
    }

    /// Discards the known revision and changes, so that the full state is read again.
    fn reset(&mut self) {
        self.revision = None;
        self.changes.clear();
    }

    /// Records a full read as of `revision`, with a configuration that was written at
    /// `configuration`.
    pub fn record_full_read(&mut self, revision: Revision, configuration: Revision) -> FullRead {
        self.set_generation(revision.generation);
        let before = self.full_read_generation.replace(revision.generation);
        self.revision = Some(revision);
        self.record_configuration(configuration);
        self.changes.clear();
        self.kept_after = revision;
        match before {
            Some(before) if before != revision.generation => FullRead::Restored,
            _ => FullRead::Complete,
        }
    }

    /// Records that a configuration written at `revision` was read.
    pub fn record_configuration(&mut self, revision: Revision) {
        self.read = self.read.max(revision);
        self.heard = self.heard.max(revision);
        self.awaited_since = None;
    }

    /// Records that a configuration was written at `revision`, which is not read yet unless it was
    /// before.
    pub(crate) fn announce_configuration(&mut self, revision: Revision) {
        self.heard = self.heard.max(revision);
    }

    /// Keeps a configuration to answer queries. The order is by version first: versions only
    /// increase, whereas a restored store may contain an older one at a later revision.
    pub fn keep_configuration(&mut self, update: Update) {
        let order = |update: &Update| (update.configuration.version, update.revision);
        let is_newer = self
            .kept_configuration
            .as_ref()
            .is_none_or(|kept| order(kept) < order(&update));
        if is_newer {
            self.kept_configuration = Some(update);
        }
    }

    /// Returns the kept configuration to send in reply to a query; `None` if the sender doesn't
    /// ask for one or has it already.
    #[must_use]
    pub fn requested_configuration(&self, query: Query) -> Option<&Update> {
        let known = query.configuration?;
        self.kept_configuration
            .as_ref()
            .filter(|kept| kept.revision > known)
    }

    /// Returns the newest configuration, if any is known.
    pub(crate) const fn kept_configuration(&self) -> Option<&Update> {
        self.kept_configuration.as_ref()
    }

    /// Returns the kept configuration if its version is newer than `version`.
    #[must_use]
    pub fn configuration_newer_than(&self, version: Option<Version>) -> Option<&Update> {
        let kept = self.kept_configuration.as_ref();
        kept.filter(|kept| Some(kept.configuration.version) > version)
    }

    /// Returns whether a configuration was announced that has not been read yet.
    #[must_use]
    pub fn awaits_configuration(&self) -> bool {
        self.heard > self.read
    }

    /// Returns the revisions of the newest configuration that was announced and of the newest one
    /// that was read.
    #[must_use]
    pub const fn configuration_revisions(&self) -> (Revision, Revision) {
        (self.heard, self.read)
    }

    /// Records that the store answered.
    pub const fn record_success(&mut self) {
        self.failures = 0;
        self.unanswered_since = None;
    }

    /// Returns whether no reader answers, so that this gateway has to read the store itself.
    #[must_use]
    pub fn is_unanswered(&self, now: Monotonic) -> bool {
        let is_over = |since| now.saturating_sub(since) >= UNANSWERED_TIMEOUT;
        self.unanswered_since.is_some_and(is_over)
    }

    /// Records that the store did not answer; returns the delay before the next attempt. It grows
    /// for gateways that are not readers, since no other gateway depends on them.
    pub fn record_failure(&mut self, is_reader: bool) -> Duration {
        let (shortest, longest) = RETRY_DELAYS;
        let times = if is_reader { 0 } else { self.failures };
        self.failures += 1;
        let factor = 2_u32.saturating_pow(times);
        shortest.saturating_mul(factor).min(longest)
    }

    /// Returns the delay before the store is tried again while other gateways read for this one.
    #[must_use]
    pub fn probe_interval(&self) -> Duration {
        let (shortest, longest) = PROBE_DELAYS;
        let factor = 2_u32.saturating_pow(self.failures.saturating_sub(1));
        shortest.saturating_mul(factor).min(longest)
    }

    /// Records that the store no longer has the changes after the known revision.
    pub const fn require_full_read(&mut self) {
        self.revision = None;
    }

    /// Applies changes up to `until`, in order of revision; returns those that are new. Changes of
    /// a generation other than the known one are ignored.
    pub fn take(&mut self, changes: Vec<(Revision, Change)>, until: Revision) -> Vec<Change> {
        let known = self.revision;
        let Some(known) = known.filter(|known| known.generation == until.generation) else {
            return Vec::new();
        };
        let mut new = Vec::new();
        for (revision, change) in changes {
            if revision <= known {
                continue;
            }
            if change == Change::Configuration {
                self.heard = self.heard.max(revision);
            }
            self.keep(revision, change.clone());
            new.push(change);
        }
        while self.changes.len() > MAX_KEPT_CHANGES {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.kept_after = revision;
            }
        }
        self.revision = Some(known.max(until));
        new
    }

    /// Keeps a change to answer queries, in place of an earlier one of the same entry. An upstream
    /// that announced its departure doesn't come back, whatever is written later.
    fn keep(&mut self, revision: Revision, mut change: Change) {
        let key = change.key();
        let earlier = self.changes.iter().position(|(_, kept)| kept.key() == key);
        let earlier = earlier.and_then(|at| self.changes.remove(at));
        if let Some((_, earlier)) = earlier
            && earlier.announces_departure_of(&change)
        {
            change.set_draining();
        }
        self.changes.push_back((revision, change));
    }

    /// Returns what this gateway has to read. A gateway that is not a reader reads an announced
    /// configuration only if no other gateway sends it in time.
    pub fn need(&mut self, is_reader: bool, now: Monotonic) -> Need {
        let Some(revision) = self.revision else {
            return Need::All;
        };
        if self.awaits_configuration() {
            let awaited_since = *self.awaited_since.get_or_insert(now);
            if is_reader || now.saturating_sub(awaited_since) >= CONFIGURATION_WAIT {
                return Need::Configuration;
            }
        }
        if is_reader {
            Need::Changes(revision)
        } else {
            Need::Nothing
        }
    }

    /// Creates the next query; `None` if no full read has succeeded.
    pub fn query(&mut self, now: Monotonic) -> Option<Query> {
        let revision = self.revision?;
        self.number += 1;
        self.asked = Some((self.number, now));
        self.unanswered_since.get_or_insert(now);
        Some(Query {
            number: self.number,
            revision,
            configuration: self.awaits_configuration().then_some(self.read),
        })
    }

    /// Returns the answer to a query; `None` if nothing is known yet or the changes since its
    /// revision are no longer kept.
    #[must_use]
    pub fn answer(&self, query: Query, age: Duration) -> Option<Answer> {
        let answer = self.changes_since(query.revision, age)?;
        Some(Answer {
            number: Some(query.number),
            ..answer
        })
    }

    /// Returns an unsolicited answer with the changes after `since`. For an earlier generation it
    /// holds no changes and only announces the current generation.
    #[must_use]
    pub fn changes_since(&self, since: Revision, age: Duration) -> Option<Answer> {
        let known = self.revision?;
        if since.generation < known.generation {
            return Some(Answer {
                number: None,
                since: known,
                until: known,
                age,
                changes: Vec::new(),
            });
        }
        if since < self.kept_after {
            return None;
        }
        let later = self
            .changes
            .iter()
            .filter(|(revision, _)| *revision > since);
        let changes: Vec<_> = later.take(MAX_ANSWER_CHANGES).cloned().collect();
        let is_truncated = changes.len() == MAX_ANSWER_CHANGES;
        let last = changes.last().map_or(known, |(revision, _)| *revision);
        let until = if is_truncated { last } else { known };
        Some(Answer {
            number: None,
            since,
            until,
            age,
            changes,
        })
    }

    /// Returns whether the next query is due at once because an answer was full. Several gateways
    /// answer a query, of which only the first one counts.
    #[must_use]
    pub fn has_more(&self, answer: &Answer) -> bool {
        let last = self.asked.map(|(number, _)| number);
        answer.is_truncated() && last.is_some() && answer.number == last
    }

    /// Applies the answer of a reader. Returns the new changes and, if it confirms that everything
    /// up to now is known, the time as of which it does.
    pub fn apply_answer(&mut self, answer: Answer) -> (Vec<Change>, Option<Monotonic>) {
        let Some(known) = self.revision else {
            return (Vec::new(), None);
        };
        if answer.since > known || answer.until.generation < known.generation {
            // Either changes in between are missing, which the next query requests, or the
            // reader is behind.
            return (Vec::new(), None);
        }
        let asked = self
            .asked
            .filter(|(number, _)| Some(*number) == answer.number);
        if asked.is_some() {
            self.unanswered_since = None;
        }
        let until = answer.until;
        let is_truncated = answer.is_truncated();
        let new = self.take(answer.changes, until);
        // A reader that knows less than this gateway confirms nothing, nor does one that has more
        // to tell.
        let is_complete = !is_truncated && until >= known && self.heard <= self.read;
        let asked = asked.map(|(_, at)| at.saturating_sub(answer.age));
        (new, asked.filter(|_| is_complete))
    }
}
