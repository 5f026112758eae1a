//! Who reads the store, and how the others learn what it says.
//!
//! Each failure domain has a few readers, chosen alike by all from who lives and reaches the store. The
//! others ask them and get the changes since the revision that they know, or hear that they must read
//! all by themselves. An answer counts as asked when the question was sent, less the reader's own
//! age, so that what was held up on the way never seems younger than it is.
//!
//! A store that comes back from a copy gives revisions out again. So a [`Revision`] belongs to a generation of the store, and
//! nothing of one generation is compared with another by its number alone. A gateway that learns of another one from the store, or of a newer one from
//! another gateway, reads all anew.

mod revision;

use std::collections::VecDeque;
use std::time::Duration;

use auburnline_core::hash::rendezvous;
use auburnline_core::time::Monotonic;
use serde::Deserialize;
use serde::Serialize;

use crate::message::Entry;
use crate::route::Content;
use crate::route::Version;
use crate::upstream::Upstream;
use crate::upstream::UpstreamId;

pub use revision::Generation;
pub use revision::Reading;
pub use revision::Revision;

/// Readers of a failure domain: one may die while another is not yet chosen.
const READERS: usize = 2;
/// Gateways of a failure domain up to which all read: asking would save nothing.
const ALL_READ: usize = 3;
/// Changes that a reader keeps for those who ask: several seconds of the busiest days.
const KEPT: usize = 256;
/// Changes that one answer holds, so that it stays within one datagram.
const TOLD: usize = 64;
/// Age of knowledge from which on a gateway reads by itself, whoever else should: two periods of a
/// watch and a question, and well before keys are not trusted any more.
const HELP_YOURSELF: Duration = Duration::from_millis(2_800);

/// Time within which a configuration that was heard of is told by a reader, after two or three questions; then a gateway reads
/// it by itself, well within the bound on configurations.
const TOLD_WITHIN: Duration = Duration::from_millis(900);

/// Pause of a reader after a question without answer, and the longest one of a gateway that reads only because nobody tells
/// it anything. Calls that a store turns away load it as well, and once a reader is answered again, the others are told.
const PAUSES: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

/// One change of what is published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Published {
    /// An upstream was written.
    Upstream(Upstream),
    /// An upstream is missing.
    Missing(UpstreamId),
    /// A configuration was written; it is asked for by itself.
    Configuration,
}

/// Question for what changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Number of the question at its sender.
    pub number: u64,
    /// Revision that the sender knows.
    pub revision: Revision,
    /// Revision of the configuration that the sender has, if it waits for a newer one.
    pub configuration: Option<Revision>,
}

/// A configuration on its way to another gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// Revision at which it was written.
    pub revision: Revision,
    /// What it says.
    pub content: Content,
}

/// Answer of a reader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Number of the question; none if nobody asked.
    pub number: Option<u64>,
    /// Revision after which the changes begin.
    pub since: Revision,
    /// Revision up to which nothing is missing.
    pub until: Revision,
    /// Age of the reader's knowledge.
    pub age: Duration,
    /// Changes, in order.
    pub changes: Vec<(Revision, Published)>,
}

/// What this gateway has to read now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// All that is published.
    All,
    /// The configuration.
    Configuration,
    /// Changes after a revision, as a reader.
    Changes(Revision),
    /// Nothing; others read.
    Nothing,
}

/// State of the spread at one gateway.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    /// Generation that the store named last.
    generation: Generation,
    /// Newest generation that another gateway told of.
    told_of: Generation,
    /// Generation of which all was read last.
    read_of: Option<Generation>,
    revision: Option<Revision>,
    /// Revision of the newest configuration that was heard of, and of the one that was read.
    heard: Revision,
    read: Revision,
    /// Since when one that was heard of is missing here.
    awaited: Option<Monotonic>,
    /// The newest one, for those who ask.
    told: Option<Told>,
    changes: VecDeque<(Revision, Published)>,
    /// Revision after which `changes` holds all.
    kept_after: Revision,
    /// Questions to the store without answer, one after the other.
    misses: u32,
    /// The last question, and when it was sent.
    asked: Option<(u64, Monotonic)>,
    number: u64,
}

