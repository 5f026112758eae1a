//! Benchmark of the time of one routing decision by number of groups.
//!
//! `cargo run --release -p auburnline-routing --example cost [-- --csv]`. Timed separately are the
//! keys of the prompt's prefixes, the choice, the records of the send and of its end, a load
//! report, and a choice after a session has changed. All reports are recorded before the decisions.

use std::env;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use auburnline_core::id::GroupId;
use auburnline_core::load::Load;
use auburnline_core::load::Report;
use auburnline_core::request::Priority;
use auburnline_routing::Config;
use auburnline_routing::Member;
use auburnline_routing::Prefix;
use auburnline_routing::Query;
use auburnline_routing::Router;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const GROUPS: [usize; 5] = [4, 12, 32, 90, 256];
const SEED: u64 = 1;
const DECISIONS: usize = 20_000;
/// Runs of each size; the fastest counts, as other load on the machine slows some down.
const RUNS: usize = 7;
/// Bytes of a prompt, about 1,600 tokens.
const PROMPT_BYTES: usize = 6_400;
/// Number of distinct prompts, used in turn.
const PROMPTS: usize = 64;
/// Simulated time between two decisions.
const GAP: Duration = Duration::from_millis(5);

/// Nanoseconds per operation.
struct Times {
    prefix: u128,
    route: u128,
    count: u128,
    report: u128,
    rebuild: u128,
}

fn name(number: usize) -> GroupId {
    format!("group-{number}").into()
}

fn fleet(groups: usize) -> Router {
    let mut router = Router::new(Config::builder("nord".into()).build());
    for number in 0..groups {
        let member = Member {
            pool: "drafts".into(),
            model: Some("maize".into()),
            failure_domain: "nord".into(),
        };
        router.insert(name(number), member);
        router.set_session_up(&name(number), true);
    }
    router
}

fn report(rng: &mut ChaCha8Rng) -> Report {
    Report {
        load: Load {
            queued: 0,
            running: 60,
            backlog_tokens: rng.random_range(8_000..20_000),
            step_time: Duration::from_millis(rng.random_range(12..22)),
            skew: 1.05,
        },
        age: Duration::from_millis(100),
    }
}

fn query(prefix: Prefix) -> Query {
    Query {
        pool: "drafts".into(),
        model: Some("maize".into()),
        prefix,
        prompt_tokens: 1_600,
        max_tokens: 300,
        priority: Priority::Normal,
        deadline: Duration::from_secs(30),
        excluded: Vec::new(),
    }
}

/// Returns random prompts of which the first third is the same.
fn prompts(rng: &mut ChaCha8Rng) -> Vec<Vec<u8>> {
    let shared: Vec<u8> = (0..PROMPT_BYTES / 3).map(|_| rng.random()).collect();
    let own = PROMPT_BYTES - shared.len();
    let draw = |_| {
        let tail = (0..own).map(|_| rng.random());
        shared.iter().copied().chain(tail).collect()
    };
    (0..PROMPTS).map(draw).collect()
}

/// Returns the nanoseconds per operation for `count` operations since `start`.
fn each(start: Instant, count: usize) -> u128 {
    start.elapsed().as_nanos() / count.max(1) as u128
}

fn time_reports(router: &mut Router, names: &[GroupId], rng: &mut ChaCha8Rng) -> u128 {
    let reports: Vec<Report> = (0..DECISIONS).map(|_| report(rng)).collect();
    let start = Instant::now();
    for (index, &report) in reports.iter().enumerate() {
        router.report(&names[index % names.len()], report, GAP);
    }
    each(start, DECISIONS)
}

fn time_rebuild(router: &mut Router, names: &[GroupId], rng: &mut ChaCha8Rng) -> u128 {
    let query = query(Prefix::default());
    let rounds = 200;
    let start = Instant::now();
    for index in 0..rounds {
        router.set_session_up(&names[0], index % 2 == 1);
        black_box(router.route(&query, GAP, rng));
    }
    each(start, rounds)
}

fn run(groups: usize) -> Times {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut router = fleet(groups);
    let names: Vec<GroupId> = (0..groups).map(name).collect();
    let prompts = prompts(&mut rng);
    let start = Instant::now();
    for index in 0..DECISIONS {
        black_box(Prefix::new(&prompts[index % PROMPTS]));
    }
    let prefix = each(start, DECISIONS);
    let queries: Vec<Query> = prompts
        .iter()
        .map(|text| query(Prefix::new(text)))
        .collect();
    let report = time_reports(&mut router, &names, &mut rng);
    let mut route = Duration::ZERO;
    let mut count = Duration::ZERO;
    let mut now = GAP;
    for index in 0..DECISIONS {
        now += GAP;
        let query = &queries[index % PROMPTS];
        let start = Instant::now();
        let decision = black_box(router.route(query, now, &mut rng));
        let chosen = Instant::now();
        let group = decision.group().expect("a unit");
        if let Some(ticket) = router.record_sent(group, query, now) {
            router.record_finished(ticket);
        }
        route += chosen.duration_since(start);
        count += chosen.elapsed();
    }
    Times {
        prefix,
        route: route.as_nanos() / DECISIONS as u128,
        count: count.as_nanos() / DECISIONS as u128,
        report,
        rebuild: time_rebuild(&mut router, &names, &mut rng),
    }
}

fn main() {
    let csv = env::args().any(|word| word == "--csv");
    let header = [
        "groups",
        "prefix_ns",
        "route_ns",
        "count_ns",
        "report_ns",
        "rebuild_ns",
    ];
    print(csv, header.map(str::to_owned));
    for groups in GROUPS {
        let runs: Vec<Times> = (0..RUNS).map(|_| run(groups)).collect();
        let least = |field: fn(&Times) -> u128| {
            let least = runs.iter().map(field).min().unwrap_or(0);
            least.to_string()
        };
        let cells = [
            groups.to_string(),
            least(|times| times.prefix),
            least(|times| times.route),
            least(|times| times.count),
            least(|times| times.report),
            least(|times| times.rebuild),
        ];
        print(csv, cells);
    }
}

fn print(csv: bool, cells: [String; 6]) {
    if csv {
        println!("{}", cells.join(","));
    } else {
        let cells = cells.map(|cell| format!("{cell:>11}"));
        println!("{}", cells.join(""));
    }
}
