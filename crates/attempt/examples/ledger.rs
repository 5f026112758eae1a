//! Prints time and memory of a ledger against the ids that it holds.
//!
//! `cargo run --release -p auburnline-attempt --example ledger [-- --csv]`
//!
//! Ids come evenly over the time for which they are kept, so that one expires for each that comes.
//! Memory is the growth of the resident set, so it holds the allocator's loss; answers are taken by
//! their callers, but for the row that keeps them.

use std::env;
use std::fs;
use std::time::Duration;
use std::time::Instant;

use auburnline_attempt::ledger::Bounds;
use auburnline_attempt::ledger::ID_RETENTION;
use auburnline_attempt::ledger::Ledger;
use auburnline_attempt::ledger::Submission;
use auburnline_attempt::ledger::Verdict;
use auburnline_core::id::RequestId;

/// Ids of each row.
const SIZES: [u32; 4] = [4_000, 16_000, 32_000, 64_000];
/// Requests that one figure is the mean of.
const ROUNDS: u32 = 50_000;
/// Bytes of an answer: 400 tokens.
const ANSWER: [u8; 2_000] = [b'x'; 2_000];
/// Bytes of a page.
const PAGE: f64 = 4_096.0;
/// Incarnation of the ledger.
const INCARNATION: u64 = 7;

/// A ledger with the requests that have come to it.
struct Course {
    ledger: Ledger,
    now: Duration,
    step: Duration,
    next: u32,
}

impl Course {
    /// Fills a ledger with `size` ids.
    fn new(size: u32, takes: bool) -> Course {
        let bounds = Bounds {
            bytes: usize::MAX / 2,
            ..Bounds::default()
        };
        let mut course = Course {
            ledger: Ledger::new(Duration::ZERO, INCARNATION, bounds),
            now: Duration::ZERO,
            step: ID_RETENTION / size,
            next: 0,
        };
        for _ in 0..size {
            course.request(takes);
        }
        course
    }

    /// One request from its submission to its end.
    fn request(&mut self, takes: bool) {
        self.now += self.step;
        self.next += 1;
        let id: RequestId =
            format!("workspace-{:04}/key-{:08}", self.next % 2_600, self.next).into();
        let submission = Submission {
            id: id.clone(),
            attempt: 1,
            age: Duration::ZERO,
            idempotent: true,
            fingerprint: u64::from(self.next),
            incarnation: INCARNATION,
            revision: 0,
        };
        let verdict = self.ledger.submit(self.now, &submission);
        assert!(matches!(verdict, Verdict::Admitted), "room for each id");
        let started = self.ledger.start(self.now, &id);
        assert!(started && self.ledger.append(self.now, &id, &ANSWER));
        self.ledger.finish(self.now, &id);
        if takes {
            self.ledger.acknowledge(self.now, &id, ANSWER.len() as u64);
        }
        self.ledger.tick(self.now);
    }
}

fn main() {
    let csv = env::args().any(|argument| argument == "--csv");
    let cells = SIZES.map(|size| size.to_string());
    print(csv, "ids held", &cells);
    let memory = |takes: bool| SIZES.map(|size| format!("{:.0}", memory(size, takes)));
    print(csv, "B/id, answers taken", &memory(true));
    print(csv, "B/id, answers kept", &memory(false));
    let times = SIZES.map(|size| format!("{:.0}", time(size)));
    print(csv, "ns/request", &times);
}

fn print(csv: bool, name: &str, cells: &[String]) {
    if csv {
        println!("{name},{}", cells.join(","));
        return;
    }
    let cells: Vec<String> = cells.iter().map(|cell| format!("{cell:>10}")).collect();
    println!("{name:<24}{}", cells.join(""));
}

/// Resident bytes of an id; nothing is freed, so that no ledger takes the place of another.
fn memory(size: u32, takes: bool) -> f64 {
    let before = resident();
    std::mem::forget(Course::new(size, takes));
    (resident() - before) / f64::from(size)
}

fn resident() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    let pages: f64 = pages.and_then(|pages| pages.parse().ok()).unwrap_or(0.0);
    pages * PAGE
}

/// Mean nanoseconds of a request with its part of a tick.
fn time(size: u32) -> f64 {
    let mut course = Course::new(size, true);
    let start = Instant::now();
    for _ in 0..ROUNDS {
        course.request(true);
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(ROUNDS)
}
