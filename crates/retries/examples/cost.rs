//! Prints the time per operation by number of workspaces or of members of a pool.
//!
//! `cargo run --release -p auburnline-retries --example cost [-- --csv]`

use std::env;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use auburnline_retries::budget;
use auburnline_retries::budget::Budget;
use auburnline_retries::outlier;
use auburnline_retries::outlier::Outliers;

/// Workspaces or members, one column each.
const SIZES: [u32; 4] = [10, 100, 650, 2_600];
/// Upstreams over which the requests of `budget_repeat` are spread.
const UPSTREAMS: u32 = 90;
/// Calls that are averaged in `budget_repeat` and `outliers_record`.
const ROUNDS: u32 = 100_000;

/// Returns the mean time of an operation in nanoseconds for a number of workspaces or members.
type Measure = fn(u32) -> f64;

fn main() {
    let csv = env::args().any(|argument| argument == "--csv");
    print(csv, "operation", &SIZES.map(|size| size.to_string()));
    let rows: [(&str, Measure); 4] = [
        ("budget first+repeat ns", budget_repeat),
        ("budget tick ns", budget_tick),
        ("outliers record ns", outliers_record),
        ("ten records each, tick ns", outliers_tick),
    ];
    for (name, measure) in rows {
        print(
            csv,
            name,
            &SIZES.map(|size| format!("{:.0}", measure(size))),
        );
    }
}

fn print(csv: bool, name: &str, cells: &[String]) {
    if csv {
        println!("{name},{}", cells.join(","));
        return;
    }
    let cells: Vec<String> = cells.iter().map(|cell| format!("{cell:>10}")).collect();
    println!("{name:<28}{}", cells.join(""));
}

fn mean_nanos(rounds: u32, mut call: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for round in 0..rounds {
        call(round);
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(rounds)
}

fn names(size: u32) -> Vec<String> {
    (0..size)
        .map(|index| format!("workspace-{index:04}"))
        .collect()
}

/// Returns budgets with a withdrawal each, which [`Budget::tick`] does not drop as full.
fn used_budget(names: &[String]) -> Budget<u32, String> {
    let mut budget = Budget::new(budget::Settings::default());
    for (name, upstream) in names.iter().zip(0..) {
        let _ = budget.withdraw(Duration::ZERO, &upstream, name);
    }
    budget
}

fn budget_repeat(size: u32) -> f64 {
    let names = names(size);
    let mut budget = used_budget(&names);
    mean_nanos(ROUNDS, |round| {
        let name = &names[(round % size) as usize];
        budget.deposit(Duration::ZERO, &(round % UPSTREAMS), name);
        let _ = black_box(budget.withdraw(Duration::ZERO, &(round % UPSTREAMS), name));
    })
}

fn budget_tick(size: u32) -> f64 {
    let mut budget = used_budget(&names(size));
    mean_nanos(1_000, |_| budget.tick(Duration::ZERO))
}

fn detector(size: u32) -> Outliers<u32> {
    let members: Vec<u32> = (0..size).collect();
    let mut outliers = Outliers::new(outlier::Settings::default());
    outliers.set_members(Duration::ZERO, &members);
    outliers
}

fn outliers_record(size: u32) -> f64 {
    let mut outliers = detector(size);
    mean_nanos(ROUNDS, |round| {
        outliers.record(&(round % size), Some(Duration::from_millis(5)));
    })
}

fn outliers_tick(size: u32) -> f64 {
    let mut outliers = detector(size);
    mean_nanos(200, |_| {
        for member in (0..size).flat_map(|member| [member; 10]) {
            outliers.record(&member, Some(Duration::from_millis(5)));
        }
        black_box(outliers.tick(Duration::ZERO));
    })
}
