//! A slot's ledger of request ids: the one place that says whether a request ran here.
//!
//! The ledger knows each id that this incarnation of the slot admitted or refused for good, keeps
//! the answer's bytes until they are acknowledged or their time is up, and keeps the bare id until
//! no duplicate of it can arrive any more. It is lost with its process; that is what incarnations
//! and uptimes in its answers are for. It knows nothing of sessions, queues or upstreams: the slot
//! tells it what happened, and does what its answers say.
//!
//! An id of non-idempotent work is kept for [`KEPT`] of counted time from its first mention. A
//! submission older than [`WINDOW`] is refused as unknown, so a duplicate that arrives finds its id
//! as long as no session holds a frame back for longer than [`KEPT`] - [`WINDOW`]. Counted time
//! moves by no more than [`MAX_STEP`] between two calls: while the slot is paused, frames wait in
//! its sockets and ids must not grow old.

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

/// Oldest first send that is still served; a key is not to be used for longer.
pub const WINDOW: Duration = Duration::from_mins(5);
/// Time for which an id is kept: the window, and a minute for frames that sessions hold back.
pub const KEPT: Duration = Duration::from_mins(6);
/// Usual time for which an answer's bytes are kept after its end.
pub const ANSWER_KEPT: Duration = Duration::from_mins(1);
/// Most that counted time moves between two calls.
pub const MAX_STEP: Duration = Duration::from_secs(1);
/// Most expired ids that one call drops.
const MAX_EXPIRED: usize = 64;
/// Usual bound of the number of ids.
pub const MAX_ENTRIES: usize = 65_536;
/// Usual bound of the bytes of answers.
pub const MAX_BYTES: usize = 64 << 20;
/// Longest id, in bytes.
pub const MAX_ID_BYTES: usize = 256;

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Most ids.
    pub entries: usize,
    /// Most bytes of answers.
    pub bytes: usize,
    /// Time for which an answer's bytes are kept after its end.
    pub answer: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            entries: MAX_ENTRIES,
            bytes: MAX_BYTES,
            answer: ANSWER_KEPT,
        }
    }
}

