//! What the history and the logs hold of a request whose promise was broken.

use std::collections::BTreeSet;

use auburnline_core::id::RequestId;
use auburnline_history::checker::Violation;
use auburnline_history::record::CallId;
use auburnline_history::record::Line;
use auburnline_history::record::Record;

use crate::deployment::Deployment;

/// Most requests whose trail is kept.
const REQUESTS: usize = 3;

/// Returns the lines of the history and of the logs that concern the requests of violations.
pub(crate) fn of(found: &[Violation], lines: &[Line], deployment: &Deployment) -> Vec<String> {
    let ids: BTreeSet<RequestId> = found.iter().filter_map(|one| request(one, lines)).collect();
    let mut trail = Vec::new();
    for id in ids.iter().take(REQUESTS) {
        trail.extend(history(id, lines));
        for name in deployment.entries().chain(deployment.slots()) {
            let log = deployment.log(&name);
            let named = log.lines().filter(|line| line.contains(&**id));
            trail.extend(named.map(|line| format!("{name}: {line}")));
        }
    }
    trail
}

fn request(found: &Violation, lines: &[Line]) -> Option<RequestId> {
    match found {
        Violation::Doubled { id, .. } | Violation::FalseNotRun { id, .. } => Some(id.clone()),
        Violation::Crossed { call, .. } | Violation::NotWhole { call } => id_of(*call, lines),
        _ => None,
    }
}

fn id_of(call: CallId, lines: &[Line]) -> Option<RequestId> {
    lines.iter().find_map(|line| match &line.record {
        Record::Call(one) if one.call == call => Some(one.id.clone()),
        _ => None,
    })
}

fn history(id: &RequestId, lines: &[Line]) -> Vec<String> {
    let mut calls = BTreeSet::new();
    let concerns = |line: &&Line| match &line.record {
        Record::Call(call) if call.id == *id => calls.insert(call.call),
        Record::Effect(effect) => effect.id == *id,
        Record::Answer(answer) => calls.contains(&answer.call),
        _ => false,
    };
    let lines = lines.iter().filter(concerns);
    lines.map(|line| format!("{line:?}")).collect()
}
