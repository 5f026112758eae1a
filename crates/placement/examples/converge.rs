//! Measures how long a pool takes to converge to a new preset, and the capacity it lacks meanwhile.
//!
//! `cargo run --release -p auburnline-placement --example converge [-- --csv]`

use std::env;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fleet;
use crate::fleet::Limit;
use crate::fleet::STEP;

#[path = "../tests/all/fleet.rs"]
mod fleet;

const TRIALS: u32 = 30;
const SIZES: [usize; 3] = [4, 12, 24];
const MAX_STEPS: usize = 100_000;

#[derive(Default)]
struct Outcome {
    seconds: f64,
    /// Seconds that groups did not accept work, summed over the groups.
    lost_group_seconds: f64,
    fewest_open: usize,
    cut_streams: usize,
}

fn run(seed: u32, groups: usize, limit: Limit) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(seed));
    let mut fleet = Fleet::new(groups, groups / 2, limit);
    fleet.publish();
    let mut outcome = Outcome {
        fewest_open: groups,
        ..Outcome::default()
    };
    for _ in 0..MAX_STEPS {
        fleet.step(&mut rng, 20);
        let closed = u32::try_from(fleet.closed()).unwrap_or(u32::MAX);
        outcome.lost_group_seconds += f64::from(closed) * STEP.as_secs_f64();
        outcome.fewest_open = outcome.fewest_open.min(fleet.open());
        if fleet.is_converged() {
            break;
        }
    }
    outcome.seconds = fleet.now.as_secs_f64();
    outcome.cut_streams = fleet.cut_streams;
    outcome
}

fn main() {
    let csv = env::args().any(|argument| argument == "--csv");
    let titles = [
        "groups",
        "way",
        "seconds",
        "lost_group_s",
        "fewest_open",
        "cut",
    ];
    if csv {
        println!("{}", titles.join(","));
    } else {
        println!("seeds 1..={TRIALS}");
        println!("{}", titles.map(|title| format!("{title:>14}")).concat());
    }
    for groups in SIZES {
        let limits = [
            ("one by one", Limit::Capped(1)),
            ("cap 2", Limit::Capped(2)),
            ("cap 4", Limit::Capped(4)),
            ("all at once", Limit::Unlimited),
        ];
        for (name, limit) in limits {
            let outcomes: Vec<Outcome> =
                (1..=TRIALS).map(|seed| run(seed, groups, limit)).collect();
            let count = f64::from(TRIALS);
            let seconds = outcomes.iter().map(|o| o.seconds).sum::<f64>() / count;
            let lost = outcomes.iter().map(|o| o.lost_group_seconds).sum::<f64>() / count;
            let fewest = outcomes.iter().map(|o| o.fewest_open).min().unwrap_or(0);
            let cut: usize = outcomes.iter().map(|o| o.cut_streams).sum();
            if csv {
                println!("{groups},{name},{seconds:.1},{lost:.1},{fewest},{cut}");
            } else {
                println!("{groups:>14}{name:>14}{seconds:>14.1}{lost:>14.1}{fewest:>14}{cut:>14}");
            }
        }
    }
}
