//! Buffer for the bytes of one answer, trimmed from the front as the caller acknowledges them.

use auburnline_core::hash::Checksum;
use auburnline_core::id::Offset;

use crate::stream::Last;

/// Ratio of allocated to held bytes above which [`Answer::trim`] shrinks the buffer.
const MAX_CAPACITY_RATIO: usize = 4;

/// Held bytes of an answer, from offset `start`; the checksum covers every byte since offset 0.
#[derive(Debug, Default)]
pub(super) struct Answer {
    start: Offset,
    bytes: Vec<u8>,
    checksum: Checksum,
}

impl Answer {
    pub(super) fn append(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
        self.checksum.update(bytes);
    }

    /// Returns the number of bytes held.
    pub(super) const fn held(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the length and checksum of the answer, assuming that it is complete.
    pub(super) fn last(&self) -> Last {
        Last {
            length: self.end(),
            checksum: self.checksum.value(),
        }
    }

    /// Returns whether an answer of `length` can be read from its first byte.
    pub(super) fn holds_all(&self, length: Offset) -> bool {
        self.start == 0 && self.end() == length
    }

    /// Returns whether an answer of `length` can still be read at least in part.
    pub(super) fn holds_some(&self, length: Offset) -> bool {
        self.end() == length && (length == 0 || self.start < length)
    }

    /// Frees the bytes before `offset` and returns how many were freed.
    pub(super) fn trim(&mut self, offset: Offset) -> usize {
        let offset = offset.min(self.end());
        let count = usize::try_from(offset.saturating_sub(self.start)).unwrap_or(usize::MAX);
        let count = count.min(self.bytes.len());
        self.bytes.drain(..count);
        // Releases the drained capacity, because the ledger's byte limit counts held bytes only.
        if self.bytes.len() < self.bytes.capacity() / MAX_CAPACITY_RATIO {
            self.bytes.shrink_to(2 * self.bytes.len());
        }
        self.start += count as Offset;
        count
    }

    /// Frees all bytes and returns how many were freed.
    pub(super) fn clear(&mut self) -> usize {
        let count = self.bytes.len();
        self.start += count as Offset;
        self.bytes = Vec::new();
        count
    }

    /// Returns up to `max` bytes from `offset`, or `None` if `offset` is already freed or beyond
    /// the end.
    pub(super) fn read(&self, offset: Offset, max: usize) -> Option<&[u8]> {
        let skip = usize::try_from(offset.checked_sub(self.start)?).ok()?;
        let rest = self.bytes.get(skip..)?;
        Some(&rest[..rest.len().min(max)])
    }

    fn end(&self) -> Offset {
        self.start + self.bytes.len() as Offset
    }
}
