//! Request arrivals, generated before the run so that all policies get the same ones.
//!
//! All cases of a workspace share the beginning of their prompts. A case adds text of its own,
//! which grows with each turn (request). Most turns of a case arrive at the same entry.

use auburnline_core::hash::stable;
use auburnline_core::request::Priority;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::scenario::Scenario;

/// Microseconds since the start of a run.
pub(crate) type Micros = u64;

/// Mean number of turns in a case.
const MEAN_TURNS: f64 = 6.0;
/// Mean time between turns, in microseconds.
const MEAN_THINK_TIME: f64 = 8_000_000.0;
/// Fraction of turns that arrive at a random entry instead of the case's own.
const STRAY_SHARE: f64 = 0.2;
/// Maximum number of tokens that a request asks for.
pub(crate) const MAX_TOKENS: u64 = 300;

/// One request.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Micros,
    pub(crate) entry: usize,
    /// Hashes of the prompt's blocks, not chained.
    pub(crate) blocks: Vec<u64>,
    /// Number of tokens that will be generated.
    pub(crate) output: u64,
    pub(crate) priority: Priority,
}

fn block(owner: u64, index: u64) -> u64 {
    stable(owner, &index.to_le_bytes())
}

/// Returns an exponentially distributed time with `mean`, in microseconds.
fn exponential(mean: f64, rng: &mut ChaCha8Rng) -> Micros {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    micros(-uniform.ln() * mean)
}

fn micros(value: f64) -> Micros {
    std::time::Duration::try_from_secs_f64(value / 1e6)
        .ok()
        .and_then(|time| Micros::try_from(time.as_micros()).ok())
        .unwrap_or(Micros::MAX)
}

/// Draws a workspace: the large one by its share, otherwise by Zipf's law with exponent 1.
fn workspace(scenario: &Scenario, rng: &mut ChaCha8Rng) -> u64 {
    if rng.random_bool(scenario.large_share) {
        return 0;
    }
    let weights = (1..=scenario.workspaces).map(|rank| 1.0 / f64::from(rank));
    let mut left = rng.random::<f64>() * weights.clone().sum::<f64>();
    for (number, weight) in (1..).zip(weights) {
        left -= weight;
        if left <= 0.0 {
            return number;
        }
    }
    u64::from(scenario.workspaces)
}

fn shared_blocks(scenario: &Scenario, workspace: u64) -> u64 {
    if workspace == 0 {
        scenario.large_shared_blocks
    } else {
        3 + workspace % 6
    }
}

fn priority(rng: &mut ChaCha8Rng) -> Priority {
    match rng.random_range(0..10) {
        0 => Priority::Urgent,
        1 | 2 => Priority::Batch,
        _ => Priority::Normal,
    }
}

/// Returns the arrivals of one run, sorted by time.
pub(crate) fn draw(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at = 0;
    let mut case = 1_000_000;
    while at < scenario.length {
        at += exponential(1e6 * MEAN_TURNS / scenario.rate, &mut rng);
        case += 1;
        draw_case(scenario, at, case, &mut rng, &mut arrivals);
    }
    arrivals.retain(|arrival| arrival.at < scenario.length);
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn draw_case(
    scenario: &Scenario,
    start: Micros,
    case: u64,
    rng: &mut ChaCha8Rng,
    arrivals: &mut Vec<Arrival>,
) {
    let workspace = workspace(scenario, rng);
    let home = rng.random_range(0..scenario.entries);
    let shared_count = shared_blocks(scenario, workspace);
    let mut own = rng.random_range(3..12);
    let mut at = start;
    loop {
        let stray = rng.random_bool(STRAY_SHARE);
        let entry = if stray {
            rng.random_range(0..scenario.entries)
        } else {
            home
        };
        let shared = (0..shared_count).map(|index| block(workspace, index));
        let blocks = shared.chain((0..own).map(|index| block(case, index)));
        arrivals.push(Arrival {
            at,
            entry,
            blocks: blocks.collect(),
            output: rng.random_range(20..MAX_TOKENS),
            priority: priority(rng),
        });
        if rng.random_bool(1.0 / MEAN_TURNS) {
            return;
        }
        at += exponential(MEAN_THINK_TIME, rng);
        own += rng.random_range(1..4);
    }
}
