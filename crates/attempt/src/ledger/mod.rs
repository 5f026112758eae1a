//! A slot's ledger of request ids: the single authority on whether a request ran on this slot.
//!
//! The ledger records each id that this incarnation of the slot has admitted or permanently
//! refused. It holds the answer's bytes until they are acknowledged or expire, and the id itself
//! until no duplicate of it can arrive any more. It is held in memory and lost with its process, so
//! its findings carry the slot's incarnation and uptime. It does not handle sessions, queues or
//! upstreams: the slot reports events to it and acts on its results.
//!
//! An id of non-idempotent work is retained for [`ID_RETENTION`] of ledger time after the ledger
//! first receives it. The fate of a submission older than [`RETRY_WINDOW`] is reported as unknown
//! ([`Verdict::Unsure`]), so a duplicate finds its id as long as no session delays a frame by more
//! than [`ID_RETENTION`] - [`RETRY_WINDOW`]. Ledger time advances by at most [`MAX_CLOCK_STEP`]
//! between two calls: frames wait in the sockets of a paused slot, and ids must not expire
//! meanwhile.

mod answer;
mod entry;
mod expiry;
mod report;

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::error::Fate;
use auburnline_core::error::Kind;
use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::id::Offset;
use auburnline_core::id::RequestId;
use auburnline_core::id::Revision;
use auburnline_core::time::Monotonic;

use self::entry::Entry;
use self::entry::State;
use self::expiry::Expiry;
pub use self::report::Cancellation;
pub use self::report::Chunk;
pub use self::report::Fence;
pub use self::report::Finding;
pub use self::report::Presence;
pub use self::report::Refusal;
pub use self::report::Standing;
pub use self::report::Submission;
pub use self::report::Verdict;

/// Greatest age since the first send at which a request is served, and so the life of a key.
pub const RETRY_WINDOW: Duration = Duration::from_mins(5);
/// Ledger time for which an id is retained: [`RETRY_WINDOW`] plus 1 min for frames delayed in
/// sessions.
pub const ID_RETENTION: Duration = Duration::from_mins(6);
/// Default of [`Bounds::answer`].
pub const ANSWER_RETENTION: Duration = Duration::from_mins(1);
/// Greatest advance of ledger time between two calls.
pub const MAX_CLOCK_STEP: Duration = Duration::from_secs(1);
/// Greatest number of expiry entries that one [`Ledger::tick`] handles.
const MAX_EXPIRED: usize = 64;
/// Default of [`Bounds::entries`].
pub const MAX_ENTRIES: usize = 65_536;
/// Default of [`Bounds::bytes`], in bytes.
pub const MAX_BYTES: usize = 64 << 20;
/// Greatest length of an id, in bytes.
pub const MAX_ID_BYTES: usize = 256;

/// Capacity and retention limits of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Greatest number of ids, fenced ones included.
    pub entries: usize,
    /// Greatest total of answer bytes held.
    pub bytes: usize,
    /// Ledger time for which an answer's bytes are held after its end.
    pub answer: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            entries: MAX_ENTRIES,
            bytes: MAX_BYTES,
            answer: ANSWER_RETENTION,
        }
    }
}

/// Ledger of one slot incarnation; `expiry` may hold an id more than once.
#[derive(Debug)]
pub struct Ledger {
    incarnation: Incarnation,
    revision: Revision,
    bounds: Bounds,
    entries: BTreeMap<RequestId, Entry>,
    expiry: Expiry,
    ended: Expiry,
    bytes: usize,
    in_flight: usize,
    draining: bool,
    started: Monotonic,
    last_call: Monotonic,
    elapsed: Duration,
}

impl Ledger {
    /// Returns an empty ledger of a slot that starts at `now`.
    #[must_use]
    pub fn new(now: Monotonic, incarnation: Incarnation, bounds: Bounds) -> Self {
        Ledger {
            incarnation,
            revision: 0,
            bounds,
            entries: BTreeMap::new(),
            expiry: Expiry::default(),
            ended: Expiry::default(),
            bytes: 0,
            in_flight: 0,
            draining: false,
            started: now,
            last_call: now,
            elapsed: Duration::ZERO,
        }
    }

