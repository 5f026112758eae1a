//! Splitting of a stream into whole events.
//!
//! A [`Splitter`] takes the bytes of a `text/event-stream` as they arrive and passes on whole
//! events only. A stream that breaks off within an event can then be resumed at another upstream
//! without truncated or duplicate events.

/// Maximum size of one event, in bytes. A longer one is passed on in parts, and the stream can't be
/// resumed until it is whole.
pub const MAX_EVENT_BYTES: usize = 256 << 10;
/// Longest line that may hold an event's `id`; a longer one that is unfinished is passed on.
const MAX_ID_LINE_BYTES: usize = 64;

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
    /// Event whose first part has left the buffer.
    begun: Option<Begun>,
}

/// An event longer than [`MAX_EVENT_BYTES`] whose end has not arrived.
#[derive(Clone, Copy, Debug, Default)]
struct Begun {
    id: Option<EventId>,
    is_repeated: bool,
    /// Whether the buffer starts within a line.
    is_within_line: bool,
}

/// Whole events completed by one push.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// Bytes of the events, in order; at the end perhaps a part of one longer than
    /// [`MAX_EVENT_BYTES`].
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

    /// Returns whether a part of an event was passed on and its end was not; another run can't
    /// continue it.
    #[must_use]
    pub fn is_within_event(&self) -> bool {
        self.begun.is_some_and(|begun| !begun.is_repeated)
    }

    /// Appends the next bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Events {
        self.buffer.extend_from_slice(bytes);
        let mut events = Events::default();
        let mut start = 0;
        while let Some(end) = event_end(&self.buffer, start.max(self.scanned)) {
            self.pass_on(start, end, &mut events);
            start = end;
            self.scanned = end;
        }
        self.buffer.drain(..start);
        // The end of an event spans up to four bytes, so the last three are searched again.
        self.scanned = self.buffer.len().saturating_sub(3);
        if self.buffer.len() > MAX_EVENT_BYTES {
            self.pass_on_part(&mut events);
        }
        events
    }

    /// Takes the unfinished event out of the buffer, for a stream that ended normally.
    #[must_use]
    pub fn rest(&mut self) -> Vec<u8> {
        self.scanned = 0;
        let rest = std::mem::take(&mut self.buffer);
        let is_repeated = self.begun.take().is_some_and(|begun| begun.is_repeated);
        if is_repeated { Vec::new() } else { rest }
    }

    fn pass_on(&mut self, start: usize, end: usize, events: &mut Events) {
        let begun = self.begun.take();
        let event = &self.buffer[start..end];
        let id = begun.unwrap_or_default().id_with(event);
        let is_repeated = begun.map_or(self.is_repeated(id), |begun| begun.is_repeated);
        if is_repeated {
            return;
        }
        self.last = id.or(self.last);
        events.bytes.extend_from_slice(event);
        events.count += 1;
    }

    /// Passes on the buffer but for a short line at its end, which may hold the event's id or the
    /// beginning of its end.
    fn pass_on_part(&mut self, events: &mut Events) {
        let line_end = self.buffer.iter().rposition(|byte| *byte == b'\n');
        let line_end = line_end.filter(|at| self.buffer.len() - at <= MAX_ID_LINE_BYTES);
        let kept = self.buffer.split_off(line_end.unwrap_or(self.buffer.len()));
        let part = std::mem::replace(&mut self.buffer, kept);
        self.scanned = 0;
        let id = self.begun.unwrap_or_default().id_with(&part);
        let is_repeated = self
            .begun
            .map_or(self.is_repeated(id), |begun| begun.is_repeated);
        if !is_repeated {
            events.bytes.extend_from_slice(&part);
        }
        self.begun = Some(Begun {
            id,
            is_repeated,
            is_within_line: true,
        });
    }

    fn is_repeated(&self, id: Option<EventId>) -> bool {
        matches!((id, self.delivered), (Some(id), Some(last)) if id <= last)
    }
}

impl Begun {
    /// Returns the event's id, given its next part.
    fn id_with(self, part: &[u8]) -> Option<EventId> {
        let line_end = part.iter().position(|byte| *byte == b'\n');
        let lines = match line_end {
            Some(at) if self.is_within_line => &part[at..],
            None if self.is_within_line => &[],
            _ => part,
        };
        self.id.or_else(|| event_id(lines))
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
