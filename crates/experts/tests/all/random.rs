//! Random runs: lost, late and doubled messages, pauses, deaths, replacements, withdrawals.

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

/// Runs of one test in CI; each has its own seed.
const RUNS: u64 = 400;
/// Events of one run in CI.
const EVENTS: u64 = 1_500;
/// Most messages that wait; older ones are lost.
const MAX_WAITING: usize = 40;

/// Returns a number from the environment.
pub(crate) fn env_number(name: &str, default: u64) -> u64 {
    env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// What a random run came to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) changes: Generation,
    pub(crate) steps: u64,
    pub(crate) violated: bool,
    pub(crate) stuck: bool,
}

fn lose_oldest<T>(waiting: &mut Vec<T>) {
    if waiting.len() > MAX_WAITING {
        waiting.remove(0);
    }
}

fn fault(world: &mut World, rng: &mut ChaCha8Rng) {
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

fn act(world: &mut World, rng: &mut ChaCha8Rng) {
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
        67 => fault(world, rng),
        _ => world.enter(rank),
    }
    lose_oldest(&mut world.orders);
    lose_oldest(&mut world.reports);
}

/// Runs one seed.
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
        act(&mut world, &mut rng);
        if world.mixed_generations().is_some() {
            outcome.violated = true;
            return outcome;
        }
    }
    outcome.stuck = !world.recovers();
    outcome.steps = world.step;
    outcome.changes = world.coordinators[0].settled().unwrap_or(0);
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
        "seeds {seed}.., {RUNS} runs of {events} events: {steps} steps, generations up to a sum of {changes}"
    );
    assert_that!(steps, gt(RUNS * 10));
}
