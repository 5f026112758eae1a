//! Callers that follow the rules for callers: attempts counted, the same key while the fate is
//! unknown, a fresh key once it is `not_run`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use auburnline_core::error::Fate;
use auburnline_core::hash::digest;
use auburnline_history::record::Answer;
use auburnline_history::record::Call;
use auburnline_history::record::Effect;
use auburnline_history::record::Line;
use auburnline_history::record::Record;
use http::Method;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::caller::Caller;
use crate::caller::Reply;
use crate::caller::Wish;
use crate::deployment::Deployment;
use crate::rehearsal::plan::Plan;
use crate::rehearsal::report::End;
use crate::rehearsal::work::Work;
use crate::rehearsal::work::generator;
use crate::watch::micros;

/// Most attempts of one key.
const ATTEMPTS: u32 = 6;
/// Most keys of one piece of work.
const KEYS: u32 = 8;
/// Longest silence that a caller bears.
const SILENCE: Duration = Duration::from_secs(8);
/// Longest pause before the next attempt.
const PAUSE: Duration = Duration::from_millis(400);

/// What all callers share.
pub(crate) struct Load<'a> {
    plan: &'a Plan,
    entries: Vec<SocketAddr>,
    start: Instant,
    next: AtomicU64,
    calls: AtomicU64,
}

/// What callers sent and got.
#[derive(Debug, Default)]
pub(crate) struct Sent {
    pub(crate) lines: Vec<Line>,
    pub(crate) works: BTreeMap<String, Work>,
    pub(crate) ends: Vec<End>,
    /// Texts that were no start of the right answer.
    pub(crate) foreign: Vec<String>,
}

impl Sent {
    pub(crate) fn gather(all: impl Iterator<Item = Sent>) -> Sent {
        let mut sum = Sent::default();
        for one in all {
            sum.lines.extend(one.lines);
            sum.works.extend(one.works);
            sum.ends.extend(one.ends);
            sum.foreign.extend(one.foreign);
        }
        sum
    }
}

impl<'a> Load<'a> {
    pub(crate) fn new(plan: &'a Plan, deployment: &Deployment, start: Instant) -> Load<'a> {
        Load {
            plan,
            entries: deployment.entry_addresses(),
            start,
            next: AtomicU64::new(0),
            calls: AtomicU64::new(0),
        }
    }

    /// Sends requests until all of the plan are sent.
    pub(crate) fn call(&self) -> Sent {
        let mut client = Client {
            load: self,
            caller: Caller::new(SILENCE),
            sent: Sent::default(),
        };
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            if number >= self.plan.requests {
                return client.sent;
            }
            let mut rng = generator(self.plan.seed, number);
            let work = Work::draw(&mut rng);
            client.request(number, &work, &mut rng);
        }
    }
}

struct Client<'a> {
    load: &'a Load<'a>,
    caller: Caller,
    sent: Sent,
}

/// A key and its attempts so far.
struct Keyed<'a> {
    key: String,
    id: String,
    work: &'a Work,
    since: Instant,
    attempt: u32,
    /// Text that has come.
    text: String,
}