/// Ledger of one slot incarnation.
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
    born: Monotonic,
    last: Monotonic,
    counted: Duration,
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
            born: now,
            last: now,
            counted: Duration::ZERO,
        }
    }

    /// Returns the slot's incarnation.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the number of ids held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no id is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the bytes of answers held.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of requests that are queued or running.
    #[must_use]
    pub const fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Raises the revision below which senders are refused; it never falls.
    pub fn revise(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Sets whether new work is refused; what is known stays served.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Decides on a submission. [`Verdict::Admitted`] means: queue it now, once.
    pub fn submit(&mut self, now: Monotonic, submission: &Submission) -> Verdict {
        self.advance(now);
        if submission.incarnation != self.incarnation {
            return Verdict::Dropped;
        }
        if let Some(verdict) = self.known(submission) {
            return verdict;
        }
        if let Some(kind) = self.obstacle(submission) {
            return self.refuse(submission, kind);
        }
        if !submission.idempotent && !self.covers(now, submission.age) {
            return Verdict::Unsure;
        }
        self.insert(&submission.id, Entry::queued(submission, self.counted));
        self.in_flight += 1;
        Verdict::Admitted
    }

    /// Tells what is known of `id`.
    pub fn locate(&mut self, now: Monotonic, id: &RequestId) -> Finding {
        self.advance(now);
        let presence = self
            .entries
            .get(id)
            .map_or(Presence::Absent, Entry::presence);
        self.finding(now, presence)
    }

    /// Refuses an id for good unless it is known, and tells what holds now; the first fence stays.
    pub fn fence(&mut self, now: Monotonic, fence: &Fence) -> Finding {
        self.advance(now);
        let presence = self.refuse_for_good(fence);
        self.finding(now, presence)
    }

    /// Marks a queued request as handed to the upstream; `false` means that it must not be.
    ///
    /// Call it before the first byte goes to the upstream: from here on its fate can be unknown.
    ///
    /// # Panics
    ///
    /// Panics if a non-idempotent id would start twice, which the states exclude.
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
        let once = entry.idempotent || entry.runs == 1;
        assert!(once, "invariant: a non-idempotent id starts once");
        true
    }

    /// Appends bytes of a running answer; `false` means that nothing was taken.
    ///
    /// The slot then stops reading the upstream until [`Ledger::has_space`] says otherwise.
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

    /// Returns whether `bytes` more can be kept without dropping a running answer.
    #[must_use]
    pub const fn has_space(&self, bytes: usize) -> bool {
        self.bytes + bytes <= self.bounds.bytes
    }

    /// Marks a running request as ended with its whole answer.
    pub fn finish(&mut self, now: Monotonic, id: &RequestId) {
        self.end(now, id, |entry| State::Finished(entry.answer.last()));
    }

    /// Marks a running request as ended by the upstream's word that it failed, or by a cancel.
    ///
    /// A non-idempotent request that the upstream is proved not to have run is refused for good
    /// here, as if it had been cancelled in time: it may have gone to another slot since, which a
    /// claim must not miss because this one still knows the id.
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

    /// Marks a running request as lost: the upstream may have run it or not.
    pub fn lose(&mut self, now: Monotonic, id: &RequestId) {
        self.end(now, id, |_| State::Lost);
    }

    /// Cancels a request; one that is only queued is proved not to run.
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

    /// Frees the bytes before `offset`, which the caller has; the id stays.
    pub fn acknowledge(&mut self, now: Monotonic, id: &RequestId, offset: Offset) {
        self.advance(now);
        if let Some(entry) = self.entries.get_mut(id) {
            self.bytes -= entry.answer.trim(offset);
        }
    }

    /// Reads up to `max` bytes of an answer from `offset`, for a stream, a resume or a replay.
    #[must_use]
    pub fn read(&self, id: &RequestId, offset: Offset, max: usize) -> Chunk<'_> {
        let Some(entry) = self.entries.get(id) else {
            return Chunk::Absent;
        };
        entry.read(offset, max)
    }

    /// Returns the attempt number that an id was admitted under, which its frames carry.
    #[must_use]
    pub fn attempt(&self, id: &RequestId) -> Option<auburnline_core::id::Attempt> {
        self.entries.get(id).map(|entry| entry.attempt)
    }

    /// Drops what has expired; call it a few times a second.
    pub fn tick(&mut self, now: Monotonic) {
        self.advance(now);
        for _ in 0..MAX_EXPIRED {
            let Some(id) = self.expiry.pop(self.counted) else {
                break;
            };
            self.expire(&id);
        }
        debug_assert!(self.invariant_bounds());
    }

    /// Whether the bounds hold and the bytes are counted right.
    #[must_use]
    pub fn invariant_bounds(&self) -> bool {
        let bytes: usize = self.entries.values().map(|entry| entry.answer.held()).sum();
        self.entries.len() <= self.bounds.entries
            && self.bytes <= self.bounds.bytes
            && bytes == self.bytes
    }

    fn refuse_for_good(&mut self, fence: &Fence) -> Presence {
        if let Some(entry) = self.entries.get(&fence.id) {
            return entry.presence();
        }
        if fence.revision < self.revision {
            return Presence::Stale(self.revision);
        }
        if !self.has_room(&fence.id) {
            return Presence::Full;
        }
        let entry = Entry::fenced(fence.favoured.clone(), self.counted);
        let presence = entry.presence();
        self.insert(&fence.id, entry);
        presence
    }

    fn known(&mut self, submission: &Submission) -> Option<Verdict> {
        let entry = self.entries.get(&submission.id)?;
        if let State::Fenced(_) = entry.state {
            return Some(self.refuse(submission, Kind::Fenced));
        }
        if entry.fingerprint != submission.fingerprint {
            return Some(self.refuse(submission, Kind::KeyReused));
        }
        if submission.idempotent && entry.is_spent() {
            self.remove(&submission.id.clone());
            return None;
        }
        Some(Verdict::Attached(entry.standing()))
    }

    fn obstacle(&self, submission: &Submission) -> Option<Kind> {
        if submission.revision < self.revision {
            return Some(Kind::StaleRevision);
        }
        if self.draining {
            return Some(Kind::Leaving);
        }
        if submission.id.len() > MAX_ID_BYTES {
            return Some(Kind::BadRequest);
        }
        let room = self.has_room(&submission.id) && self.bytes < self.bounds.bytes;
        (!room).then_some(Kind::Overloaded)
    }

    /// Whether this ledger has seen all of a request's past that could matter here.
    fn covers(&self, now: Monotonic, age: Duration) -> bool {
        age <= WINDOW && age <= now.saturating_sub(self.born)
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
            uptime: now.saturating_sub(self.born),
            presence,
            also: Vec::<InstanceId>::new(),
        }
    }

    fn has_room(&self, id: &RequestId) -> bool {
        self.entries.len() < self.bounds.entries && id.len() <= MAX_ID_BYTES
    }

    fn insert(&mut self, id: &RequestId, entry: Entry) {
        self.expiry.push(self.counted + KEPT, id.clone());
        let before = self.entries.insert(id.clone(), entry);
        assert!(before.is_none(), "invariant: an id is entered once");
    }

    fn end(&mut self, now: Monotonic, id: &RequestId, next: impl FnOnce(&Entry) -> State) {
        self.advance(now);
        let counted = self.counted;
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if entry.state != State::Running {
            return;
        }
        entry.state = next(entry);
        entry.ended = counted;
        self.in_flight -= 1;
        self.ended.push(counted, id.clone());
        self.expiry.push(counted + self.bounds.answer, id.clone());
    }

    fn expire(&mut self, id: &RequestId) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if entry.state.is_live() {
            self.expiry.push(self.counted + KEPT, id.clone());
            return;
        }
        if self.counted >= entry.ended + self.bounds.answer {
            self.bytes -= entry.answer.clear();
        }
        let ended = entry.ended;
        let done = entry.created + KEPT <= self.counted && entry.answer.held() == 0;
        if done {
            self.ended.remove(ended, id);
            self.remove(id);
        }
    }

    fn remove(&mut self, id: &RequestId) {
        if let Some(mut entry) = self.entries.remove(id) {
            self.bytes -= entry.answer.clear();
        }
    }

    /// Drops the bytes of the answers that ended first until `bytes` more fit.
    fn make_space(&mut self, bytes: usize) -> bool {
        while !self.has_space(bytes) {
            let Some(id) = self.ended.pop(self.counted) else {
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
        let step = now.saturating_sub(self.last);
        self.counted += step.min(MAX_STEP);
        self.last = self.last.max(now);
    }
}
