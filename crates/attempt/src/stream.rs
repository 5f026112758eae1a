//! Receiver of an answer, which accepts only the frames of that answer and only in order.
//!
//! A frame carries the slot incarnation, id, attempt and offset. A frame that does not match is
//! dropped and counted, whether it belongs to another answer or is duplicated, reordered, late or
//! truncated. The last frame carries the answer's length and checksum; unless both match, the
//! answer is incomplete. After a lost session the receiver resumes by offset, but only from the
//! same incarnation, because another one can't hold the rest of the same answer.

use auburnline_core::hash::Checksum;
use auburnline_core::id::Attempt;
use auburnline_core::id::Incarnation;
use auburnline_core::id::Offset;
use auburnline_core::id::RequestId;

/// Length and checksum of a complete answer, as carried by its last frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Last {
    /// Length of the complete answer, in bytes.
    pub length: Offset,
    /// [`Checksum`] of all bytes of the answer.
    pub checksum: u64,
}

/// One frame of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Frame<'a> {
    /// Incarnation of the sending slot.
    pub incarnation: Incarnation,
    /// Id of the request that it answers.
    pub id: &'a RequestId,
    /// Number of the attempt that was admitted, zero if the caller gave none.
    pub attempt: Attempt,
    /// Position of the first byte of `bytes` in the answer.
    pub offset: Offset,
    /// Part of the answer; may be empty on the last frame.
    pub bytes: &'a [u8],
    /// Set on the last frame only.
    pub last: Option<Last>,
}

/// Complete answer whose length and, if received from its first byte, checksum were verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Whole {
    length: Offset,
    checksum: u64,
}

impl Whole {
    /// Returns the length in bytes.
    #[must_use]
    pub const fn length(&self) -> Offset {
        self.length
    }

    /// Returns the checksum that the last frame carried.
    #[must_use]
    pub const fn checksum(&self) -> u64 {
        self.checksum
    }
}

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// It was sent by another slot incarnation.
    Incarnation,
    /// It answers another request.
    Id,
    /// It answers another attempt.
    Attempt,
    /// Its offset is before the next expected byte.
    Duplicate,
    /// Its offset is after the next expected byte.
    Gap,
    /// It arrived after the answer had ended.
    Late,
    /// Its length or checksum does not match the bytes received.
    Damaged,
}

/// Counts of dropped frames by [`Fault`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Frames sent by another slot incarnation.
    pub incarnation: u64,
    /// Frames that answer another request.
    pub id: u64,
    /// Frames that answer another attempt.
    pub attempt: u64,
    /// Frames with an offset before the next expected byte.
    pub duplicate: u64,
    /// Frames with an offset after the next expected byte.
    pub gap: u64,
    /// Frames that arrived after the answer had ended.
    pub late: u64,
    /// Last frames whose length or checksum did not match.
    pub damaged: u64,
}

impl Dropped {
    fn count(&mut self, fault: Fault) {
        let counter = match fault {
            Fault::Incarnation => &mut self.incarnation,
            Fault::Id => &mut self.id,
            Fault::Attempt => &mut self.attempt,
            Fault::Duplicate => &mut self.duplicate,
            Fault::Gap => &mut self.gap,
            Fault::Late => &mut self.late,
            Fault::Damaged => &mut self.damaged,
        };
        *counter += 1;
    }

    /// Returns the sum of all counts.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.incarnation
            + self.id
            + self.attempt
            + self.duplicate
            + self.gap
            + self.late
            + self.damaged
    }
}

/// State of the answer after an accepted frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The frame's bytes are to be passed on; the answer continues.
    More,
    /// The frame's bytes are to be passed on; the answer is complete.
    Whole(Whole),
}

/// Receiver of one answer, which checks each frame against the expected position.
#[derive(Clone, Debug)]
pub struct Receiver {
    incarnation: Incarnation,
    id: RequestId,
    attempt: Attempt,
    start: Offset,
    offset: Offset,
    checksum: Checksum,
    state: State,
    dropped: Dropped,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Whole(Whole),
    Failed,
}

