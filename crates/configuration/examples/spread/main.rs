//! Measures the distribution of configurations in simulated fleets.
//!
//! `cargo run --release -p auburnline-configuration --example spread [-- --csv] [SEED]`

mod baseline;
mod delta;
#[expect(dead_code, reason = "the tests use more of it")]
#[path = "../../tests/all/support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use auburnline_configuration::schedule::WATCH_WAIT;
use auburnline_core::id::InstanceId;
use auburnline_core::published::Section;
use auburnline_membership::neighbour::Place;
use auburnline_membership::neighbour::pick;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::support::Draft;
use crate::support::simulation::Maker;
use crate::support::simulation::Simulation;
use crate::support::simulation::make_spread;

/// Numbers of processes of the simulated fleets.
const SIZES: [usize; 5] = [6, 24, 96, 384, 1060];
/// Published changes per day at the target size.
const CHANGES_A_DAY: f64 = 590.0;
const SECONDS_A_DAY: f64 = 86_400.0;
const SLOTS_PER_GROUP: usize = 8;
/// Maximum number of groups that an entry keeps sessions to.
const MAX_GROUPS: usize = 90;
/// Number of revisions published to measure the time until they are in force.
const REVISIONS: u64 = 20;
/// Time between the publication of two revisions.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(10);
/// Simulated time over which calls are counted while nothing is published: two periods of a
/// follower at the target size.
const IDLE_DURATION: Duration = Duration::from_secs(1300);
/// The same for the other runs, in which a shorter time shows the rate of calls.
const SHORT_IDLE_DURATION: Duration = Duration::from_secs(100);
/// Calls per second that the service answers; it fails the others.
const CALLS_PER_SECOND_CAPACITY: u64 = 2000;

/// Processes that can reach the configuration service.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Access {
    All,
    /// One process only, so that all others depend on peers.
    One,
}

/// Results of one run.
struct Row {
    size: usize,
    policy: &'static str,
    access: Access,
    calls: f64,
    peak_calls: u64,
    p50: Duration,
    p99: Duration,
    worst: Duration,
    missing: usize,
    messages: f64,
    bytes: f64,
    worst_bytes: f64,
    heartbeats: f64,
    ready: Duration,
    start_calls: u64,
}

/// Returns the sessions of a fleet in which a third of the processes are entries and the rest slots
/// in groups.
fn sessions(size: usize, domains: usize) -> Vec<Vec<usize>> {
    let entries = (size / 3).max(1);
    let name = |index: usize| -> InstanceId { format!("p{index}").into() };
    let place = |index: usize| Place {
        failure_domain: format!("d{}", index % domains).into(),
        region: format!("r{}", index % domains % 2).into(),
    };
    let places: BTreeMap<InstanceId, Place> = (0..entries)
        .map(|index| (name(index), place(index)))
        .collect();
    let numbers: BTreeMap<InstanceId, usize> =
        (0..entries).map(|index| (name(index), index)).collect();
    let mut sets = vec![BTreeSet::new(); size];
    let mut join = |a: usize, b: usize| {
        sets[a].insert(b);
        sets[b].insert(a);
    };
    for entry in 0..entries {
        for other in pick(&name(entry), &places) {
            join(entry, numbers[&other]);
        }
        for group in (entries..size).step_by(SLOTS_PER_GROUP).take(MAX_GROUPS) {
            join(entry, group);
        }
    }
    for slot in entries..size {
        let first = slot - (slot - entries) % SLOTS_PER_GROUP;
        if first != slot {
            join(first, slot);
        }
    }
    sets.into_iter()
        .map(|set| set.into_iter().collect())
        .collect()
}

fn draft(revision: u64) -> Draft {
    let field = "/workspaces/w/tokens_per_second";
    let rate = json!(revision);
    Draft::default()
        .set(Section::Workspaces, field, rate)
        .revision(revision)
}

fn fleet(size: usize, seed: u64, maker: Maker) -> Simulation {
    let domains = if size < 96 { 3 } else { 6 };
    let links = sessions(size, domains);
    let mut run = Simulation::new(seed, domains, links, maker, draft(1).source());
    run.capacity = CALLS_PER_SECOND_CAPACITY;
    run
}

fn quantile(sorted: &[Duration], share: f64) -> Duration {
    let last = u32::try_from(sorted.len() - 1).expect("a small number");
    let index = (f64::from(last) * share).round();
    // Exact: the index is a small whole number.
    let index = (0..sorted.len()).find(|&at| f64::from(u32::try_from(at).unwrap_or(0)) >= index);
    sorted[index.unwrap_or(sorted.len() - 1)]
}

fn total_calls(run: &Simulation) -> u64 {
    run.nodes.iter().map(|node| node.traffic.calls).sum()
}

fn ratio(count: u64, by: f64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / by
}

/// Returns the time from a simultaneous start of all processes until every one may send.
fn start(run: &mut Simulation) -> Duration {
    let begin = run.now;
    while run.now < begin + Duration::from_secs(30) {
        run.run(run.now + Duration::from_millis(100), |_| false);
        if run.nodes.iter().all(|node| node.process.may_send(run.now)) {
            return run.now.saturating_sub(begin);
        }
    }
    Duration::MAX
}