impl Client<'_> {
    /// Sends a piece of work under fresh keys until it is known to have run, or is given up.
    fn request(&mut self, number: u64, work: &Work, rng: &mut ChaCha8Rng) {
        for round in 0..KEYS {
            let key = format!("{number}-{round}");
            let id = format!("{}/{key}", work.workspace);
            self.sent.works.insert(id.clone(), work.clone());
            let keyed = Keyed {
                key,
                id,
                work,
                since: Instant::now(),
                attempt: 0,
                text: String::new(),
            };
            if self.key(keyed, rng) != Fate::NotRun {
                return;
            }
            std::thread::sleep(Duration::from_millis(rng.random_range(10..200)));
        }
    }

    /// Sends attempts of one key while its fate is unknown; returns the fate.
    fn key(&mut self, mut keyed: Keyed<'_>, rng: &mut ChaCha8Rng) -> Fate {
        let from = micros(self.load.start);
        let mut first = None;
        let mut last = Fate::Unknown;
        while keyed.attempt < ATTEMPTS && last == Fate::Unknown {
            keyed.attempt += 1;
            if keyed.attempt > 1 {
                std::thread::sleep(PAUSE.mul_f64(rng.random()));
            }
            let reply = self.attempt(&mut keyed, rng);
            last = reply.fate();
            // Of a later attempt whose connection was not opened nothing follows for the first.
            if keyed.attempt > 1 && matches!(reply, Reply::Lost { sent: false, .. }) {
                last = Fate::Unknown;
            }
            first.get_or_insert(last);
        }
        self.sent.ends.push(End {
            idempotent: keyed.work.is_idempotent(),
            from,
            to: micros(self.load.start),
            first: first.unwrap_or(last),
            last,
        });
        last
    }

    fn attempt(&mut self, keyed: &mut Keyed<'_>, rng: &mut ChaCha8Rng) -> Reply {
        let entries = &self.load.entries;
        let entry = entries.choose(rng).copied().unwrap_or(entries[0]);
        let age = keyed.since.elapsed();
        let resumes = keyed.attempt > 1 && !keyed.text.is_empty() && rng.random();
        let wish = if resumes {
            let offset = keyed.text.len();
            let path = format!("/v1/requests/{}/answer?offset={offset}", keyed.key);
            Wish::new(Method::GET, &path).header("workspace", keyed.work.workspace)
        } else {
            let wish = keyed.work.wish();
            wish.attempt(&keyed.key, keyed.attempt, age)
        };
        let call = self.load.calls.fetch_add(1, Ordering::Relaxed);
        self.write(Record::Call(Call {
            call,
            id: keyed.id.as_str().into(),
            attempt: Some(keyed.attempt),
            idempotent: keyed.work.is_idempotent(),
        }));
        let mut reply = if rng.random_ratio(1, 64) {
            let bytes = rng.random_range(1..200);
            self.caller.send_until(entry, &wish, bytes)
        } else {
            self.caller.send(entry, &wish)
        };
        if resumes && let Reply::Whole(rest) = &mut reply {
            rest.insert_str(0, &keyed.text);
        }
        self.look(keyed, &reply, resumes);
        self.write(Record::Answer(answer(call, &reply)));
        reply
    }

    /// Looks at the text of a reply, and keeps what can be resumed.
    fn look(&mut self, keyed: &mut Keyed<'_>, reply: &Reply, resumes: bool) {
        let Some(whole) = keyed.work.text(&keyed.id) else {
            if let Reply::Whole(text) = reply
                && keyed.work.is_own_read(&keyed.id, text)
            {
                self.read(&keyed.id, text);
            }
            return;
        };
        let (Reply::Failed { before, .. } | Reply::Lost { before, .. }) = reply else {
            return;
        };
        let text = if resumes {
            format!("{}{before}", keyed.text)
        } else {
            before.clone()
        };
        if !whole.starts_with(&text) {
            let id = &keyed.id;
            let told = format!("Foreign text in the answer to {id}: {text}");
            self.sent.foreign.push(told);
        } else if text.len() > keyed.text.len() {
            keyed.text = text;
        }
    }

    /// Notes what a read gives; reads have no effect at the stand-in, and name key and path.
    fn read(&mut self, id: &str, text: &str) {
        self.write(Record::Effect(Effect {
            id: id.into(),
            attempt: None,
            upstream: "read".into(),
            digest: digest(text.as_bytes()),
        }));
    }

    fn write(&mut self, record: Record) {
        let at = micros(self.load.start);
        self.sent.lines.push(Line { at, record });
    }
}

fn answer(call: u64, reply: &Reply) -> Answer {
    let (fate, kind, digest) = match reply {
        Reply::Whole(text) => (Some(Fate::Ran), None, Some(digest(text.as_bytes()))),
        Reply::Failed { kind, fate, .. } => (Some(*fate), Some(*kind), None),
        Reply::Lost { .. } => (None, None, None),
    };
    Answer {
        call,
        fate,
        kind,
        digest,
    }
}
