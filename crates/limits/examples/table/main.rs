//! Prints how well each policy of sharing limits keeps within them, and what share of requests a queue serves in
//! time under overload.
//!
//! `cargo run --release -p auburnline-limits --example table -- [--csv] [--overload | --limits | --full] [seed]`

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    reason = "a simulation in floating point"
)]
mod overload;
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a simulation in floating point"
)]
mod world;

use std::env;

use auburnline_limits::lease::Settings;
use overload::Order;
use world::Fault;
use world::Plan;
use world::Policy;
use world::World;

/// Prints one row, in aligned columns or as CSV.
fn print(csv: bool, cells: &[String]) {
    if csv {
        println!("{}", cells.join(","));
        return;
    }
    let line: Vec<String> = cells.iter().map(|cell| format!("{cell:>12}")).collect();
    println!("{}", line.join(" "));
}

fn print_titles(csv: bool, titles: &[&str]) {
    let cells: Vec<String> = titles.iter().map(ToString::to_string).collect();
    print(csv, &cells);
}

fn fleet(seed: u64, policy: Policy, fault: Fault, skew: f64) -> Plan {
    Plan {
        seed,
        entries: 40,
        workspaces: 100,
        seconds: 70,
        requests_per_second: 800.0,
        policy,
        fault,
        skew,
        entries_per_workspace: usize::MAX,
        settings: Settings::default(),
        message_fault_percent: 1,
        ignores_published: false,
        audit: policy == Policy::Leases,
    }
}

fn limits(csv: bool, seed: u64, full_only: bool) {
    print_titles(
        csv,
        &[
            "callers",
            "trouble",
            "policy",
            "overshoot_s",
            "beyond_tok",
            "parts",
            "unused_%",
            "refused_%",
            "B/s_mean",
            "B/s_worst",
        ],
    );
    let callers = [("even", 0.0), ("skewed", 0.9)];
    for (callers, skew) in callers.into_iter().filter(|_| !full_only) {
        for fault in [Fault::Calm, Fault::Churn, Fault::Partition, Fault::Both] {
            for policy in [Policy::Leases, Policy::Split, Policy::Alone] {
                row(csv, callers, fleet(seed, policy, fault, skew));
            }
        }
    }
    let one_sided = fleet(seed, Policy::Leases, Fault::OneSided, 0.0);
    if !full_only {
        row(csv, "even", one_sided);
    }
    let full = Plan {
        entries: 340,
        workspaces: 2_600,
        seconds: 40,
        requests_per_second: 4_000.0,
        audit: false,
        ..fleet(seed, Policy::Leases, Fault::Calm, 0.5)
    };
    row(csv, "full size", full.clone());
    row(
        csv,
        "full, 8 each",
        Plan {
            entries_per_workspace: 8,
            ..full
        },
    );
}

fn row(csv: bool, callers: &str, plan: Plan) {
    let (fault, policy) = (plan.fault, plan.policy);
    let outcome = World::new(plan).run();
    print(
        csv,
        &[
            callers.to_string(),
            format!("{fault:?}"),
            format!("{policy:?}"),
            format!("{:.2}", outcome.overshoot),
            format!("{:.0}", outcome.beyond_bound),
            format!(
                "{:.3}",
                f64::from(u32::try_from(outcome.max_share_ppm).unwrap_or(u32::MAX)) / 1e6
            ),
            format!("{:.1}", outcome.unused * 100.0),
            format!("{:.1}", outcome.wrongly_refused * 100.0),
            format!("{:.0}", outcome.bytes[0]),
            format!("{:.0}", outcome.bytes[1]),
        ],
    );
}

fn overload(csv: bool, seed: u64) {
    print_titles(
        csv,
        &[
            "load",
            "order",
            "patience",
            "useful_%",
            "late_%",
            "least_ws_%",
            "large_ws_%",
            "urgent_%",
            "at_once_%",
            "p99_ms",
        ],
    );
    for load in [1.0, 2.0, 10.0] {
        overload_row(csv, load, Order::Plain, 1.0, seed);
        for wait_tolerance in [1.0, 1.5, 2.0, 1e6] {
            overload_row(csv, load, Order::Fair, wait_tolerance, seed);
        }
    }
}

fn overload_row(csv: bool, load: f64, order: Order, wait_tolerance: f64, seed: u64) {
    let outcome = overload::run(seed, order, load, wait_tolerance);
    let percent = |share: f64| format!("{:.1}", share * 100.0);
    print(
        csv,
        &[
            format!("{load}x"),
            format!("{order:?}"),
            format!("{wait_tolerance}"),
            percent(outcome.in_time_share),
            percent(outcome.late_share),
            percent(outcome.least_served_share),
            percent(outcome.large_share),
            percent(outcome.urgent_share),
            percent(outcome.immediate_share),
            format!("{:.0}", outcome.p99_answer_ms),
        ],
    );
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let csv = arguments.iter().any(|argument| argument == "--csv");
    let seed = arguments.iter().find_map(|argument| argument.parse().ok());
    let seed = seed.unwrap_or(1);
    let has = |name: &str| arguments.iter().any(|argument| argument == name);
    if !has("--limits") && !has("--full") {
        overload(csv, seed);
    }
    if !has("--overload") {
        limits(csv, seed, has("--full"));
    }
}