    /// Returns the incarnation of the slot that this ledger belongs to.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the number of ids held, fenced ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no id is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total of answer bytes held.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of requests that are queued or running.
    #[must_use]
    pub const fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Raises the revision below which senders are refused. A lower `revision` has no effect.
    pub fn raise_min_revision(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Sets whether new ids are refused; known ids are still served.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Decides on a submission. On [`Verdict::Admitted`] the caller must queue it once.
    pub fn submit(&mut self, now: Monotonic, submission: &Submission) -> Verdict {
        self.advance(now);
        if submission.incarnation != self.incarnation {
            return Verdict::Dropped;
        }
        if let Some(verdict) = self.known_verdict(submission) {
            return verdict;
        }
        if let Some(kind) = self.refusal_kind(submission) {
            return self.refuse(submission, kind);
        }
        if !submission.idempotent && !self.covers_history(now, submission.age) {
            return Verdict::Unsure;
        }
        self.insert(&submission.id, Entry::queued(submission, self.elapsed));
        self.in_flight += 1;
        Verdict::Admitted
    }

    /// Reports what is known about `id` without changing it.
    pub fn locate(&mut self, now: Monotonic, id: &RequestId) -> Finding {
        self.advance(now);
        let presence = self
            .entries
            .get(id)
            .map_or(Presence::Absent, Entry::presence);
        self.finding(now, presence)
    }

    /// Permanently refuses an id unless it is known, and reports its state. A later fence of the
    /// same id changes nothing.
    pub fn fence(&mut self, now: Monotonic, fence: &Fence) -> Finding {
        self.advance(now);
        let presence = self.insert_fence(fence);
        self.finding(now, presence)
    }

    /// Marks a queued request as running. `false` means that it must not be passed to the upstream.
    ///
    /// Call this before the first byte goes to the upstream, because its fate may be unknown from
    /// then on.
    ///
    /// # Panics
    ///
    /// Panics if a non-idempotent id would start twice, which the state machine rules out.
    #[must_use]
    pub fn start(&mut self, now: Monotonic, id: &RequestId) -> bool {
        self.advance(now);
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if entry.state != State::Queued {
            return false;
        }
        entry.state = State::Running;
        entry.runs += 1;
        let starts_once = entry.idempotent || entry.runs == 1;
        assert!(starts_once, "invariant: a non-idempotent id starts once");
        true
    }

    /// Appends bytes to a running answer. `false` means that none were appended.
    ///
    /// The slot then stops reading from the upstream until [`Ledger::has_space`] returns `true`.
    #[must_use]
    pub fn append(&mut self, now: Monotonic, id: &RequestId, bytes: &[u8]) -> bool {
        self.advance(now);
        if !self.make_space(bytes.len()) {
            return false;
        }
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if entry.state != State::Running {
            return false;
        }
        entry.answer.append(bytes);
        self.bytes += bytes.len();
        true
    }

    /// Returns whether `bytes` more fit within [`Bounds::bytes`] without evicting an ended answer.
    #[must_use]
    pub const fn has_space(&self, bytes: usize) -> bool {
        self.bytes + bytes <= self.bounds.bytes
    }

    /// Marks a running request as ended; the bytes appended so far are its complete answer.
    pub fn finish(&mut self, now: Monotonic, id: &RequestId) {
        self.end(now, id, |entry| State::Finished(entry.answer.last()));
    }

    /// Marks a running request as failed, as reported by the upstream, or as cancelled.
    ///
    /// A non-idempotent request that the upstream is proved not to have run is fenced, as if it had
    /// been cancelled while queued. It may have been sent to another slot since, and a claim must
    /// find that slot instead of stopping at this one because the id is known here.
    pub fn fail(&mut self, now: Monotonic, id: &RequestId, kind: Kind) {
        let not_run = kind.fate() == Fate::NotRun;
        self.end(now, id, |entry| {
            if not_run && !entry.idempotent {
                State::Fenced(None)
            } else {
                State::Failed(kind)
            }
        });
    }

    /// Marks a running request as lost: whether the upstream ran it is unknown.
    pub fn mark_lost(&mut self, now: Monotonic, id: &RequestId) {
        self.end(now, id, |_| State::Lost);
    }

    /// Cancels a request. A queued one is fenced and so proved not to run here; a running one is
    /// left unchanged.
    pub fn cancel(&mut self, now: Monotonic, id: &RequestId) -> Cancellation {
        self.advance(now);
        let Some(entry) = self.entries.get_mut(id) else {
            return Cancellation::Absent;
        };
        match entry.state {
            State::Queued => {
                entry.state = State::Fenced(None);
                self.in_flight -= 1;
                Cancellation::NotRun
            }
            State::Running => Cancellation::Running,
            _ => Cancellation::Ended,
        }
    }

    /// Frees the answer bytes before `offset`, which the caller has received. The id is retained.
    pub fn acknowledge(&mut self, now: Monotonic, id: &RequestId, offset: Offset) {
        self.advance(now);
        if let Some(entry) = self.entries.get_mut(id) {
            self.bytes -= entry.answer.trim(offset);
        }
    }

    /// Reads up to `max` bytes of an answer from `offset`, to stream, resume or replay it.
    #[must_use]
    pub fn read(&self, id: &RequestId, offset: Offset, max: usize) -> Chunk<'_> {
        let Some(entry) = self.entries.get(id) else {
            return Chunk::Absent;
        };
        entry.read(offset, max)
    }

    /// Returns the attempt number with which an id was admitted; its frames carry this number.
    #[must_use]
    pub fn attempt(&self, id: &RequestId) -> Option<auburnline_core::id::Attempt> {
        self.entries.get(id).map(|entry| entry.attempt)
    }

    /// Removes expired answers and ids. Call it a few times a second.
    pub fn tick(&mut self, now: Monotonic) {
        self.advance(now);
        for _ in 0..MAX_EXPIRED {
            let Some(id) = self.expiry.pop(self.elapsed) else {
                break;
            };
            self.expire(&id);
        }
        debug_assert!(self.invariant_bounds());
    }

