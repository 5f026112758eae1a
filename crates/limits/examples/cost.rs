//! Prints the time of each operation, and the memory of each component, by number of workspaces.
//!
//! `cargo run --release -p auburnline-limits --example cost [-- --csv]`
//!
//! Memory is the growth of the resident set over several copies, so it includes the allocator's
//! overhead. It is measured first and nothing is freed, so that no copy reuses freed memory.

use std::collections::BTreeSet;
use std::env;
use std::fs;
use std::hint::black_box;
use std::mem;
use std::time::Duration;
use std::time::Instant;

use auburnline_core::id::InstanceId;
use auburnline_core::id::WorkspaceId;
use auburnline_core::request::Priority;
use auburnline_limits::bucket::Admission;
use auburnline_limits::bucket::Holder;
use auburnline_limits::lease::Ask;
use auburnline_limits::lease::Home;
use auburnline_limits::lease::Limit;
use auburnline_limits::lease::Settings;
use auburnline_limits::lease::View;
use auburnline_limits::lease::Want;
use auburnline_limits::queue;
use auburnline_limits::queue::Queue;
use auburnline_limits::queue::Waiting;

/// Numbers of workspaces, one for each column.
const SIZES: [usize; 4] = [10, 100, 650, 2_600];
/// Number of published entries.
const ENTRIES: usize = 340;
/// Number of calls over which the shorter operations are averaged.
const ROUNDS: usize = 20_000;
/// Number of copies over which memory is averaged at the largest size; smaller sizes have more.
const COPIES: usize = 40;
/// Returns the mean nanoseconds of an operation with a number of workspaces.
type Measure = fn(usize) -> f64;

/// Bytes of a memory page.
const PAGE: f64 = 4_096.0;

/// Limit that no measurement reaches.
const LIMIT: Limit = Limit {
    rate: 1_000_000_000,
    burst: 1_000_000_000,
};

