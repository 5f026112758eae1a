//! Requests that wait and requests in the running batch.

use std::cmp::Reverse;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use auburnline_engine::Generate;
use auburnline_engine::wire;
use tokio::sync::mpsc;

use crate::effects::Event;
use crate::engine::fault::Fault;
use crate::text;

/// Event that no client understands.
const GARBAGE: &str = "data: {\"tok\u{0}\n\n";

/// What the batch sends to a stream.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Item {
    /// Bytes of an event.
    Event(String),
    /// A cut of the connection.
    Cut,
}

/// A request, waiting or running.
#[derive(Debug)]
pub(crate) struct Job {
    /// What was asked for.
    pub(crate) generate: Generate,
    /// Steps of prefill that are left.
    pub(crate) prefill: u32,
    /// Tokens that were generated.
    pub(crate) made: u32,
    /// Where the tokens go.
    pub(crate) stream: mpsc::UnboundedSender<Item>,
    /// Whether the stream must carry nothing.
    pub(crate) silent: Arc<AtomicBool>,
}

impl Job {
    /// Returns the steps that are left.
    fn left(&self) -> u64 {
        let tokens = self.generate.max_tokens.saturating_sub(self.made);
        u64::from(self.prefill) + u64::from(tokens)
    }
}

/// All requests of the engine.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    pub(crate) waiting: Vec<Job>,
    pub(crate) running: Vec<Job>,
}

impl Batch {
    /// Moves waiting requests into the batch, the highest priority first, then the first come.
    /// Returns how many moved; they are the last of the batch.
    pub(crate) fn admit(&mut self, limit: usize) -> usize {
        self.waiting
            .sort_by_key(|job| Reverse(job.generate.priority));
        let room = limit.saturating_sub(self.running.len());
        let count = room.min(self.waiting.len());
        self.running.extend(self.waiting.drain(..count));
        count
    }

    /// Removes the requests of an id and returns them.
    pub(crate) fn remove(&mut self, id: &str) -> Vec<Job> {
        let same = |job: &mut Job| &*job.generate.id == id;
        let mut removed: Vec<Job> = self.waiting.extract_if(.., same).collect();
        removed.extend(self.running.extract_if(.., same));
        removed
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Returns the steps that are left of all requests.
    pub(crate) fn backlog(&self) -> u64 {
        let jobs = self.waiting.iter().chain(&self.running);
        jobs.map(Job::left).sum()
    }
}

/// What became of a request in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// It runs on.
    Goes,
    /// It ended so.
    Ended(Event),
}

/// Gives a running request its part of a step.
pub(crate) fn advance(job: &mut Job, fault: &Fault) -> Progress {
    if job.prefill > 0 {
        job.prefill -= 1;
        return Progress::Goes;
    }
    let made = Some(job.made);
    let last = job.made >= job.generate.max_tokens;
    let (item, progress) = if fault.kill_stream_after == made {
        (Item::Cut, Progress::Ended(Event::Cancelled))
    } else if fault.garbage_after == made {
        let garbage = Item::Event(GARBAGE.to_owned());
        (garbage, Progress::Ended(Event::Cancelled))
    } else if fault.fail_stream_after == made {
        let error = "failed by a test".to_owned();
        let failed = event(&wire::Event::Error { error });
        (failed, Progress::Ended(Event::Cancelled))
    } else if last {
        let tokens = u64::from(job.made);
        let done = event(&wire::Event::Done { done: true, tokens });
        (done, Progress::Ended(Event::Finished))
    } else {
        let token = text::token(&job.generate.id, &job.generate.prompt, job.made);
        job.made += 1;
        (event(&wire::Event::Token { token }), Progress::Goes)
    };
    if job.stream.send(item).is_err() {
        return Progress::Ended(Event::Cancelled);
    }
    progress
}

/// Returns an event as a stream carries it.
pub(crate) fn event(event: &wire::Event) -> Item {
    let text = serde_json::to_string(event).unwrap_or_default();
    Item::Event(format!("data: {text}\n\n"))
}
