//! Requests that may still crash an upstream after their attempt there was given up.
//!
//! An upstream may go on with an attempt that ran out of time. If it crashes then, nobody waits for its answer and sees the
//! connection break. Such attempts are kept for a while, and are charged with the crash when it shows: to another request there,
//! or because another start of an upstream is listed at the address. An upstream that leaves as planned says so, or serves for a
//! while after it was removed from the list, before its address is used again.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_gateway::prompt::Part;
use auburnline_gateway::quarantine::Fingerprint;
use auburnline_gateway::quarantine::StartTag;
use auburnline_gateway::quarantine::part::Stage;
use auburnline_gateway::quarantine::start_tag;
use auburnline_gateway::upstream::Upstream;

/// Time for which an attempt is kept: until a restarted upstream is listed again.
const RETENTION: Duration = Duration::from_secs(8);
/// Time from the removal of an upstream from the list within which another one at its address shows a crash.
const REPLACEMENT_TIME: Duration = Duration::from_secs(2);
/// Maximum number of attempts kept.
const MAX_ATTEMPTS: usize = 1_024;

/// An attempt that was given up without an answer.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// The caller's id for its attempt.
    pub(crate) id: String,
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) request: Fingerprint,
    pub(crate) parts: Vec<Part>,
    /// How far its answer was.
    pub(crate) stage: Stage,
    pub(crate) given_up: Monotonic,
}

/// An attempt, and when its upstream was removed from the list.
#[derive(Clone, Debug)]
struct Entry {
    attempt: Attempt,
    removed: Option<Monotonic>,
}

/// Attempts that were given up a short time ago, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspects {
    entries: Vec<Entry>,
    /// Upstreams that are about to be checked again.
    probed: BTreeSet<StartTag>,
}

impl Suspects {
    /// Records that a check of an upstream waits; returns `false` if one does already.
    pub(crate) fn begin_probe(&mut self, start: StartTag) -> bool {
        self.probed.insert(start)
    }

    pub(crate) fn end_probe(&mut self, start: StartTag) {
        self.probed.remove(&start);
    }

    pub(crate) fn add(&mut self, attempt: Attempt) {
        let now = attempt.given_up;
        self.entries.retain(|known| known.is_recent(now));
        if self.entries.len() >= MAX_ATTEMPTS {
            self.entries.remove(0);
        }
        self.entries.push(Entry {
            attempt,
            removed: None,
        });
    }

    /// Drops the attempts of a request that was answered since.
    pub(crate) fn clear(&mut self, request: Fingerprint) {
        self.entries
            .retain(|known| known.attempt.request != request);
    }

    /// Drops the attempts at an upstream that leaves as planned.
    pub(crate) fn forget(&mut self, leaving: &Upstream) {
        let start = start_tag(leaving);
        self.entries.retain(|known| known.start() != start);
    }

    /// Records that an upstream was removed from the list.
    pub(crate) fn remove(&mut self, removed: &Upstream, now: Monotonic) {
        let start = start_tag(removed);
        for known in self
            .entries
            .iter_mut()
            .filter(|known| known.start() == start)
        {
            known.removed.get_or_insert(now);
        }
    }

    /// Takes the attempts at a start of an upstream that has crashed.
    pub(crate) fn take(&mut self, crashed: &Upstream, now: Monotonic) -> Vec<Attempt> {
        let start = start_tag(crashed);
        self.take_if(|known| known.is_recent(now) && known.start() == start)
    }

    /// Takes the attempts at a start that crashed, since another one is listed at its address.
    pub(crate) fn take_replaced(&mut self, listed: &Upstream, now: Monotonic) -> Vec<Attempt> {
        let start = start_tag(listed);
        self.take_if(|known| {
            let was_listed = known
                .removed
                .is_none_or(|at| now.saturating_sub(at) < REPLACEMENT_TIME);
            let is_other = known.start() != start;
            let is_there = known.attempt.upstream.address == listed.address;
            known.is_recent(now) && was_listed && is_other && is_there
        })
    }

    fn take_if(&mut self, is_taken: impl Fn(&Entry) -> bool) -> Vec<Attempt> {
        let taken = self.entries.extract_if(.., |known| is_taken(known));
        taken.map(|known| known.attempt).collect()
    }
}

impl Entry {
    fn is_recent(&self, now: Monotonic) -> bool {
        now.saturating_sub(self.attempt.given_up) < RETENTION
    }

    fn start(&self) -> StartTag {
        start_tag(&self.attempt.upstream)
    }
}
