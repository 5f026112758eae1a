//! Measures the time that a leader takes on one core for one report of a rank, one tick during a change, and one plan.
//!
//! `cargo run --release -p auburnline-lockstep --example cost [-- --csv]`
//!
//! Groups have 8 to 128 ranks and 12 layers with four experts per rank. A report carries the state and the expert
//! activations of one rank. The change is in its first phase, and half of the ranks have prepared it.

use std::time::Duration;
use std::time::Instant;

use auburnline_core::id::Rank;
use auburnline_lockstep::Coordinator;
use auburnline_lockstep::change::Order;
use auburnline_lockstep::coordinator::Service;
use auburnline_lockstep::cost::Cost;
use auburnline_lockstep::layout::Layout;
use auburnline_lockstep::layout::Shape;
use auburnline_lockstep::plan::Scope;
use auburnline_lockstep::plan::plan;
use auburnline_lockstep::rank::NOMINAL_SLOWDOWN_PERCENT;
use auburnline_lockstep::rank::State;
use auburnline_lockstep::traffic::Link;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// Experts of each layer per rank: 64 ranks hold 256.
const EXPERTS_PER_RANK: usize = 4;
const LAYERS: usize = 12;
const SEED: u64 = 1;
/// Repetitions of each measured call.
const REPETITIONS: u32 = 40;
const COST: Cost = Cost {
    base: Duration::from_millis(47),
    request: Duration::from_millis(20),
    expert_part: 0.85,
    longest_pause: Duration::from_millis(150),
};

fn shape(ranks: Rank) -> Shape {
    Shape {
        layers: LAYERS,
        experts: usize::from(ranks) * EXPERTS_PER_RANK,
        places: EXPERTS_PER_RANK + 1,
        most_new: 2,
        copy: Duration::from_millis(13),
    }
}

/// Returns activations of one rank; the most popular expert of a layer draws about a twentieth of them.
fn activations(shape: &Shape, rng: &mut ChaCha8Rng) -> Vec<u32> {
    let layer = |rng: &mut ChaCha8Rng| {
        let first = rng.random_range(0..shape.experts);
        let count = move |expert: usize| {
            let place = (expert + shape.experts - first) % shape.experts;
            u32::try_from(2_000 / (place + 4)).unwrap_or(0)
        };
        (0..shape.experts).map(count)
    };
    (0..shape.layers).flat_map(|_| layer(rng)).collect()
}

fn state(rank: Rank, size: Rank, step: u64, prepared: Option<u64>) -> State {
    State {
        rank,
        size,
        epoch: 1,
        is_open: true,
        is_busy: false,
        step,
        version: 0,
        prepared,
        armed: None,
        held: None,
        running: 3,
        waiting: 0,
        slowdown_percent: NOMINAL_SLOWDOWN_PERCENT,
        is_unresponsive: false,
    }
}

fn mean(mut call: impl FnMut()) -> Duration {
    let start = Instant::now();
    for _ in 0..REPETITIONS {
        call();
    }
    start.elapsed() / REPETITIONS
}

/// Returns the mean times of a report, a tick and a plan.
fn measure(ranks: Rank) -> [Duration; 3] {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let shape = shape(ranks);
    let counts = activations(&shape, &mut rng);
    let service = Service {
        shape,
        cost: COST,
        link: Link::of_mbps(6.0),
    };
    let mut coordinator = Coordinator::new(service, Duration::from_secs(1), Duration::ZERO);
    let mut now = Duration::ZERO;
    let mut version = None;
    for turn in 0..40 {
        now += Duration::from_millis(100);
        for rank in 0..ranks {
            let prepared = version.filter(|_| rank < ranks / 2);
            coordinator.observe(state(rank, ranks, turn, prepared), &counts, None, now);
        }
        for dispatch in coordinator.tick(now) {
            if let Order::Prepare(ordered) = dispatch.order {
                version = Some(ordered);
            }
        }
        if version.is_some() {
            break;
        }
    }
    assert!(version.is_some(), "no change was started");
    let report = mean(|| coordinator.observe(state(0, ranks, 50, version), &counts, None, now));
    let tick = mean(|| {
        now += Duration::from_millis(1);
        let _ = coordinator.tick(now);
    });
    let before = Layout::initial(&shape, ranks);
    let shares = counts.chunks(shape.experts).map(|layer| {
        let sum: u32 = layer.iter().sum();
        let part = |count: &u32| f64::from(*count) / f64::from(sum);
        layer.iter().map(part).collect()
    });
    let shares: Vec<Vec<f64>> = shares.collect();
    let experts_part = COST.expert_work(3.0);
    let planned = mean(|| {
        let _ = plan(&before, &shares, &shape, &Scope::STEADY, experts_part, &[]);
    });
    [report, tick, planned]
}

fn main() {
    let is_csv = std::env::args().any(|argument| argument == "--csv");
    let separator = if is_csv { "," } else { "\t" };
    println!(
        "{}",
        ["ranks", "word_us", "look_us", "plan_us"].join(separator)
    );
    for ranks in [8, 16, 32, 64, 128] {
        let times = measure(ranks).map(|time| format!("{:.1}", time.as_secs_f64() * 1e6));
        println!("{ranks}{separator}{}", times.join(separator));
    }
}