impl Receiver {
    /// Creates a receiver of an answer from its first byte.
    #[must_use]
    pub fn new(incarnation: Incarnation, id: RequestId, attempt: Attempt) -> Self {
        Receiver {
            incarnation,
            id,
            attempt,
            start: 0,
            offset: 0,
            checksum: Checksum::new(),
            state: State::Open,
            dropped: Dropped::default(),
        }
    }

    /// Creates a receiver of the rest of an answer from offset `start`; the caller has the bytes
    /// before.
    ///
    /// If `start` is not zero, only the length is verified: the checksum also covers the earlier
    /// bytes, which the receiver does not have.
    #[must_use]
    pub fn from_offset(
        incarnation: Incarnation,
        id: RequestId,
        attempt: Attempt,
        start: Offset,
    ) -> Self {
        Receiver {
            start,
            offset: start,
            ..Receiver::new(incarnation, id, attempt)
        }
    }

    /// Returns the offset of the next expected byte, from which to resume.
    #[must_use]
    pub const fn offset(&self) -> Offset {
        self.offset
    }

    /// Returns the frames dropped so far.
    #[must_use]
    pub const fn dropped(&self) -> Dropped {
        self.dropped
    }

    /// Returns the length and checksum of the answer, `None` until it is complete.
    #[must_use]
    pub const fn whole(&self) -> Option<Whole> {
        match self.state {
            State::Whole(whole) => Some(whole),
            State::Open | State::Failed => None,
        }
    }

    /// Returns whether the answer can still be completed over a session with `incarnation`.
    #[must_use]
    pub fn resumable(&self, incarnation: Incarnation) -> bool {
        self.state == State::Open && self.incarnation == incarnation
    }

    /// Checks a frame. On success its bytes are the next ones to pass to the caller.
    ///
    /// # Errors
    ///
    /// Returns why the frame was dropped. [`Fault::Damaged`] ends the answer as incomplete.
    pub fn accept(&mut self, frame: &Frame<'_>) -> Result<Progress, Fault> {
        self.check(frame)
            .inspect_err(|&fault| self.dropped.count(fault))?;
        self.checksum.update(frame.bytes);
        self.offset += frame.bytes.len() as Offset;
        let Some(last) = frame.last else {
            return Ok(Progress::More);
        };
        if !self.matches_received(last) {
            self.state = State::Failed;
            self.dropped.count(Fault::Damaged);
            return Err(Fault::Damaged);
        }
        let whole = Whole {
            length: last.length,
            checksum: last.checksum,
        };
        self.state = State::Whole(whole);
        Ok(Progress::Whole(whole))
    }

    fn check(&self, frame: &Frame<'_>) -> Result<(), Fault> {
        if frame.incarnation != self.incarnation {
            return Err(Fault::Incarnation);
        }
        if *frame.id != self.id {
            return Err(Fault::Id);
        }
        if frame.attempt != self.attempt {
            return Err(Fault::Attempt);
        }
        if self.state != State::Open {
            return Err(Fault::Late);
        }
        match frame.offset {
            offset if offset < self.offset => Err(Fault::Duplicate),
            offset if offset > self.offset => Err(Fault::Gap),
            _ => Ok(()),
        }
    }

    fn matches_received(&self, last: Last) -> bool {
        let checksum_matches = self.start > 0 || last.checksum == self.checksum.value();
        checksum_matches && last.length == self.offset
    }
}

/// Sequence check of one direction of a session, which drops duplicated and reordered messages.
///
/// A refusal proves "not run" only if the refused submission can't arrive a second time, because
/// temporary refusals are not recorded. So each message of a session carries a number that grows by
/// one, and a message with any other number is dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sequence {
    next: u64,
}

impl Sequence {
    /// Returns the number that the next message must carry; the first is zero.
    #[must_use]
    pub const fn next(&self) -> u64 {
        self.next
    }

    /// Returns whether message `number` is the next one, and advances if it is.
    pub fn accept(&mut self, number: u64) -> bool {
        let is_next = number == self.next;
        self.next += u64::from(is_next);
        is_next
    }
}
