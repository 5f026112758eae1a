//! Parts of prompts that crash the upstreams that run them, as gateways report and hold them.
//!
//! Requests that have such a part in common may differ in all else, so each of them is there at one crash only. Many sound
//! parts are there as well: those of the requests beside it, and the other parts of its own prompt. Three things tell them
//! apart. A whole answer clears a part, and one from before a crash makes it less suspect. Crashes at one moment may have a common
//! cause. And each crash is put down to one part only (`verdict`).

use std::collections::BTreeSet;
use std::time::Duration;

use auburnline_core::hash::stable;
use auburnline_core::time::Monotonic;
use serde::Deserialize;
use serde::Serialize;

use crate::prompt::Part;
use crate::quarantine::StartTag;
use crate::quarantine::Timestamp;
use crate::quarantine::evidence::Crash;

/// Number of events of an answer that count as its beginning.
const BEGINNING_EVENTS: u64 = 4;
/// Maximum number of marks in one message, so that it fits into one packet.
pub const MAX_MARKS: usize = 48;

/// Maximum number of prompts remembered of one part at one crash.
const MAX_PROMPTS: usize = 4;

/// Hashes of prompts with a part under which an upstream crashed: the smallest ones, so that all gateways keep the same, and
/// zeros.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Prompts([u32; MAX_PROMPTS]);

impl Prompts {
    /// Returns the prompt that has these shared parts.
    #[must_use]
    pub fn of(parts: &[Part]) -> Prompts {
        let hash = parts
            .iter()
            .fold(0, |hash, part| stable(hash, &part.to_le_bytes()));
        let mut prompts = Prompts::default();
        // The upper half is as good as the whole.
        prompts.0[0] = u32::try_from(hash >> 32).unwrap_or_default();
        prompts
    }

    fn hashes(&self) -> impl Iterator<Item = u32> {
        self.0.into_iter().filter(|hash| *hash != 0)
    }

    /// Adds the prompts of `other`.
    pub(super) fn merge(&mut self, other: &Prompts) {
        let hashes: BTreeSet<u32> = self.hashes().chain(other.hashes()).collect();
        self.0 = [0; MAX_PROMPTS];
        for (kept, hash) in self.0.iter_mut().zip(hashes) {
            *kept = hash;
        }
    }

    /// Returns whether one prompt is known of both.
    pub(super) fn overlaps(&self, other: &Prompts) -> bool {
        self.hashes().any(|hash| other.0.contains(&hash))
    }

    pub(super) fn len(&self) -> usize {
        self.hashes().count()
    }
}

/// How far an answer was when its upstream crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// No byte of it had arrived.
    Waiting,
    /// It had just begun.
    Beginning,
    /// It was past its beginning.
    Underway,
}

impl Stage {
    /// Returns the stage of an answer that has begun and of which these events have arrived.
    #[must_use]
    pub const fn after(events: u64) -> Stage {
        if events < BEGINNING_EVENTS {
            Stage::Beginning
        } else {
            Stage::Underway
        }
    }
}

/// Attempt that an upstream had begun to run when it crashed.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    shared: &'a [Part],
    last: Option<Part>,
    upstream: StartTag,
    stage: Stage,
    ended: Monotonic,
}

impl<'a> Attempt<'a> {
    /// Creates an attempt at this start of an upstream, of a request with these shared parts. It ended at `ended`, at the crash
    /// or before, with its answer at `stage`.
    #[must_use]
    pub const fn new(
        shared: &'a [Part],
        upstream: StartTag,
        stage: Stage,
        ended: Monotonic,
    ) -> Attempt<'a> {
        Attempt {
            shared,
            last: None,
            upstream,
            stage,
            ended,
        }
    }

    /// Sets the last part of the prompt.
    #[must_use]
    pub const fn with_last(mut self, last: Option<Part>) -> Attempt<'a> {
        self.last = last;
        self
    }

    /// Returns all parts of the prompt.
    pub(super) fn parts(&self) -> impl Iterator<Item = Part> {
        self.shared.iter().copied().chain(self.last)
    }

    /// Returns the prompt. Prompts that differ in the last part alone are one, so that the verdict on shared parts does not depend
    /// on it.
    fn prompts(&self) -> Prompts {
        match self.last {
            Some(last) if self.shared.is_empty() => Prompts::of(&[last]),
            _ => Prompts::of(self.shared),
        }
    }

    pub(super) const fn ended(&self) -> Monotonic {
        self.ended
    }

    /// Returns the crash under it, which happened at `at`.
    pub(super) fn crash(&self, at: Timestamp) -> Crash {
        Crash {
            upstream: self.upstream,
            at,
            stage: self.stage,
            prompts: self.prompts(),
        }
    }
}

/// What a gateway saw of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// This start of an upstream crashed while it ran requests with the part.
    Crashed {
        /// The start of the upstream.
        upstream: StartTag,
        /// How far the most advanced of these requests was.
        stage: Stage,
        /// Prompts of some of them.
        prompts: Prompts,
    },
    /// A request with the part had its whole answer.
    Answered,
    /// An answer to a request with the part was past its beginning. Earlier versions send it; it does not show that the part is
    /// sound.
    Survived,
}

/// Report on a part, as gateways exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The part.
    pub part: Part,
    /// What was seen.
    pub outcome: Outcome,
    /// Time since then, in milliseconds.
    pub age_ms: u32,
}

impl Mark {
    pub(super) fn new(part: Part, outcome: Outcome, age: Duration) -> Mark {
        Mark {
            part,
            outcome,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// Crash on which a verdict stands, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ground {
    /// The start of the upstream.
    pub upstream: StartTag,
    /// Time since the crash.
    pub age: Duration,
    /// How far the most advanced request with the part was.
    pub stage: Stage,
}

/// Why a request is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grounds {
    /// Parts of its prompt that are held together.
    pub parts: Vec<Part>,
    /// Crashes that they explain.
    pub crashes: Vec<Ground>,
    /// Time until a request with these parts may be tried again.
    pub left: Duration,
}
