//! Measures the time of one decision on one core, for groups of 64 ranks.
//!
//! `cargo run --release -p auburnline-rebalance --example speed [LAYERS...]`

use std::time::Duration;
use std::time::Instant;

use auburnline_core::expert::Map;
use auburnline_core::published::Rebalance;
use auburnline_rebalance::Config;
use auburnline_rebalance::Counts;
use auburnline_rebalance::Planner;
use auburnline_rebalance::counts::Shape;
use auburnline_rebalance::counts::Work;
use auburnline_rebalance::decision::Choice;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const EXPERTS: u16 = 256;
const RANKS: u16 = 64;
const PLACES: usize = 5;
const SPAN: Duration = Duration::from_secs(30);
const WEIGHTS: Rebalance = Rebalance {
    skew_weight: 1.0,
    move_weight: 0.6,
    disruption_weight: 0.05,
};

/// Measured durations of one kind of call.
#[derive(Default)]
struct Times(Vec<Duration>);

impl Times {
    fn add<T>(&mut self, call: impl FnOnce() -> T) -> T {
        let start = Instant::now();
        let result = call();
        self.0.push(start.elapsed());
        result
    }

    fn summary(&mut self) -> String {
        self.0.sort();
        let (median, worst) = (self.0[self.0.len() / 2], self.0[self.0.len() - 1]);
        let millis = |time: Duration| time.as_secs_f64() * 1e3;
        format!("{:>9.2}{:>9.2}", millis(median), millis(worst))
    }
}

fn counts(rng: &mut ChaCha8Rng, popularity: &[Vec<f64>], sequence: u64) -> Counts {
    let layers = popularity.iter().map(|layer| {
        let tokens = layer.iter().map(|share| share * rng.random_range(0.9..1.1));
        tokens.map(rounded_down).collect()
    });
    let work = Work {
        tokens: 1_000_000,
        busy: Duration::from_secs(4),
    };
    Counts {
        sequence,
        age: Duration::from_secs(1),
        span: SPAN,
        layers: layers.collect(),
        ranks: vec![work; usize::from(RANKS)],
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts are positive and small"
)]
fn rounded_down(value: f64) -> u32 {
    value as u32
}

fn measure(layers: usize) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let shape = Shape {
        layers,
        experts: EXPERTS,
        ranks: RANKS,
    };
    let mut popularity: Vec<Vec<f64>> = (0..layers)
        .map(|_| {
            let draw = |_| 16_000.0 * (rng.random_range(-1.5_f64..1.5)).exp();
            (0..EXPERTS).map(draw).collect()
        })
        .collect();
    let mut planner = Planner::new(Config::default(), shape);
    let mut map = Map::initial(RANKS, EXPERTS, layers, PLACES);
    let (mut observe, mut first, mut later) = <(Times, Times, Times)>::default();
    for sequence in 1..=60 {
        let now = SPAN * u32::try_from(sequence).unwrap_or(0);
        let report = counts(&mut rng, &popularity, sequence);
        observe.add(|| planner.observe(now, &report));
        let times = if map.generation == 1 {
            &mut first
        } else {
            &mut later
        };
        let decision = times.add(|| planner.decide(now, &map, &WEIGHTS));
        if let Choice::Change(new) = decision.choice {
            map = *new;
        }
        for share in popularity.iter_mut().flatten() {
            *share *= rng.random_range(0.98..1.02);
        }
    }
    format!(
        "{layers:>6}{}{}{}",
        observe.summary(),
        first.summary(),
        later.summary()
    )
}

fn main() {
    let layers: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let layers = if layers.is_empty() {
        vec![8, 16, 32, 58]
    } else {
        layers
    };
    println!("milliseconds: report observed, decision on the initial map, decision under drift");
    println!("layers   median    worst   median    worst   median    worst");
    for layers in layers {
        println!("{}", measure(layers));
    }
}