fn measure(size: usize, seed: u64, policy: &'static str, maker: Maker, access: Access) -> Row {
    let mut run = fleet(size, seed, maker);
    let ready = start(&mut run);
    let start_calls = run.calls.values().copied().max().unwrap_or(0);
    run.run(Duration::from_secs(35), |_| false);
    let before = total_calls(&run);
    let idle = if policy == "spread" && access == Access::All {
        IDLE_DURATION
    } else {
        SHORT_IDLE_DURATION
    };
    run.run(run.now + idle, |_| false);
    let calls = ratio(total_calls(&run) - before, idle.as_secs_f64());
    if access == Access::One {
        cut_all_but_one(&mut run);
    }
    for node in &mut run.nodes {
        node.traffic.messages = 0;
        node.traffic.bytes = 0;
    }
    let mut times = Vec::new();
    let mut missing = 0;
    let from = run.now.as_secs();
    for revision in 2..2 + REVISIONS {
        let at = run.now;
        run.publish(draft(revision).source());
        run.run(at + PUBLISH_INTERVAL, |_| false);
        for node in &run.nodes {
            match node.installs.get(&revision) {
                Some(installed) => times.push(installed.saturating_sub(at)),
                None => missing += 1,
            }
        }
    }
    times.sort_unstable();
    assert!(
        run.violations.is_empty() || policy != "spread",
        "{:?}",
        run.violations
    );
    let peak_calls = run.calls.range(from..).map(|(_, &calls)| calls).max();
    let changes = ratio(REVISIONS, 1.0);
    let per_second = CHANGES_A_DAY / SECONDS_A_DAY / changes;
    let all_messages: u64 = run.nodes.iter().map(|node| node.traffic.messages).sum();
    let bytes = run.nodes.iter().map(|node| node.traffic.bytes as u64);
    let worst_bytes = bytes.clone().max().unwrap_or(0);
    let all_bytes: u64 = bytes.sum();
    let count = ratio(size as u64, 1.0);
    let beats = (0..size).map(|index| {
        let sessions = ratio(run.nodes[index].neighbours.len() as u64, 1.0);
        sessions / run.period(index).as_secs_f64()
    });
    Row {
        size,
        policy,
        access,
        calls,
        peak_calls: peak_calls.unwrap_or(0),
        p50: quantile(&times, 0.5),
        p99: quantile(&times, 0.99),
        worst: quantile(&times, 1.0),
        missing,
        messages: ratio(all_messages, count) * per_second,
        bytes: ratio(all_bytes, count) * per_second,
        worst_bytes: ratio(worst_bytes, 1.0) * per_second,
        heartbeats: beats.fold(0.0, f64::max),
        ready,
        start_calls,
    }
}

/// Cuts all processes from the service except one direct reader, the one with the most calls.
fn cut_all_but_one(run: &mut Simulation) {
    let mut calls: Vec<(u64, usize)> = Vec::new();
    for (index, node) in run.nodes.iter().enumerate() {
        calls.push((node.traffic.calls, index));
    }
    let reader = calls.iter().max().expect("a process").1;
    for (index, node) in run.nodes.iter_mut().enumerate() {
        node.is_cut_from_service = index != reader;
    }
}

const COLUMNS: [&str; 15] = [
    "processes",
    "   policy",
    "service",
    "calls/s",
    "peak calls",
    "p50 ms",
    "p99 ms",
    "worst ms",
    "missing",
    "messages/s",
    "bytes/s",
    "worst bytes/s",
    "worst beats/s",
    "all ready s",
    "peak calls at start",
];

fn separator(is_csv: bool) -> &'static str {
    if is_csv { "," } else { "  " }
}

fn print(row: &Row, is_csv: bool) {
    let millis = |time: Duration| format!("{:.1}", time.as_secs_f64() * 1e3);
    let ready = match row.ready {
        Duration::MAX => "-".to_owned(),
        ready => format!("{:.1}", ready.as_secs_f64()),
    };
    let cells = [
        row.size.to_string(),
        row.policy.to_owned(),
        format!("{:?}", row.access),
        format!("{:.2}", row.calls),
        row.peak_calls.to_string(),
        millis(row.p50),
        millis(row.p99),
        millis(row.worst),
        row.missing.to_string(),
        format!("{:.4}", row.messages),
        format!("{:.2}", row.bytes),
        format!("{:.2}", row.worst_bytes),
        format!("{:.0}", row.heartbeats),
        ready,
        row.start_calls.to_string(),
    ];
    if is_csv {
        println!("{}", cells.join(separator(is_csv)));
        return;
    }
    let padded: Vec<String> = cells
        .iter()
        .zip(COLUMNS)
        .map(|(cell, head)| format!("{cell:>width$}", width = head.len()))
        .collect();
    println!("{}", padded.join(separator(is_csv)));
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let is_csv = arguments.iter().any(|argument| argument == "--csv");
    let seed = arguments.iter().find_map(|argument| argument.parse().ok());
    let seed = seed.unwrap_or(1);
    println!("seed {seed}, watch {} s", WATCH_WAIT.as_secs());
    println!("{}", COLUMNS.join(separator(is_csv)));
    for size in SIZES {
        let policies: [(&str, Maker, Access); 4] = [
            ("spread", make_spread, Access::All),
            ("spread", make_spread, Access::One),
            ("all watch", baseline::watches, Access::All),
            ("all poll", baseline::polls, Access::All),
        ];
        for (policy, maker, access) in policies {
            print(&measure(size, seed, policy, maker, access), is_csv);
        }
    }
    delta::measure(&mut ChaCha8Rng::seed_from_u64(seed), is_csv);
}
