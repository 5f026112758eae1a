//! What must always hold, checked over a whole history.
//!
//! The checks: a non-idempotent request has at most one effect; a request that was said not to have
//! run has none, from that attempt or an earlier one; a successful answer is the whole answer of an
//! effect of the same request; each call ends once; a process never goes back to an older revision
//! and one revision has one content; in each step all ranks of a group use one map, and maps never
//! go back.
//!
//! A call whose connection ended without an answer claims nothing, and an answer of unknown fate
//! fits any number of effects that the request may have. [`Summary`] counts both, so that a run in
//! which nothing was ever answered does not look like a good one.

mod configuration;
mod effect;
mod map;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use auburnline_core::error::Fate;
use auburnline_core::id::Attempt;
use auburnline_core::id::Generation;
use auburnline_core::id::GroupId;
use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::id::RequestId;
use auburnline_core::id::Revision;
use auburnline_core::id::Step;

use crate::record::Answer;
use crate::record::Call;
use crate::record::CallId;
use crate::record::Configuration;
use crate::record::Effect;
use crate::record::Line;
use crate::record::MapStep;
use crate::record::Record;

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A non-idempotent request ran more than once.
    Doubled {
        /// Request.
        id: RequestId,
        /// Upstreams that ran it, in order.
        upstreams: Vec<InstanceId>,
    },
    /// A request ran that was said not to have run.
    FalseNotRun {
        /// Request.
        id: RequestId,
        /// Call that was told so.
        call: CallId,
        /// Attempt that ran.
        attempt: Option<Attempt>,
    },
    /// A caller got another request's answer.
    Crossed {
        /// Call.
        call: CallId,
        /// Request whose answer it got.
        other: RequestId,
    },
    /// A successful answer is no whole answer of any effect.
    NotWhole {
        /// Call.
        call: CallId,
    },
    /// A call ended more than once.
    AnsweredTwice {
        /// Call.
        call: CallId,
    },
    /// A call never ended.
    Unanswered {
        /// Call.
        call: CallId,
    },
    /// An answer's kind and fate disagree with the table, or no such call was made.
    Malformed {
        /// Call.
        call: CallId,
    },
    /// A process went back to an older revision.
    Reverted {
        /// Process.
        process: InstanceId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Revision before.
        from: Revision,
        /// Revision after.
        to: Revision,
    },
    /// One revision was in force with two contents.
    Split {
        /// Revision.
        revision: Revision,
    },
    /// Ranks of one step used different maps.
    MapSplit {
        /// Group.
        group: GroupId,
        /// Step.
        step: Step,
    },
    /// A later step used an older map.
    MapReverted {
        /// Group.
        group: GroupId,
        /// Step.
        step: Step,
        /// Generation of an earlier step.
        from: Generation,
        /// Generation of this step.
        to: Generation,
    },
}

/// Counts of what a history holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Calls.
    pub calls: u64,
    /// Successful answers.
    pub answered: u64,
    /// Answers that say "ran" without a whole answer.
    pub ran: u64,
    /// Answers that say "not run".
    pub not_run: u64,
    /// Answers that say "unknown".
    pub unknown: u64,
    /// Connections that ended without an answer.
    pub cut: u64,
    /// Effects.
    pub effects: u64,
    /// Configurations seen.
    pub configurations: u64,
    /// Steps of ranks.
    pub steps: u64,
}

/// A history, sorted into what the checks need.
#[derive(Debug, Default)]
pub struct Checker {
    calls: BTreeMap<CallId, (u64, Call)>,
    answers: Vec<(u64, Answer)>,
    effects: Vec<(u64, Effect)>,
    configurations: Vec<Configuration>,
    steps: Vec<MapStep>,
}

impl Checker {
    /// Checks `lines`, of all files of a run in any order of files, and returns what is broken.
    #[must_use]
    pub fn check(lines: &[Line]) -> Vec<Violation> {
        Checker::new(lines).violations()
    }

    /// Sorts `lines` by time; lines of equal time keep their order.
    #[must_use]
    pub fn new(lines: &[Line]) -> Self {
        let mut sorted: Vec<&Line> = lines.iter().collect();
        sorted.sort_by_key(|line| line.at);
        let mut checker = Checker::default();
        for line in sorted {
            checker.add(line);
        }
        checker
    }

    /// Returns all violations, sorted, each once.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        let mut found = BTreeSet::new();
        self.check_ends(&mut found);
        effect::check(self, &mut found);
        configuration::check(&self.configurations, &mut found);
        map::check(&self.steps, &mut found);
        found.into_iter().collect()
    }

    /// Returns the counts.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let mut summary = Summary {
            calls: self.calls.len() as u64,
            effects: self.effects.len() as u64,
            configurations: self.configurations.len() as u64,
            steps: self.steps.len() as u64,
            ..Summary::default()
        };
        for (_, answer) in &self.answers {
            let counter = match (answer.fate, answer.kind) {
                (None, _) => &mut summary.cut,
                (Some(Fate::Ran), None) => &mut summary.answered,
                (Some(Fate::Ran), Some(_)) => &mut summary.ran,
                (Some(Fate::NotRun), _) => &mut summary.not_run,
                (Some(Fate::Unknown), _) => &mut summary.unknown,
            };
            *counter += 1;
        }
        summary
    }

    fn add(&mut self, line: &Line) {
        match &line.record {
            Record::Call(call) => {
                self.calls.insert(call.call, (line.at, call.clone()));
            }
            Record::Answer(answer) => self.answers.push((line.at, answer.clone())),
            Record::Effect(effect) => self.effects.push((line.at, effect.clone())),
            Record::Configuration(seen) => self.configurations.push(seen.clone()),
            Record::Step(step) => self.steps.push(step.clone()),
        }
    }

    fn check_ends(&self, found: &mut BTreeSet<Violation>) {
        let mut ended = BTreeSet::new();
        for (_, answer) in &self.answers {
            let call = answer.call;
            if !ended.insert(call) {
                found.insert(Violation::AnsweredTwice { call });
            }
            if !self.calls.contains_key(&call) || !well_formed(answer) {
                found.insert(Violation::Malformed { call });
            }
        }
        let open = self.calls.keys().filter(|call| !ended.contains(call));
        found.extend(open.map(|&call| Violation::Unanswered { call }));
    }
}

/// Whether fate, kind and digest of an answer agree.
fn well_formed(answer: &Answer) -> bool {
    match (answer.fate, answer.kind) {
        (None, kind) => kind.is_none(),
        (Some(fate), Some(kind)) => kind.fate() == fate,
        (Some(fate), None) => fate == Fate::Ran && answer.digest.is_some(),
    }
}
