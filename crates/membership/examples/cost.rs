//! Benchmarks membership operations against the size of the fleet.
//!
//! `cargo run --release -p auburnline-membership --example cost [-- --csv]`
//!
//! A third of the instances are entries. The view has sessions to a tenth of the instances.

use std::collections::BTreeSet;
use std::env;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use auburnline_core::id::InstanceId;
use auburnline_membership::discovery;
use auburnline_membership::discovery::Candidate;
use auburnline_membership::heartbeat::Heartbeat;
use auburnline_membership::list::List;
use auburnline_membership::view::Event;
use auburnline_membership::view::View;

/// Numbers of instances, one for each row.
const SIZES: [u32; 5] = [24, 96, 384, 768, 1_060];
/// Number of failure domains.
const DOMAINS: u32 = 6;
/// Calls per measurement; the result is their mean.
const ROUNDS: u32 = 5_000;
/// Calls per measurement of applying a whole list.
const LISTS: u32 = 200;
/// Time that is passed to all calls.
const NOW: Duration = Duration::from_secs(1);

fn main() {
    let csv = env::args().any(|argument| argument == "--csv");
    let names = [
        "instances",
        "discovery us",
        "tick us",
        "live us",
        "heard ns",
        "list us",
    ];
    print(csv, &names.map(str::to_owned));
    for size in SIZES {
        let mut view = view(size);
        let heard = Event::Heartbeat(name(1), heartbeat());
        let micros = |nanos: f64| format!("{:.2}", nanos / 1e3);
        let cells = [
            size.to_string(),
            micros(discovery(size)),
            micros(time(ROUNDS, || {
                black_box(view.handle(Event::Tick, NOW));
            })),
            micros(time(ROUNDS, || {
                black_box(view.live(NOW).count());
            })),
            format!(
                "{:.0}",
                time(ROUNDS, || {
                    black_box(view.handle(heard.clone(), NOW));
                })
            ),
            micros(lists(size, &mut view)),
        ];
        print(csv, &cells);
    }
}

fn print(csv: bool, cells: &[String]) {
    if csv {
        println!("{}", cells.join(","));
        return;
    }
    let cells: Vec<String> = cells.iter().map(|cell| format!("{cell:>13}")).collect();
    println!("{}", cells.join(""));
}

/// Returns the mean duration of `rounds` calls in nanoseconds.
fn time(rounds: u32, mut call: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..rounds {
        call();
    }
    start.elapsed().as_secs_f64() * 1e9 / f64::from(rounds)
}

fn name(index: u32) -> InstanceId {
    format!("instance-{index:04}").into()
}

const fn heartbeat() -> Heartbeat {
    Heartbeat {
        next: Duration::from_secs(1),
        is_leaving: false,
    }
}

fn view(size: u32) -> View {
    let mut view = View::new(name(0), 1);
    let instances: BTreeSet<InstanceId> = (0..size).map(name).collect();
    let wanted: BTreeSet<InstanceId> = (1..=size / 10).map(name).collect();
    let fleet = Event::Fleet {
        revision: 1,
        instances,
        drains: BTreeSet::new(),
    };
    let mut events = vec![fleet, Event::List(list(size, 1)), Event::Wanted(wanted)];
    events.extend((1..=size / 10).map(|index| Event::SessionUp(name(index), u64::from(index))));
    for event in events {
        view.handle(event, NOW);
    }
    view
}

fn list(size: u32, version: u64) -> List {
    List {
        version,
        live: (0..size).map(name).collect(),
        leaving: BTreeSet::new(),
    }
}

/// Returns the mean duration of applying a newer list in nanoseconds.
fn lists(size: u32, view: &mut View) -> f64 {
    let all: Vec<Event> = (2..)
        .take(LISTS as usize)
        .map(|version| Event::List(list(size, version)))
        .collect();
    let mut all = all.into_iter();
    time(LISTS, || {
        if let Some(event) = all.next() {
            black_box(view.handle(event, NOW));
        }
    })
}

/// Returns the mean duration of a discovery answer in nanoseconds.
///
/// A third of the fleet are entries.
fn discovery(size: u32) -> f64 {
    let candidate = |index: u32| Candidate {
        instance: name(index),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        failure_domain: format!("domain-{}", index % DOMAINS).into(),
        weight: 1,
        is_up: index.is_multiple_of(10),
        is_live: true,
        is_leaving: false,
    };
    let candidates: Vec<Candidate> = (0..size / 3).map(candidate).collect();
    let mut seed = 0;
    time(ROUNDS, || {
        seed += 1;
        black_box(discovery::offer(&candidates, Some("domain-1"), seed));
    })
}
