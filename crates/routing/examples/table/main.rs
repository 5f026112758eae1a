//! Comparison of routing policies over scenarios in a seeded discrete-event simulation.
//!
//! `cargo run --release -p auburnline-routing --example table [-- OPTIONS]`
//!
//! Options: `--csv` prints comma-separated values; `--lag` sweeps the lag of load reports; `--rate`
//! sweeps the requests per second and group, printed after the scenario's name; `--ablation`
//! compares this crate's router with variants that have a part switched off; `--only NAME` runs one
//! scenario; `--groups N` sets the number of groups. The seeds are 1, 2 and 3, or the one in
//! `AUBURNLINE_SEED`.

mod baseline;
mod cache;
mod engine;
mod ours;
mod policy;
mod scenario;
mod score;
mod trace;
mod world;

use std::env;
use std::thread;
use std::time::Duration;

use crate::policy::Choice;
use crate::scenario::Scenario;
use crate::score::Score;

/// Seeds whose runs are summed up in a row of the table.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Lags of load reports in the sweep, in milliseconds.
const LAGS: [u64; 6] = [20, 100, 300, 1000, 3000, 8000];

/// Requests per second and group in the sweep.
const RATES: [u32; 6] = [42, 50, 60, 70, 80, 90];

/// Parameter that is swept.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Sweep {
    None,
    Lag,
    Rate,
}

/// Command-line options.
struct Options {
    csv: bool,
    sweep: Sweep,
    ablation: bool,
    only: Option<String>,
    groups: usize,
    seeds: Vec<u64>,
}

fn options() -> Options {
    let words: Vec<String> = env::args().skip(1).collect();
    let has = |name: &str| words.iter().any(|word| word == name);
    let value = |name: &str| {
        let place = words.iter().position(|word| word == name)?;
        words.get(place + 1).cloned()
    };
    let seed = env::var("AUBURNLINE_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    Options {
        csv: has("--csv"),
        sweep: if has("--lag") {
            Sweep::Lag
        } else if has("--rate") {
            Sweep::Rate
        } else {
            Sweep::None
        },
        ablation: has("--ablation"),
        only: value("--only"),
        groups: value("--groups")
            .and_then(|count| count.parse().ok())
            .unwrap_or(scenario::GROUPS),
        seeds: seed.map_or(SEEDS.to_vec(), |seed| vec![seed]),
    }
}

/// Runs one policy over one scenario, with all seeds in parallel.
fn run(scenario: &Scenario, choice: Choice, seeds: &[u64]) -> Score {
    let mut total = Score::new();
    thread::scope(|scope| {
        let runs: Vec<_> = seeds
            .iter()
            .map(|&seed| scope.spawn(move || world::run(scenario, choice, seed)))
            .collect();
        for run in runs {
            total.add(&run.join().expect("the run does not panic"));
        }
    });
    total
}

fn print(csv: bool, scenario: &str, lag: Duration, policy: &str, score: &Score) {
    let cells = score.cells();
    if csv {
        println!(
            "{scenario},{},{policy},{}",
            lag.as_millis(),
            cells.join(",")
        );
        return;
    }
    let cells: Vec<String> = cells.iter().map(|cell| format!("{cell:>8}")).collect();
    let lag = lag.as_millis();
    println!("{scenario:<10}{lag:>6}  {policy:<14}{}", cells.join(""));
}

fn print_header(csv: bool) {
    if csv {
        println!("scenario,lag_ms,policy,{}", score::HEADER.join(","));
        return;
    }
    let names: Vec<String> = score::HEADER
        .iter()
        .map(|name| format!("{name:>8}"))
        .collect();
    println!(
        "{:<10}{:>6}  {:<14}{}",
        "scenario",
        "lag_ms",
        "policy",
        names.join("")
    );
}

fn main() {
    let options = options();
    print_header(options.csv);
    let choices = if options.ablation {
        Choice::ABLATION.to_vec()
    } else {
        Choice::ALL.to_vec()
    };
    let mut scenarios = Scenario::all(options.groups);
    scenarios.retain(|scenario| {
        options
            .only
            .as_deref()
            .is_none_or(|name| name == scenario.name)
    });
    if options.sweep == Sweep::Lag {
        scenarios = scenarios
            .iter()
            .filter(|scenario| options.only.is_some() || scenario.name == "peak")
            .flat_map(|scenario| {
                LAGS.map(|lag| scenario.clone().with_lag(Duration::from_millis(lag)))
            })
            .collect();
    }
    if options.sweep == Sweep::Rate {
        scenarios = RATES
            .map(|rate| Scenario::at_rate(options.groups, rate))
            .to_vec();
    }
    for scenario in &scenarios {
        for &choice in &choices {
            let score = run(scenario, choice, &options.seeds);
            print(
                options.csv,
                &scenario.label(),
                scenario.lag,
                choice.name(),
                &score,
            );
        }
    }
}
