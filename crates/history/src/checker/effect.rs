//! Effects against answers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use auburnline_core::error::Fate;
use auburnline_core::id::Attempt;
use auburnline_core::id::RequestId;

use super::Checker;
use super::Violation;
use crate::record::Answer;
use crate::record::Call;
use crate::record::Effect;

/// Effects of each request in order of time.
type Effects<'a> = BTreeMap<&'a RequestId, Vec<&'a (u64, Effect)>>;

pub(super) fn check(checker: &Checker, found: &mut BTreeSet<Violation>) {
    let mut effects = Effects::new();
    for effect in &checker.effects {
        effects.entry(&effect.1.id).or_default().push(effect);
    }
    doubled(checker, &effects, found);
    for (at, answer) in &checker.answers {
        let Some((_, call)) = checker.calls.get(&answer.call) else {
            continue;
        };
        match (answer.fate, answer.kind) {
            (Some(Fate::NotRun), _) => not_run(checker, &effects, *at, call, found),
            (Some(Fate::Ran), None) => own(checker, &effects, call, answer, found),
            _ => {}
        }
    }
}

/// A request is non-idempotent if any of its calls says so.
fn doubled(checker: &Checker, effects: &Effects<'_>, found: &mut BTreeSet<Violation>) {
    let mut once = BTreeSet::new();
    for (_, call) in checker.calls.values() {
        if !call.idempotent {
            once.insert(&call.id);
        }
    }
    for (id, runs) in effects {
        if runs.len() > 1 && once.contains(id) {
            found.insert(Violation::Doubled {
                id: (*id).clone(),
                upstreams: runs.iter().map(|(_, run)| run.upstream.clone()).collect(),
            });
        }
    }
}

fn not_run(
    checker: &Checker,
    effects: &Effects<'_>,
    at: u64,
    call: &Call,
    found: &mut BTreeSet<Violation>,
) {
    let later = || {
        let newer = |(sent, other): &(u64, Call)| *sent > at && other.id == call.id;
        checker.calls.values().any(newer)
    };
    for (_, effect) in effects.get(&call.id).into_iter().flatten() {
        let broken = match (effect.attempt, call.attempt) {
            (Some(ran), Some(told)) => ran <= told,
            _ => !later(),
        };
        if broken {
            found.insert(false_not_run(call, effect.attempt));
        }
    }
}

fn false_not_run(call: &Call, attempt: Option<Attempt>) -> Violation {
    Violation::FalseNotRun {
        id: call.id.clone(),
        call: call.call,
        attempt,
    }
}

fn own(
    checker: &Checker,
    effects: &Effects<'_>,
    call: &Call,
    answer: &Answer,
    found: &mut BTreeSet<Violation>,
) {
    let Some(digest) = &answer.digest else {
        return;
    };
    let mut runs = effects.get(&call.id).into_iter().flatten();
    if runs.any(|(_, effect)| effect.digest == *digest) {
        return;
    }
    let other = checker
        .effects
        .iter()
        .find(|(_, effect)| effect.digest == *digest);
    found.insert(match other {
        Some((_, effect)) => Violation::Crossed {
            call: call.call,
            other: effect.id.clone(),
        },
        None => Violation::NotWhole { call: call.call },
    });
}
