//! Random runs: lost, delayed and duplicated messages, pauses, crashes, replacements, withdrawals.

use std::env;
use std::time::Duration;

use auburnline_core::id::Generation;
use auburnline_experts::coordinator::Event;
use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::world::InjectedFault;
use crate::world::Shape;
use crate::world::World;

/// Number of runs, each with its own seed.
const RUNS: u64 = 400;
/// Events of one run, unless `AUBURNLINE_EVENTS` is set.
const EVENTS: u64 = 1_500;
/// Maximum number of orders, and of reports, in flight; older ones are lost.
const MAX_IN_FLIGHT: usize = 40;

/// Returns a number from the environment variable `name`, or `default` if it is unset or no number.
pub(crate) fn env_number(name: &str, default: u64) -> u64 {
    env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Result of a random run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    /// Generation that the group settled in; 0 if it did not settle.
    pub(crate) changes: Generation,
    pub(crate) steps: u64,
    /// Whether ranks entered a step with different generations.
    pub(crate) violated: bool,
    /// Whether the group did not recover once the faults ended.
    pub(crate) stuck: bool,
}

fn drop_oldest<T>(in_flight: &mut Vec<T>) {
    if in_flight.len() > MAX_IN_FLIGHT {
        in_flight.remove(0);
    }
}

fn inject_fault(world: &mut World, rng: &mut ChaCha8Rng) {
    let rank = rng.random_range(0..world.ranks.len());
    let member = rng.random_range(0..world.members.len());
    let newest = world.newest();
    match rng.random_range(0..6) {
        0 => world.restart_coordinator(),
        1 if world.coordinators.len() < 3 => world.move_coordinator(),
        2 => world.replace_rank(rank),
        3 => world.restart_member(member),
        4 => world.handle_event(newest, Event::Withdraw),
        _ => world.handle_event(newest, Event::Revision(world.revision)),
    }
}

fn run_random_event(world: &mut World, rng: &mut ChaCha8Rng) {
    let rank = rng.random_range(0..world.ranks.len());
    let coordinator = rng.random_range(0..world.coordinators.len());
    match rng.random_range(0..100) {
        0..=24 if !world.orders.is_empty() => {
            let at = rng.random_range(0..world.orders.len());
            world.deliver_order(at, rng.random_ratio(1, 8));
        }
        25..=49 if !world.reports.is_empty() => {
            let at = rng.random_range(0..world.reports.len());
            world.deliver_report(at, rng.random_ratio(1, 8));
        }
        50..=59 => {
            world.now += Duration::from_millis(rng.random_range(0..30));
            world.handle_event(coordinator, Event::Tick);
        }
        60..=64 => world.finish_load(rank),
        65..=66 => world.request_change(coordinator),
        67 => inject_fault(world, rng),
        _ => world.enter(rank),
    }
    drop_oldest(&mut world.orders);
    drop_oldest(&mut world.reports);
}

/// Runs `events` random events with one seed.
pub(crate) fn run(seed: u64, events: u64, injected: InjectedFault) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(Shape {
        members: rng.random_range(1..4),
        ranks: rng.random_range(1..3),
        checks_fence: injected == InjectedFault::None && rng.random(),
        injected,
    });
    let mut outcome = Outcome::default();
    for _ in 0..events {
        run_random_event(&mut world, &mut rng);
        if world.mixed_generations().is_some() {
            outcome.violated = true;
            return outcome;
        }
    }
    outcome.stuck = !world.recovers();
    outcome.steps = world.step;
    outcome.changes = world.coordinators[0].settled_generation().unwrap_or(0);
    outcome
}

#[gtest]
fn no_step_runs_with_two_generations() {
    let seed = env_number("AUBURNLINE_SEED", 1);
    let events = env_number("AUBURNLINE_EVENTS", EVENTS);
    let mut changes = 0;
    let mut steps = 0;
    for seed in seed..seed + RUNS {
        let outcome = run(seed, events, InjectedFault::None);
        assert_that!(outcome.violated, eq(false), "seed {seed}");
        assert_that!(outcome.stuck, eq(false), "seed {seed}");
        changes += outcome.changes;
        steps += outcome.steps;
    }
    println!(
        "seeds {seed}.., {RUNS} runs of {events} events: {steps} steps, sum of last generations {changes}"
    );
    assert_that!(steps, gt(RUNS * 10));
}
