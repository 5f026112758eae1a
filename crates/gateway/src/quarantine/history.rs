//! Parts that were answered lately, before any crash.

use std::collections::BTreeMap;

use crate::prompt::Part;
use crate::quarantine::Timestamp;

/// Number of parts after which older ones are forgotten; up to twice as many are remembered.
const MAX_PARTS: usize = 2_048;

/// When parts were last known to be sound. The oldest ones are forgotten first.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    recent: BTreeMap<Part, Timestamp>,
    older: BTreeMap<Part, Timestamp>,
}

impl History {
    pub(super) fn record(&mut self, part: Part, at: Timestamp) {
        if self.recent.len() >= MAX_PARTS && !self.recent.contains_key(&part) {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(part, at);
    }

    pub(super) fn last(&self, part: Part) -> Option<Timestamp> {
        let recent = self.recent.get(&part);
        recent.or_else(|| self.older.get(&part)).copied()
    }
}
