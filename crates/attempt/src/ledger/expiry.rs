//! Queue of request ids ordered by expiry time.

use std::collections::BTreeSet;
use std::time::Duration;

use auburnline_core::id::RequestId;

/// Ids ordered by the ledger time at which they are to be checked for expiry.
#[derive(Debug, Default)]
pub(super) struct Expiry {
    due: BTreeSet<(Duration, RequestId)>,
}

impl Expiry {
    pub(super) fn push(&mut self, at: Duration, id: RequestId) {
        self.due.insert((at, id));
    }

    pub(super) fn remove(&mut self, at: Duration, id: &RequestId) {
        self.due.remove(&(at, id.clone()));
    }

    /// Removes and returns the earliest id that is due at ledger time `elapsed`.
    pub(super) fn pop(&mut self, elapsed: Duration) -> Option<RequestId> {
        let (at, _) = self.due.first()?;
        if *at > elapsed {
            return None;
        }
        self.due.pop_first().map(|(_, id)| id)
    }
}
