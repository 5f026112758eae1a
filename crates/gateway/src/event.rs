//! Whole events of a stream.
//!
//! A [`Splitter`] takes the bytes of a `text/event-stream` as they come and gives back whole events
//! only, so that a stream that breaks off in the middle of an event can go on at another upstream
//! without a torn or doubled event.

/// Most bytes of one event; a longer one is passed on in parts and can't be resumed.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Number of an event; it grows within a stream.
pub type EventId = u64;

/// Cuts a stream into whole events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    waiting: Vec<u8>,
    /// First byte of `waiting` that no search has seen.
    seen: usize,
    last: Option<EventId>,
    /// Events up to this one are dropped: an earlier run delivered them.
    delivered: Option<EventId>,
}

/// Whole events that came with one push.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// Their bytes, in order.
    pub bytes: Vec<u8>,
    /// How many they are.
    pub count: usize,
}

impl Splitter {
    /// Returns a splitter of a stream's first run.
    #[must_use]
    pub fn new() -> Splitter {
        Splitter::default()
    }

    /// Returns a splitter of a run that goes on after the event `delivered`.
    #[must_use]
    pub fn after(delivered: Option<EventId>) -> Splitter {
        Splitter {
            last: delivered,
            delivered,
            ..Splitter::default()
        }
    }

    /// Returns the number of the last whole event.
    #[must_use]
    pub const fn last(&self) -> Option<EventId> {
        self.last
    }

    /// Returns whether bytes of an unfinished event wait.
    #[must_use]
    pub fn is_torn(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Takes the next bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Events {
        self.waiting.extend_from_slice(bytes);
        let mut events = Events::default();
        let mut start = 0;
        while let Some(end) = event_end(&self.waiting, start.max(self.seen)) {
            self.take(start, end, &mut events);
            start = end;
            self.seen = end;
        }
        self.waiting.drain(..start);
        // The end of an event spans up to four bytes, so the last three are searched again.
        self.seen = self.waiting.len().saturating_sub(3);
        if self.waiting.len() > MAX_EVENT_BYTES {
            events.bytes.append(&mut self.waiting);
            self.seen = 0;
        }
        events
    }

    /// Returns what waits, for a stream that ended as complete.
    #[must_use]
    pub fn rest(&mut self) -> Vec<u8> {
        self.seen = 0;
        std::mem::take(&mut self.waiting)
    }

    fn take(&mut self, start: usize, end: usize, events: &mut Events) {
        let event = &self.waiting[start..end];
        let id = event_id(event);
        let is_repeated = matches!((id, self.delivered), (Some(id), Some(last)) if id <= last);
        if is_repeated {
            return;
        }
        self.last = id.or(self.last);
        events.bytes.extend_from_slice(event);
        events.count += 1;
    }
}

/// Returns the end of the first event that ends at or after `from`.
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
