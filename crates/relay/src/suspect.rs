//! Attempts that may still crash their upstreams after they have ended here.
//!
//! An upstream may go on with a request when nobody waits for its answer any more: the caller has left, the attempt ran out of
//! time, or another attempt was faster. It may also crash right after an answer that reports an error. So each attempt that
//! ends without success is kept for a while, and is charged with the crash of its upstream when that shows: to another request
//! there, to a probe, or because another start of an upstream is listed at the address. An upstream that leaves as planned says
//! so, or serves for a while after it was removed from the list, before its address is used again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_gateway::prompt::Part;
use auburnline_gateway::quarantine::Fingerprint;
use auburnline_gateway::quarantine::StartTag;
use auburnline_gateway::quarantine::part;
use auburnline_gateway::quarantine::part::Stage;
use auburnline_gateway::quarantine::start_tag;
use auburnline_gateway::upstream::Upstream;

/// Time for which an attempt without an answer is kept: until a restarted upstream is listed again.
const RETENTION: Duration = Duration::from_secs(8);
/// Time for which an attempt with a whole answer is kept. Its upstream has nothing left to run, so it crashes soon or not at all.
const ANSWERED_RETENTION: Duration = Duration::from_secs(3);
/// Time from the removal of an upstream from the list within which another one at its address shows a crash.
const REPLACEMENT_TIME: Duration = Duration::from_secs(2);
/// Time from the end of an attempt until its upstream is probed: it may close connections a moment before it stops listening.
const PROBE_DELAY: Duration = Duration::from_millis(400);
/// Maximum number of attempts kept.
const MAX_ATTEMPTS: usize = 4_096;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// Without a whole answer.
    Unanswered,
    /// With a whole answer that reports a failure of the upstream.
    Failed,
    /// With a whole answer that rejects the request.
    Rejected,
}

/// An attempt that ended without success.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// The caller's id for its attempt, shortened.
    pub(crate) id: String,
    pub(crate) upstream: Arc<Upstream>,
    pub(crate) request: Fingerprint,
    /// Shared parts of its prompt.
    pub(crate) shared_parts: Vec<Part>,
    pub(crate) last_part: Option<Part>,
    /// How far its answer was.
    pub(crate) stage: Stage,
    pub(crate) end: End,
    pub(crate) ended: Monotonic,
}

impl Attempt {
    /// Returns all parts of the prompt.
    pub(crate) fn parts(&self) -> Vec<Part> {
        let shared = self.shared_parts.iter().copied();
        shared.chain(self.last_part).collect()
    }

    /// Returns it as evidence on the parts of the prompt.
    pub(crate) fn of_parts(&self) -> part::Attempt<'_> {
        let start = start_tag(&self.upstream);
        part::Attempt::new(&self.shared_parts, start, self.stage, self.ended)
            .with_last(self.last_part)
    }
}

/// An attempt, and when its upstream was removed from the list.
#[derive(Clone, Debug)]
struct Entry {
    attempt: Attempt,
    removed: Option<Monotonic>,
}

/// Attempts that ended a short time ago, oldest first, and the probes of their upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspects {
    entries: Vec<Entry>,
    /// Upstreams that wait for a probe, and when it is due.
    probes: BTreeMap<StartTag, (Arc<Upstream>, Monotonic)>,
}

impl Suspects {
    /// Adds an attempt, in place of an earlier one of the same request at the same start of an upstream.
    pub(crate) fn add(&mut self, attempt: Attempt) {
        let start = start_tag(&attempt.upstream);
        let is_same =
            |known: &Entry| known.attempt.request == attempt.request && known.start() == start;
        self.entries.retain(|known| !is_same(known));
        if self.entries.len() >= MAX_ATTEMPTS {
            self.entries.remove(0);
        }
        self.schedule(&attempt.upstream, attempt.ended + PROBE_DELAY);
        self.entries.push(Entry {
            attempt,
            removed: None,
        });
    }

    /// Has an upstream probed at once if it may have crashed.
    pub(crate) fn doubt(&mut self, upstream: &Arc<Upstream>, now: Monotonic) {
        let start = start_tag(upstream);
        if self.entries.iter().any(|known| known.start() == start) {
            self.probes.insert(start, (Arc::clone(upstream), now));
        }
    }

    /// Has an upstream probed then, unless it is probed earlier.
    fn schedule(&mut self, upstream: &Arc<Upstream>, due: Monotonic) {
        let start = start_tag(upstream);
        let probe = || (Arc::clone(upstream), due);
        self.probes.entry(start).or_insert_with(probe);
    }

    /// Returns when the next probe is due.
    pub(crate) fn next_probe(&self) -> Option<Monotonic> {
        self.probes.values().map(|(_, due)| *due).min()
    }

    /// Takes the upstreams whose probe is due.
    pub(crate) fn take_probes(&mut self, now: Monotonic) -> Vec<Arc<Upstream>> {
        let due = self.probes.extract_if(.., |_, (_, due)| *due <= now);
        due.map(|(_, (upstream, _))| upstream).collect()
    }

    /// Records that a probe sent at `sent` found no crash. It came too early for attempts that ended just before, which are
    /// probed again.
    pub(crate) fn record_no_crash(&mut self, upstream: &Arc<Upstream>, sent: Monotonic) {
        let start = start_tag(upstream);
        let of_start = self.entries.iter().filter(|known| known.start() == start);
        let last = of_start.map(|known| known.attempt.ended).max();
        if let Some(last) = last.filter(|last| *last + PROBE_DELAY > sent) {
            self.schedule(upstream, last + PROBE_DELAY);
        }
    }

    /// Drops the attempts that their upstreams have outlived; returns them.
    pub(crate) fn expire(&mut self, now: Monotonic) -> Vec<Attempt> {
        self.take_if(|known| !known.is_recent(now))
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
        let retention = match self.attempt.end {
            End::Unanswered => RETENTION,
            End::Failed | End::Rejected => ANSWERED_RETENTION,
        };
        now.saturating_sub(self.attempt.ended) < retention
    }

    fn start(&self) -> StartTag {
        start_tag(&self.attempt.upstream)
    }
}