    /// Returns whether the limits hold and the byte count matches the answers held.
    #[must_use]
    pub fn invariant_bounds(&self) -> bool {
        let bytes: usize = self.entries.values().map(|entry| entry.answer.held()).sum();
        self.entries.len() <= self.bounds.entries
            && self.bytes <= self.bounds.bytes
            && bytes == self.bytes
    }

    fn insert_fence(&mut self, fence: &Fence) -> Presence {
        if let Some(entry) = self.entries.get(&fence.id) {
            return entry.presence();
        }
        if fence.revision < self.revision {
            return Presence::Stale(self.revision);
        }
        if !self.can_insert(&fence.id) {
            return Presence::Full;
        }
        let entry = Entry::fenced(fence.favoured.clone(), self.elapsed);
        let presence = entry.presence();
        self.insert(&fence.id, entry);
        presence
    }

    fn known_verdict(&mut self, submission: &Submission) -> Option<Verdict> {
        let entry = self.entries.get(&submission.id)?;
        if let State::Fenced(_) = entry.state {
            return Some(self.refuse(submission, Kind::Fenced));
        }
        if entry.fingerprint != submission.fingerprint {
            return Some(self.refuse(submission, Kind::KeyReused));
        }
        if submission.idempotent && entry.is_not_replayable() {
            self.remove(&submission.id.clone());
            return None;
        }
        Some(Verdict::Attached(entry.standing()))
    }

    fn refusal_kind(&self, submission: &Submission) -> Option<Kind> {
        if submission.revision < self.revision {
            return Some(Kind::StaleRevision);
        }
        if self.draining {
            return Some(Kind::Leaving);
        }
        if submission.id.len() > MAX_ID_BYTES {
            return Some(Kind::BadRequest);
        }
        let has_capacity = self.can_insert(&submission.id) && self.bytes < self.bounds.bytes;
        (!has_capacity).then_some(Kind::Overloaded)
    }

    /// Returns whether this ledger has been recording since before a request's first send, and the
    /// request is within [`RETRY_WINDOW`].
    fn covers_history(&self, now: Monotonic, age: Duration) -> bool {
        age <= RETRY_WINDOW && age <= now.saturating_sub(self.started)
    }

    fn refuse(&self, submission: &Submission, kind: Kind) -> Verdict {
        Verdict::Refused(Refusal {
            incarnation: self.incarnation,
            id: submission.id.clone(),
            attempt: submission.attempt,
            kind,
            revision: self.revision,
        })
    }

    fn finding(&self, now: Monotonic, presence: Presence) -> Finding {
        Finding {
            incarnation: self.incarnation,
            uptime: now.saturating_sub(self.started),
            presence,
            other_candidates: Vec::<InstanceId>::new(),
        }
    }

    fn can_insert(&self, id: &RequestId) -> bool {
        self.entries.len() < self.bounds.entries && id.len() <= MAX_ID_BYTES
    }

    fn insert(&mut self, id: &RequestId, entry: Entry) {
        self.expiry.push(self.elapsed + ID_RETENTION, id.clone());
        let before = self.entries.insert(id.clone(), entry);
        assert!(before.is_none(), "invariant: an id is entered once");
    }

    fn end(&mut self, now: Monotonic, id: &RequestId, next: impl FnOnce(&Entry) -> State) {
        self.advance(now);
        let elapsed = self.elapsed;
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if entry.state != State::Running {
            return;
        }
        entry.state = next(entry);
        entry.ended = elapsed;
        self.in_flight -= 1;
        self.ended.push(elapsed, id.clone());
        self.expiry.push(elapsed + self.bounds.answer, id.clone());
    }

    fn expire(&mut self, id: &RequestId) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if entry.state.is_live() {
            self.expiry.push(self.elapsed + ID_RETENTION, id.clone());
            return;
        }
        if self.elapsed >= entry.ended + self.bounds.answer {
            self.bytes -= entry.answer.clear();
        }
        let ended = entry.ended;
        let expired = entry.created + ID_RETENTION <= self.elapsed && entry.answer.held() == 0;
        if expired {
            self.ended.remove(ended, id);
            self.remove(id);
        }
    }

    fn remove(&mut self, id: &RequestId) {
        if let Some(mut entry) = self.entries.remove(id) {
            self.bytes -= entry.answer.clear();
        }
    }

    /// Evicts the bytes of the answers that ended first until `bytes` more fit.
    fn make_space(&mut self, bytes: usize) -> bool {
        while !self.has_space(bytes) {
            let Some(id) = self.ended.pop(self.elapsed) else {
                return false;
            };
            if let Some(entry) = self.entries.get_mut(&id)
                && !entry.state.is_live()
            {
                self.bytes -= entry.answer.clear();
            }
        }
        true
    }

    fn advance(&mut self, now: Monotonic) {
        let step = now.saturating_sub(self.last_call);
        self.elapsed += step.min(MAX_CLOCK_STEP);
        self.last_call = self.last_call.max(now);
    }
}