impl Spread {
    /// Returns the revision that is known.
    #[must_use]
    pub const fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Takes that the store is of this generation, as it says itself; returns whether it was of another one. Calls of one gateway
    /// follow one another, so each answer is newer than those before.
    pub fn enter(&mut self, generation: Generation) -> bool {
        let is_other = generation != self.generation;
        if is_other {
            self.generation = generation;
            self.begin_anew();
        }
        is_other
    }

    /// Takes that another gateway knows this generation; returns whether that is news. The store has to confirm it: a word that is
    /// wrong costs one reading and keeps nothing out.
    pub fn hint(&mut self, generation: Generation) -> bool {
        let is_news = generation > self.generation.max(self.told_of);
        if is_news {
            self.told_of = generation;
            self.begin_anew();
        }
        is_news
    }

    /// Lets all be read anew.
    fn begin_anew(&mut self) {
        self.revision = None;
        self.changes.clear();
    }

    /// Takes that all was read as of `revision`, and a configuration written at `configuration`.
    pub fn read_all(&mut self, revision: Revision, configuration: Revision) -> Reading {
        self.enter(revision.generation);
        let before = self.read_of.replace(revision.generation);
        self.revision = Some(revision);
        self.read_configuration(configuration);
        self.changes.clear();
        self.kept_after = revision;
        match before {
            Some(before) if before != revision.generation => Reading::Restored,
            _ => Reading::Whole,
        }
    }

    /// Takes that a configuration written at `revision` was read.
    pub fn read_configuration(&mut self, revision: Revision) {
        self.read = self.read.max(revision);
        self.heard = self.heard.max(revision);
        self.awaited = None;
    }

    /// Keeps a configuration for those who ask. Versions only grow, while a restored store may have an older one again.
    pub fn keep(&mut self, told: Told) {
        let order = |told: &Told| (told.content.version, told.revision);
        let is_newer = self
            .told
            .as_ref()
            .is_none_or(|kept| order(kept) < order(&told));
        if is_newer {
            self.told = Some(told);
        }
    }

    /// Returns the configuration that answers a question; none if nothing newer than the sender has is kept.
    #[must_use]
    pub fn told(&self, question: Question) -> Option<&Told> {
        let known = question.configuration?;
        self.told.as_ref().filter(|told| told.revision > known)
    }

    /// Returns the configuration that is kept, if it is newer than this version.
    #[must_use]
    pub fn newer(&self, version: Option<Version>) -> Option<&Told> {
        let told = self.told.as_ref();
        told.filter(|told| Some(told.content.version) > version)
    }

    /// Returns whether a configuration was heard of that is not here yet.
    #[must_use]
    pub fn awaits_configuration(&self) -> bool {
        self.heard > self.read
    }

    /// Returns the revisions of the newest configuration that was heard of and of the one that was read.
    #[must_use]
    pub const fn configurations(&self) -> (Revision, Revision) {
        (self.heard, self.read)
    }

    /// Takes that the store answered.
    pub const fn reach(&mut self) {
        self.misses = 0;
    }

    /// Takes that the store did not answer; returns when to ask it again. Gateways that nobody relies on ask less and less
    /// often.
    pub fn miss(&mut self, is_reader: bool) -> Duration {
        let (shortest, longest) = PAUSES;
        let times = if is_reader { 0 } else { self.misses };
        self.misses += 1;
        let factor = 2_u32.saturating_pow(times);
        shortest.saturating_mul(factor).min(longest)
    }

    /// Takes that the store no longer has the changes after the known revision.
    pub const fn forget(&mut self) {
        self.revision = None;
    }

