//! The last decision lines, stored in memory for operators.
//!
//! Each routing or placement decision is one log record with the target [`TARGET`]. The ring stores a
//! bounded number of them, independent of the log filter, so that an operator can find out why a
//! request was routed to its upstream. A full ring evicts its oldest line.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Target of the log records that are stored.
pub const TARGET: &str = "decision";
/// Key of the request's id in a record.
pub const REQUEST_KEY: &str = "request";
/// Key of the group's name in a record.
pub const GROUP_KEY: &str = "group";
/// Largest stored value; longer ones are truncated.
pub const MAX_VALUE_BYTES: usize = 1_024;

/// A key with its value.
pub type Field = (String, String);

/// One decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Sequence number in this process, from 0.
    pub number: u64,
    /// Time since it was logged.
    pub age: Duration,
    /// What was decided, such as `route`.
    pub message: String,
    /// Key-value pairs, in the order of the log record.
    pub fields: Vec<Field>,
}

impl Line {
    /// Returns the first value of `key`.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(found, _)| found == key)
            .map(|(_, value)| value.as_str())
    }
}

/// Selects lines; an empty filter matches all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Id of the request, or only the caller's key in it.
    pub request: Option<String>,
    /// Name of the group.
    pub group: Option<String>,
}

impl Filter {
    fn matches(&self, fields: &[Field]) -> bool {
        let any = |key: &str, agrees: &dyn Fn(&str) -> bool| {
            fields
                .iter()
                .any(|(found, value)| found == key && agrees(value))
        };
        let request = self
            .request
            .as_deref()
            .is_none_or(|wanted| any(REQUEST_KEY, &|value| is_request(value, wanted)));
        let group = self
            .group
            .as_deref()
            .is_none_or(|wanted| any(GROUP_KEY, &|value| value == wanted));
        request && group
    }
}

/// Returns whether `wanted` is the id or the caller's key in it: an id has the form `WORKSPACE/KEY`.
fn is_request(id: &str, wanted: &str) -> bool {
    id.strip_suffix(wanted)
        .is_some_and(|before| before.is_empty() || before.ends_with('/'))
}

struct Stored {
    number: u64,
    at: Instant,
    message: String,
    fields: Vec<Field>,
}

#[derive(Default)]
struct State {
    next: u64,
    stored: VecDeque<Stored>,
}

/// Ring buffer of the last decisions.
pub struct Ring {
    capacity: usize,
    state: Mutex<State>,
}

impl Ring {
    /// Creates an empty ring for `capacity` lines.
    #[must_use]
    pub fn new(capacity: usize) -> Ring {
        Ring {
            capacity,
            state: Mutex::default(),
        }
    }

    /// Appends a line and evicts the oldest one if the ring is full.
    pub fn push(&self, message: String, mut fields: Vec<Field>) {
        for (_, value) in &mut fields {
            truncate(value);
        }
        let mut state = self.lock();
        let number = state.next;
        state.next += 1;
        state.stored.push_back(Stored {
            number,
            at: Instant::now(),
            message,
            fields,
        });
        while state.stored.len() > self.capacity {
            state.stored.pop_front();
        }
    }

    /// Returns the last `most` lines that match `filter`, oldest first.
    #[must_use]
    pub fn lines(&self, filter: &Filter, most: usize) -> Vec<Line> {
        let state = self.lock();
        let mut lines: Vec<Line> = state
            .stored
            .iter()
            .rev()
            .filter(|stored| filter.matches(&stored.fields))
            .take(most)
            .map(Stored::line)
            .collect();
        lines.reverse();
        lines
    }

    /// Ignores poisoning: each change leaves the state consistent, so it is usable after a panic.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Stored {
    fn line(&self) -> Line {
        Line {
            number: self.number,
            age: self.at.elapsed(),
            message: self.message.clone(),
            fields: self.fields.clone(),
        }
    }
}

fn truncate(value: &mut String) {
    let mut end = value.len().min(MAX_VALUE_BYTES);
    while !value.is_char_boundary(end) {
        end -= 1;
    }
    value.truncate(end);
}
