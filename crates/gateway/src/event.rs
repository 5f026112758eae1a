//! Splitting of a stream into whole events.
//!
//! A [`Splitter`] takes the bytes of a `text/event-stream` as they arrive and passes on whole
//! events only. A stream that breaks off within an event can then be resumed at another upstream
//! without truncated or duplicate events.

/// Maximum size of one event, in bytes. What is longer is no event.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Value of an event's `id` field; increases within a stream.
pub type EventId = u64;

/// Incremental splitter of a stream.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
    /// Offset in `buffer` from which the search for the end of an event goes on.
    scanned: usize,
    last: Option<EventId>,
    /// Events up to this one are dropped, since an earlier run has delivered them.
    delivered: Option<EventId>,
}

/// Whole events completed by one push.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// Bytes of the events, in order.
    pub bytes: Vec<u8>,
    /// Number of whole events.
    pub count: usize,
}

impl Splitter {
    /// Returns a splitter for the first run of a stream.
    #[must_use]
    pub fn new() -> Splitter {
        Splitter::default()
    }

    /// Returns a splitter for a run that resumes after the event `delivered`.
    #[must_use]
    pub fn after(delivered: Option<EventId>) -> Splitter {
        Splitter {
            last: delivered,
            delivered,
            ..Splitter::default()
        }
    }

    /// Returns the id of the last whole event passed on, or else of the event that the run resumes
    /// after.
    #[must_use]
    pub const fn last(&self) -> Option<EventId> {
        self.last
    }

    /// Returns whether the buffer holds a part of an event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns how many bytes the buffer holds of an event that has not ended, or that is longer than [`MAX_EVENT_BYTES`].
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Appends the next bytes and returns the events that they complete. An event longer than [`MAX_EVENT_BYTES`] is never
    /// returned; [`Splitter::buffered`] tells of it.
    pub fn push(&mut self, bytes: &[u8]) -> Events {
        self.buffer.extend_from_slice(bytes);
        let mut events = Events::default();
        let mut start = 0;
        while let Some(end) = event_end(&self.buffer, start.max(self.scanned)) {
            if end - start > MAX_EVENT_BYTES {
                break;
            }
            self.pass_on(start, end, &mut events);
            start = end;
            self.scanned = end;
        }
        self.buffer.drain(..start);
        // The end of an event spans up to four bytes, so the last three are searched again.
        self.scanned = self.buffer.len().saturating_sub(3);
        events
    }

    /// Takes the unfinished event out of the buffer, for a stream that ended normally.
    #[must_use]
    pub fn rest(&mut self) -> Vec<u8> {
        self.scanned = 0;
        std::mem::take(&mut self.buffer)
    }

    fn pass_on(&mut self, start: usize, end: usize, events: &mut Events) {
        let event = &self.buffer[start..end];
        let id = event_id(event);
        if matches!((id, self.delivered), (Some(id), Some(last)) if id <= last) {
            return;
        }
        self.last = id.or(self.last);
        events.bytes.extend_from_slice(event);
        events.count += 1;
    }
}

/// Returns the offset after the first event whose end is found from `from` on.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(found) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        let line_end = at + found;
        let rest = &bytes[line_end + 1..];
        if rest.first() == Some(&b'\n') {
            return Some(line_end + 2);
        }
        if rest.starts_with(b"\r\n") {
            return Some(line_end + 3);
        }
        at = line_end + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<EventId> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