fn main() {
    let csv = env::args().any(|argument| argument == "--csv");
    print(csv, "operation", &SIZES.map(|size| size.to_string()));
    for (component, name) in ["queue B", "holder B", "home B"].into_iter().enumerate() {
        let cells = SIZES.map(|size| format!("{:.0}", memory(component, size)));
        print(csv, &format!("{name}/workspace"), &cells);
    }
    let rows: [(&str, Measure); 7] = [
        ("queue push+pop+finish ns", queue_cycle),
        ("queue tick ns", queue_tick),
        ("holder charge+credit ns", holder_charge),
        ("holder asks, all active ns", holder_asks),
        ("home ask, a want ns", home_want),
        ("home tick ns", home_tick),
        ("view home of one ns", |_| view_home()),
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

/// Returns the mean nanoseconds of `rounds` calls.
#[expect(clippy::cast_precision_loss, reason = "a mean")]
fn time(rounds: usize, mut call: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    for round in 0..rounds {
        call(round);
    }
    start.elapsed().as_nanos() as f64 / rounds as f64
}

fn workspace(index: usize) -> WorkspaceId {
    format!("workspace-{index:04}").into()
}

fn entry(index: usize) -> InstanceId {
    format!("entry-{index:03}").into()
}

fn waiting(key: usize, size: usize, now: Duration) -> Waiting<u64> {
    Waiting {
        key: key as u64,
        workspace: workspace(key % size),
        weight: 1,
        priority: Priority::Normal,
        tokens: 500,
        bytes: 0,
        deadline: now + Duration::from_hours(24),
    }
}

/// Returns a queue that holds one request of each workspace.
fn full_queue(size: usize) -> Queue<u64> {
    let settings = queue::Settings::builder().max_queued(size + 1);
    let settings = settings.token_time(Duration::from_nanos(1)).build();
    let mut queue = Queue::new(settings);
    for key in 0..size {
        let _ = queue.push(Duration::ZERO, waiting(key, size, Duration::ZERO));
    }
    queue
}

fn queue_cycle(size: usize) -> f64 {
    let mut queue = full_queue(size);
    let keys: Vec<_> = (0..ROUNDS)
        .map(|round| waiting(size + round, size, Duration::ZERO))
        .collect();
    let mut keys = keys.into_iter();
    time(ROUNDS, |_| {
        if let Some(new) = keys.next() {
            let _ = queue.push(Duration::ZERO, new);
        }
        if let Some(started) = queue.pop(Duration::ZERO).started {
            queue.finish(Duration::ZERO, &started.key, 400);
        }
    })
}

fn queue_tick(size: usize) -> f64 {
    let mut queue = full_queue(size);
    time(1_000, |_| {
        black_box(queue.tick(Duration::ZERO));
    })
}

fn view() -> View {
    let entries: BTreeSet<InstanceId> = (0..ENTRIES).map(entry).collect();
    let mut view = View::new(Duration::ZERO, entry(0), Settings::default().hold_time);
    view.observe(Duration::ZERO, &entries, &entries);
    view.tick(Duration::from_mins(1));
    view
}

/// Returns a view with a single entry, which is the home of every workspace.
fn lone_view() -> View {
    let alone = BTreeSet::from([entry(0)]);
    let mut view = View::new(Duration::ZERO, entry(0), Settings::default().hold_time);
    view.observe(Duration::ZERO, &alone, &alone);
    view.tick(Duration::from_mins(1));
    view
}

/// Returns a holder with a lease of each workspace.
fn full_holder(size: usize) -> Holder {
    let now = Duration::from_mins(2);
    let view = lone_view();
    let mut home = Home::new(Settings::default());
    home.tick(now, &view);
    let mut holder = Holder::new(Settings::default(), 1);
    for index in 0..size {
        for _ in 0..3 {
            let _ = holder.charge(now, &workspace(index), 500);
        }
    }
    for (_, ask) in holder.due_asks(now, &view) {
        if let Some(grants) = home.grant(now, &view, &entry(0), &ask, |_| Some(LIMIT)) {
            holder.apply_grants(now, &grants);
        }
    }
    holder
}

fn holder_charge(size: usize) -> f64 {
    let mut holder = full_holder(size);
    let now = Duration::from_mins(2);
    let names: Vec<_> = (0..size).map(workspace).collect();
    time(ROUNDS, |round| {
        if let Admission::Admitted(charge) = holder.charge(now, &names[round % size], 100) {
            holder.credit(now, charge, 0);
        }
    })
}

fn holder_asks(size: usize) -> f64 {
    let view = view();
    let mut holder = full_holder(size);
    let now = Duration::from_mins(2);
    time(200, |_| {
        black_box(holder.due_asks(now, &view));
    })
}

fn home_want(size: usize) -> f64 {
    let view = lone_view();
    let mut home = Home::new(Settings::default());
    let now = Duration::from_mins(2);
    home.tick(now, &view);
    let want = |index| Want {
        workspace: workspace(index),
        need: 1,
        want: 1,
        returned: 0,
    };
    let mut ask = Ask {
        incarnation: 1,
        number: 0,
        wants: (0..size).map(want).collect(),
    };
    let whole = time(200, |_| {
        ask.number += 1;
        black_box(home.grant(now, &view, &entry(0), &ask, |_| Some(LIMIT)));
    });
    whole / f64::from(u32::try_from(size).unwrap_or(u32::MAX))
}

/// Returns a home with a bucket of each workspace.
fn full_home(size: usize) -> Home {
    let view = lone_view();
    let mut home = Home::new(Settings::default());
    let now = Duration::from_mins(2);
    home.tick(now, &view);
    for index in 0..size {
        let want = Want {
            workspace: workspace(index),
            need: 1,
            want: 1,
            returned: 0,
        };
        let ask = Ask {
            incarnation: 1,
            number: index as u64 + 1,
            wants: vec![want],
        };
        let _ = home.grant(now, &view, &entry(0), &ask, |_| Some(LIMIT));
    }
    home
}

fn home_tick(size: usize) -> f64 {
    let view = lone_view();
    let mut home = full_home(size);
    time(1_000, |_| home.tick(Duration::from_mins(2), &view))
}

fn view_home() -> f64 {
    let view = view();
    let name = workspace(7);
    time(1_000, |_| {
        black_box(view.home(&name));
    })
}

/// Returns the bytes of this process's resident set.
fn resident() -> f64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0.0) * PAGE
}

/// Returns the resident bytes per workspace of a component: 0 is the queue, 1 the holder, 2 the home.
fn memory(component: usize, size: usize) -> f64 {
    let before = resident();
    let copies = COPIES * 2_600 / size;
    match component {
        0 => measure_growth((0..copies).map(|_| full_queue(size)), before, size),
        1 => measure_growth((0..copies).map(|_| full_holder(size)), before, size),
        _ => measure_growth((0..copies).map(|_| full_home(size)), before, size),
    }
}

/// Returns the resident bytes per workspace of `copies`, and leaks them.
#[expect(clippy::cast_precision_loss, reason = "a mean")]
fn measure_growth<T>(copies: impl Iterator<Item = T>, before: f64, size: usize) -> f64 {
    let leaked: Vec<T> = copies.collect();
    let growth = resident() - before;
    let bytes = growth / (leaked.len() * size) as f64;
    mem::forget(leaked);
    bytes
}
