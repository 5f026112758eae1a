//! Compares options for at-most-once execution in the simulation of the randomised tests.
//!
//! `cargo run --release -p auburnline-attempt --example options [-- --csv]`; `AUBURNLINE_SEED` sets
//! the first seed and `AUBURNLINE_SEEDS` the number of seeds, whose counts are added. Each row is
//! one option under one fault: the final outcomes of requests, the share of intermediate "unknown"
//! answers, and the cost in messages and waiting time.

use std::env;

use auburnline_history::checker::Checker;

use crate::setting::Faults;
use crate::setting::Report;
use crate::setting::Setting;
use crate::world::World;

#[path = "../tests/model/entry.rs"]
mod entry;
#[path = "../tests/model/setting.rs"]
#[expect(dead_code, reason = "only tests inject defects into the simulation")]
mod setting;
#[path = "../tests/model/slot.rs"]
mod slot;
#[path = "../tests/model/wire.rs"]
mod wire;
#[path = "../tests/model/world.rs"]
mod world;

const MINUTE_MS: u64 = 60_000;
/// Greatest time until the closed sessions of a killed process are detected.
const KILL_DETECTION_MS: u64 = 2;
/// Greatest time until the silent sessions of a lost machine are detected.
const LOSS_DETECTION_MS: u64 = 3_000;

/// Options: name, slots that may get a request (zero for all), callers in 100 that number attempts.
const OPTIONS: [(&str, usize, u32); 5] = [
    ("home slot", 1, 100),
    ("3 candidates", 3, 100),
    ("whole pool", 0, 100),
    ("3 candidates, no numbers", 3, 0),
    ("whole pool, no numbers", 0, 0),
];

fn faults() -> [(&'static str, u64, Faults); 8] {
    let none = Faults::default();
    let killed = Faults {
        slot_kill: MINUTE_MS,
        ..none
    };
    let paused = Faults {
        slot_pause: MINUTE_MS,
        ..none
    };
    let entry = Faults {
        entry_kill: MINUTE_MS,
        ..none
    };
    let upstream = Faults {
        upstream_kill: MINUTE_MS,
        ..none
    };
    let partition = Faults {
        partition: MINUTE_MS,
        ..none
    };
    let loss = Faults { lost: 1, ..none };
    [
        ("none", KILL_DETECTION_MS, none),
        ("slot killed", KILL_DETECTION_MS, killed),
        ("slot machine lost", LOSS_DETECTION_MS, killed),
        ("slot paused", KILL_DETECTION_MS, paused),
        ("entry killed", KILL_DETECTION_MS, entry),
        ("upstream killed", KILL_DETECTION_MS, upstream),
        ("partition", KILL_DETECTION_MS, partition),
        ("loss 1 in 1,000", KILL_DETECTION_MS, loss),
    ]
}

fn setting(candidates: usize, numbered: u32, detection_ms: u64, faults: Faults) -> Setting {
    Setting {
        slots: 12,
        entries: 6,
        seconds: 600,
        request_interval_us: 20_000,
        service_ms: 400,
        candidates,
        numbered,
        idempotent: 0,
        impatient: 0,
        lag_ms: 2_000,
        detection_ms,
        downtime_ms: 2_000,
        faults,
        defect: None,
    }
}

fn number(name: &str, default: u64) -> u64 {
    env::var(name).map_or(default, |text| text.parse().expect("a number"))
}

/// Returns `count` per 1,000 requests.
fn share(count: u64, report: &Report) -> f64 {
    ratio(count * 1_000, report.requests)
}

fn ratio(part: u64, whole: u64) -> f64 {
    let exact = |value: u64| f64::from(u32::try_from(value).unwrap_or(u32::MAX));
    exact(part) / exact(whole.max(1))
}

/// Returns the mean and 99th percentile of the waits before submission, in milliseconds.
fn waits(report: &Report) -> (f64, f64) {
    let mut waits = report.waits.clone();
    waits.sort_unstable();
    let mean = ratio(waits.iter().sum::<u64>() / 1_000, waits.len() as u64);
    let index = (waits.len() * 99 / 100).min(waits.len().saturating_sub(1));
    (mean, ratio(waits.get(index).copied().unwrap_or(0), 1_000))
}

fn main() {
    let csv = env::args().any(|argument| argument == "--csv");
    let first = number("AUBURNLINE_SEED", 1);
    let seeds = number("AUBURNLINE_SEEDS", 3);
    if csv {
        println!(
            "option,fault,requests,unknown,not_run,none,told_unknown,messages,mean,p99,violations"
        );
    } else {
        println!("shares in 1,000 requests; messages a request; wait before submission in ms");
        println!(
            "{:<25}{:<18}{:>9}{:>9}{:>9}{:>7}{:>9}{:>9}{:>8}{:>8}{:>6}",
            "option",
            "fault",
            "requests",
            "unknown",
            "not run",
            "none",
            "told u.",
            "messages",
            "mean",
            "p99",
            "viol."
        );
    }
    for (option, candidates, numbered) in OPTIONS {
        for (fault, detection_ms, faults) in faults() {
            let mut total = Report::default();
            let mut violations = 0;
            for seed in first..first + seeds {
                let world = World::run(setting(candidates, numbered, detection_ms, faults), seed);
                violations += Checker::check(&world.lines).len();
                total.add(&world.report);
            }
            row(csv, option, fault, &total, violations);
        }
    }
}

fn row(csv: bool, option: &str, fault: &str, total: &Report, violations: usize) {
    let end = |name: &str| share(total.ends.get(name).copied().unwrap_or(0), total);
    let told = share(total.causes.values().sum(), total);
    let messages = ratio(total.messages, total.requests);
    let (mean, p99) = waits(total);
    let (unknown, not_run, none) = (end("unknown"), end("not_run"), end("no_answer"));
    let requests = total.requests;
    if csv {
        println!(
            "{option},{fault},{requests},{unknown:.3},{not_run:.3},{none:.3},{told:.3},\
             {messages:.3},{mean:.3},{p99:.3},{violations}"
        );
        return;
    }
    println!(
        "{option:<25}{fault:<18}{requests:>9}{unknown:>9.2}{not_run:>9.2}{none:>7.2}{told:>9.2}\
         {messages:>9.2}{mean:>8.2}{p99:>8.2}{violations:>6}"
    );
}
