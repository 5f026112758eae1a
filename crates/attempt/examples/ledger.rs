//! Prints the time per request and memory per id of a ledger for different numbers of ids held.
//!
//! `cargo run --release -p auburnline-attempt --example ledger [-- --csv]`
//!
//! Ids arrive evenly over the time for which they are retained, so one expires for each that
//! arrives. Memory is the growth of the resident set, so it includes allocator overhead. Callers
//! acknowledge their answers except in the row "answers kept".

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

/// Number of ids held, for each column.
const SIZES: [u32; 4] = [4_000, 16_000, 32_000, 64_000];
/// Number of requests over which the time is averaged.
const REQUESTS: u32 = 50_000;
/// Answer of 2,000 bytes, about 400 tokens.
const ANSWER: [u8; 2_000] = [b'x'; 2_000];
/// Size of a memory page, the unit of `/proc/self/statm`.
const PAGE_BYTES: f64 = 4_096.0;
/// Incarnation of the ledger, to which all submissions are addressed.
const INCARNATION: u64 = 7;

/// A ledger under a steady load of one request every `step`.
struct Workload {
    ledger: Ledger,
    now: Duration,
    step: Duration,
    next: u32,
}

impl Workload {
    /// Creates a ledger and fills it with `size` ids; `acknowledges` as in [`Workload::request`].
    fn new(size: u32, acknowledges: bool) -> Workload {
        let bounds = Bounds {
            bytes: usize::MAX / 2,
            ..Bounds::default()
        };
        let mut workload = Workload {
            ledger: Ledger::new(Duration::ZERO, INCARNATION, bounds),
            now: Duration::ZERO,
            step: ID_RETENTION / size,
            next: 0,
        };
        for _ in 0..size {
            workload.request(acknowledges);
        }
        workload
    }

    /// Runs one request from submission to end; `acknowledges` frees its answer at once.
    fn request(&mut self, acknowledges: bool) {
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
        if acknowledges {
            self.ledger.acknowledge(self.now, &id, ANSWER.len() as u64);
        }
        self.ledger.tick(self.now);
    }
}

fn main() {
    let csv = env::args().any(|argument| argument == "--csv");
    let cells = SIZES.map(|size| size.to_string());
    print(csv, "ids held", &cells);
    let memory =
        |acknowledges: bool| SIZES.map(|size| format!("{:.0}", memory(size, acknowledges)));
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

/// Returns the resident bytes per id. The ledger is leaked, so that none reuses another's memory.
fn memory(size: u32, acknowledges: bool) -> f64 {
    let before = resident();
    std::mem::forget(Workload::new(size, acknowledges));
    (resident() - before) / f64::from(size)
}

fn resident() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    let pages: f64 = pages.and_then(|pages| pages.parse().ok()).unwrap_or(0.0);
    pages * PAGE_BYTES
}

/// Returns the mean time of a request including its tick, in nanoseconds.
fn time(size: u32) -> f64 {
    let mut workload = Workload::new(size, true);
    let start = Instant::now();
    for _ in 0..REQUESTS {
        workload.request(true);
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(REQUESTS)
}
