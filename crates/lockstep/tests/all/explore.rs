//! Bounded model checking of a change over all interleavings of events.
//!
//! Orders wait in a set from which each may be carried out at any time, more than once, or never. The coordinator
//! polls ranks one by one and at any time, and may be killed and restarted. The group begins a pass whenever no rank
//! holds it. No pass may begin with two maps, and once no more faults occur a group must converge.

mod world;

use std::collections::HashSet;
use std::collections::VecDeque;

use auburnline_core::id::Rank;
use auburnline_lockstep::rank::Version;
use googletest::prelude::*;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::IteratorRandom as _;
use rand_chacha::ChaCha8Rng;

use crate::explore::world::Bounds;
use crate::explore::world::Fault;
use crate::explore::world::World;

/// Number of states after which a search is cut off, unless the environment sets another one.
const MOST_STATES: usize = 400_000;
/// Environment variable with the number of states after which a search is cut off.
const STATES_VARIABLE: &str = "AUBURNLINE_STATES";

struct Outcome {
    states: usize,
    mixed: usize,
    switched: usize,
    stuck: usize,
}

fn explore(bounds: Bounds) -> Outcome {
    let most = std::env::var(STATES_VARIABLE).ok();
    let most = most.map_or(MOST_STATES, |most| {
        most.parse().expect("a number of states")
    });
    let first = World::new(bounds);
    let mut seen = HashSet::from([first.clone()]);
    let mut queue = VecDeque::from([first]);
    let mut outcome = Outcome {
        states: 0,
        mixed: 0,
        switched: 0,
        stuck: 0,
    };
    while let Some(world) = queue.pop_front() {
        outcome.states += 1;
        outcome.mixed += usize::from(world.is_mixed());
        outcome.switched += usize::from(world.engines[0].version > 0);
        if outcome.states.is_multiple_of(89) && !world.is_mixed() {
            outcome.stuck += usize::from(!world.clone().converges(bounds));
        }
        if outcome.states + queue.len() > most {
            continue;
        }
        for next in world.next(bounds) {
            if seen.insert(next.clone()) {
                queue.push_back(next);
            }
        }
    }
    println!(
        "{} ranks, {} changes, {} kills: {} states, {} switched, {} mixed, {} stuck",
        bounds.ranks,
        bounds.changes,
        bounds.kills,
        outcome.states,
        outcome.switched,
        outcome.mixed,
        outcome.stuck
    );
    outcome
}

fn bounds(ranks: Rank, changes: Version, kills: u8) -> Bounds {
    Bounds {
        ranks,
        changes,
        kills,
        has_standby: false,
        may_hold_next: false,
        injected: None,
    }
}

fn assert_safe(bounds: Bounds) {
    let outcome = explore(bounds);
    assert_that!(outcome.mixed, eq(0));
    assert_that!(outcome.stuck, eq(0));
    assert_that!(outcome.switched, gt(0));
}

#[gtest]
fn no_order_of_events_begins_a_pass_with_two_maps() {
    assert_safe(bounds(2, 1, 0));
}

#[gtest]
fn late_orders_of_one_change_do_no_harm_to_the_next() {
    assert_safe(bounds(2, 2, 0));
}

#[gtest]
fn a_coordinator_killed_at_any_point_leaves_nothing_that_its_successor_gets_wrong() {
    assert_safe(bounds(2, 2, 1));
}

/// A leader estimates the running pass as longer or shorter than it is, and its successor estimates it differently.
#[gtest]
fn a_hold_of_the_next_pass_does_no_harm_with_one_killed_at_any_point() {
    assert_safe(Bounds {
        may_hold_next: true,
        ..bounds(2, 2, 1)
    });
}

#[gtest]
fn a_standby_beside_a_coordinator_that_lives_does_no_harm() {
    let beside = Bounds {
        has_standby: true,
        ..bounds(2, 1, 0)
    };
    let outcome = explore(beside);
    assert_that!((outcome.mixed, outcome.stuck), eq((0, 0)));
}

/// The breadth-first search does not reach a switch of three ranks within its bound; random walks do.
#[gtest]
fn three_ranks_switch_together() {
    assert_walks_safe(bounds(3, 2, 2));
}

/// A leader freezes between a hold and its release, its standby completes the change on observations of any age, and the
/// leader wakes up and continues.
#[gtest]
fn three_ranks_switch_together_with_a_standby() {
    assert_walks_safe(Bounds {
        has_standby: true,
        ..bounds(3, 2, 2)
    });
}

fn assert_walks_safe(bounds: Bounds) {
    let mut switched = 0;
    for seed in 0..400 {
        let world = random_walk(bounds, seed);
        assert_that!(world.is_mixed(), eq(false), "seed {seed}");
        switched += usize::from(world.engines[0].version > 0);
        assert_that!(world.converges(bounds), eq(true), "seed {seed}");
    }
    assert_that!(switched, gt(50));
}

/// Takes a random walk, until the last pass or for a bounded number of events.
fn random_walk(bounds: Bounds, seed: u64) -> World {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(bounds);
    for _ in 0..400 {
        let next = world.next(bounds).into_iter().choose(&mut random);
        let Some(next) = next else {
            return world;
        };
        if next.is_mixed() {
            return next;
        }
        // Passes are rare compared with orders, as they are between processes.
        let is_pass = next.step > world.step;
        if !is_pass || random.random_ratio(1, 6) {
            world = next;
        }
    }
    world
}

/// The search must detect a standby that ends a hold without checking whether ranks may be armed.
#[gtest]
fn ending_a_hold_for_which_ranks_may_be_armed_is_caught() {
    let faulty = Bounds {
        has_standby: true,
        injected: Some(Fault::EndsArmed),
        ..bounds(3, 2, 0)
    };
    let caught = (0..400).filter(|seed| random_walk(faulty, *seed).is_mixed());
    assert_that!(caught.count(), gt(0));
}

#[gtest]
fn arming_without_a_hold_is_caught() {
    let faulty = Bounds {
        injected: Some(Fault::ArmsUnheld),
        ..bounds(2, 1, 0)
    };
    assert_that!(explore(faulty).mixed, gt(0));
}