    /// Takes changes up to `until`, in order; returns those that are new. Changes of another generation than what is known tell
    /// nothing.
    pub fn take(&mut self, changes: Vec<(Revision, Published)>, until: Revision) -> Vec<Published> {
        let known = self.revision;
        let Some(known) = known.filter(|known| known.generation == until.generation) else {
            return Vec::new();
        };
        let mut new = Vec::new();
        for (revision, change) in changes {
            if revision <= known {
                continue;
            }
            if change == Published::Configuration {
                self.heard = self.heard.max(revision);
            }
            self.changes.push_back((revision, change.clone()));
            new.push(change);
        }
        while self.changes.len() > KEPT {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.kept_after = revision;
            }
        }
        self.revision = Some(known.max(until));
        new
    }

    /// Says what this gateway has to read. A configuration that others have is read here only if none of them tells it.
    pub fn need(&mut self, is_reader: bool, now: Monotonic) -> Need {
        let Some(revision) = self.revision else {
            return Need::All;
        };
        if self.awaits_configuration() {
            let awaited = *self.awaited.get_or_insert(now);
            if is_reader || now.saturating_sub(awaited) >= TOLD_WITHIN {
                return Need::Configuration;
            }
        }
        if is_reader {
            Need::Changes(revision)
        } else {
            Need::Nothing
        }
    }

    /// Makes the next question; none before all was read once.
    pub fn question(&mut self, now: Monotonic) -> Option<Question> {
        let revision = self.revision?;
        self.number += 1;
        self.asked = Some((self.number, now));
        Some(Question {
            number: self.number,
            revision,
            configuration: self.awaits_configuration().then_some(self.read),
        })
    }

    /// Answers a question; none if nothing is known or the changes are no longer kept.
    #[must_use]
    pub fn answer(&self, question: Question, age: Duration) -> Option<Answer> {
        let answer = self.since(question.revision, age)?;
        Some(Answer {
            number: Some(question.number),
            ..answer
        })
    }

    /// Returns the changes after `since` for those who did not ask. Those who know an earlier generation only learn that there is
    /// another one.
    #[must_use]
    pub fn since(&self, since: Revision, age: Duration) -> Option<Answer> {
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
        let changes: Vec<_> = later.take(TOLD).cloned().collect();
        let is_cut = changes.len() == TOLD;
        let last = changes.last().map_or(known, |(revision, _)| *revision);
        let until = if is_cut { last } else { known };
        Some(Answer {
            number: None,
            since,
            until,
            age,
            changes,
        })
    }

    /// Takes an answer of a reader. Returns what is new, and as of when all up to now is known, if it is.
    pub fn hear(&mut self, answer: Answer) -> (Vec<Published>, Option<Monotonic>) {
        let Some(known) = self.revision else {
            return (Vec::new(), None);
        };
        if answer.since > known || answer.until.generation < known.generation {
            // Changes between are missing, and the next question asks for them; or the reader is behind.
            return (Vec::new(), None);
        }
        let until = answer.until;
        let new = self.take(answer.changes, until);
        // A reader that knows less than this gateway confirms nothing.
        let is_whole = until >= known && self.heard <= self.read;
        let asked = self
            .asked
            .filter(|(number, _)| Some(*number) == answer.number);
        let asked = asked.map(|(_, at)| at.saturating_sub(answer.age));
        (new, asked.filter(|_| is_whole))
    }
}

/// Returns the readers among the gateways of one failure domain that live and reach the store.
#[must_use]
pub fn readers(mut able: Vec<&Entry>) -> Vec<&Entry> {
    if able.len() > ALL_READ {
        able.sort_by_key(|entry| std::cmp::Reverse(rendezvous("readers", &entry.instance)));
        able.truncate(READERS);
    }
    able
}

/// Returns whether knowledge of this age is so old that a gateway reads by itself.
#[must_use]
pub fn helps_itself(age: Option<Duration>) -> bool {
    age.is_none_or(|age| age > HELP_YOURSELF)
}
