//! All orders of events of a change, within bounds.
//!
//! Orders wait in a set from which each may be carried out at any time, more than once, or never; the
//! coordinator sees ranks one by one and at any time, and may be killed and started anew. The group
//! begins a pass whenever no rank holds it. No pass may begin with two maps, and a group that is healed
//! must settle.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use auburnline_core::id::Rank;
use auburnline_core::id::Step;
use auburnline_lockstep::change::Change;
use auburnline_lockstep::change::Order;
use auburnline_lockstep::change::Progress;
use auburnline_lockstep::change::stray;
use auburnline_lockstep::deputy::Deputy;
use auburnline_lockstep::deputy::Pledge;
use auburnline_lockstep::sight::Sight;
use auburnline_lockstep::sight::Switch;
use auburnline_lockstep::sight::Version;
use googletest::prelude::*;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::IteratorRandom as _;
use rand_chacha::ChaCha8Rng;

use crate::support::Engine;

const HOLDER: Rank = 0;
const AHEAD: Step = 2;
/// Passes that are explored.
const LAST_PASS: Step = 5;
/// States after which a search is cut off, unless the environment says another number.
const MOST_STATES: usize = 150_000;
/// Variable with the number of states after which a search is cut off.
const STATES_VARIABLE: &str = "AUBURNLINE_STATES";

#[derive(Clone, Copy)]
struct Bounds {
    ranks: Rank,
    changes: Version,
    kills: u8,
    /// Whether a deputy acts at any time beside the coordinator, on what it saw at any time before.
    has_deputy: bool,
    /// Whether the fault is planted that ranks are armed without a hold.
    arms_unheld: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    step: Step,
    engines: Vec<Engine>,
    orders: BTreeSet<(Rank, Key)>,
    sights: Vec<Option<Sight>>,
    change: Option<Change>,
    begun: Version,
    kills: u8,
    deputy: Deputy,
    /// The rank that holds, as the deputy saw it last.
    holder: Option<Sight>,
}

/// An order in a form that can be sorted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Key {
    Prepare(Version),
    Hold(Step),
    Arm(Version, Step),
    Release(Step),
}

impl Key {
    fn of(order: Order) -> Key {
        match order {
            Order::Prepare(version) => Key::Prepare(version),
            Order::Hold(step) => Key::Hold(step),
            Order::Arm(Switch { version, step }) => Key::Arm(version, step),
            Order::Release(step) => Key::Release(step),
        }
    }

    fn order(self) -> Order {
        match self {
            Key::Prepare(version) => Order::Prepare(version),
            Key::Hold(step) => Order::Hold(step),
            Key::Arm(version, step) => Order::Arm(Switch { version, step }),
            Key::Release(step) => Order::Release(step),
        }
    }
}

impl World {
    fn new(bounds: Bounds) -> World {
        let ranks = usize::from(bounds.ranks);
        World {
            step: 0,
            engines: vec![Engine::default(); ranks],
            orders: BTreeSet::new(),
            sights: vec![None; ranks],
            change: None,
            begun: 0,
            kills: 0,
            deputy: Deputy::default(),
            holder: None,
        }
    }

    fn next(&self, bounds: Bounds) -> Vec<World> {
        let mut worlds = Vec::new();
        worlds.extend(self.begin_pass());
        for (rank, key) in &self.orders {
            let mut world = self.clone();
            world.engines[usize::from(*rank)].order(key.order(), self.step);
            worlds.push(world.clone());
            // Carried out and not to come again.
            world.orders.remove(&(*rank, *key));
            worlds.push(world);
        }
        for rank in 0..bounds.ranks {
            worlds.push(self.look(rank, bounds));
        }
        worlds.push(self.tick(bounds));
        if bounds.has_deputy {
            worlds.extend((0..bounds.ranks).map(|rank| self.deputy_looks(rank, bounds)));
            worlds.push(self.stand_in());
        }
        if self.kills < bounds.kills {
            let mut world = self.clone();
            world.kills += 1;
            world.change = None;
            world.sights.fill(None);
            worlds.push(world);
        }
        worlds.retain(|world| world != self);
        worlds
    }

    fn begin_pass(&self) -> Option<World> {
        let pass = self.step + 1;
        let is_held = self.engines.iter().any(|engine| engine.held == Some(pass));
        if is_held || pass > LAST_PASS {
            return None;
        }
        let mut world = self.clone();
        world.step = pass;
        for engine in &mut world.engines {
            engine.enter(pass);
        }
        Some(world)
    }

    fn look(&self, rank: Rank, bounds: Bounds) -> World {
        let mut world = self.clone();
        let index = usize::from(rank);
        let sight = world.engines[index].sight(rank, bounds.ranks, self.step);
        world.sights[index] = Some(sight);
        world
    }

    fn deputy_looks(&self, rank: Rank, bounds: Bounds) -> World {
        let mut world = self.clone();
        let sight = world.engines[usize::from(rank)].sight(rank, bounds.ranks, self.step);
        if rank == HOLDER {
            world.holder = Some(sight);
        } else {
            world.deputy.see(&sight);
        }
        world
    }

    /// Lets the deputy act on what it saw, as if its lead were silent.
    fn stand_in(&self) -> World {
        let mut world = self.clone();
        let Some(holder) = &self.holder else {
            return world;
        };
        let orders = world.deputy.orders(holder).into_iter();
        let keys = orders.map(|(rank, order)| (rank, Key::of(order)));
        world.orders.extend(keys);
        world
    }

    /// Tells the deputy of a hold that is among `orders`.
    fn pledge(&mut self, version: Version, orders: &[(Rank, Order)]) {
        let Some((_, Order::Hold(step))) = orders.first() else {
            return;
        };
        let pledge = Pledge {
            group: String::new(),
            epoch: 1,
            switch: Switch {
                version,
                step: *step,
            },
            sidecars: Vec::new(),
            holder: ([127, 0, 0, 1], 1).into(),
        };
        self.deputy.pledge(pledge, Duration::ZERO);
    }

    /// Lets the coordinator decide on what it saw.
    fn tick(&self, bounds: Bounds) -> World {
        let mut world = self.clone();
        let sights: Vec<Sight> = self.sights.iter().flatten().cloned().collect();
        if sights.len() < usize::from(bounds.ranks) {
            return world;
        }
        let seen: Vec<&Sight> = sights.iter().collect();
        if world.change.is_none() {
            world.change = Change::found(&seen, HOLDER);
        }
        if let (None, Some(step)) = (&world.change, stray(&seen, HOLDER)) {
            world.orders.insert((HOLDER, Key::Release(step)));
            return world;
        }
        let is_calm = seen
            .iter()
            .all(|sight| sight.armed.is_none() && sight.held.is_none());
        if world.change.is_none() && is_calm && world.begun < bounds.changes {
            world.begun += 1;
            world.change = Some(Change::new(1, world.begun));
        }
        let Some(change) = &mut world.change else {
            return world;
        };
        let version = change.version();
        match change.advance(&seen, HOLDER, AHEAD) {
            Progress::Orders(orders) => {
                if bounds.has_deputy {
                    world.pledge(version, &orders);
                }
                let keys = orders.iter().map(|(rank, order)| (*rank, Key::of(*order)));
                world.orders.extend(keys);
                if bounds.arms_unheld {
                    world.plant();
                }
            }
            Progress::Done | Progress::Void => world.change = None,
        }
        world
    }

    /// Plants the fault that ranks are armed as soon as the hold is ordered.
    fn plant(&mut self) {
        let holds = self.orders.iter().filter_map(|(_, key)| match key {
            Key::Hold(step) => Some(*step),
            Key::Prepare(_) | Key::Arm(..) | Key::Release(_) => None,
        });
        let arms: Vec<Key> = holds.map(|step| Key::Arm(self.begun, step)).collect();
        let ranks = Rank::try_from(self.engines.len()).expect("few ranks");
        for arm in arms {
            self.orders.extend((0..ranks).map(|rank| (rank, arm)));
        }
    }

    fn is_mixed(&self) -> bool {
        let first = self.engines[0].version;
        self.engines.iter().any(|engine| engine.version != first)
    }

    /// Carries out all that is ordered, looks at all and decides, until nothing changes.
    fn settles(mut self, bounds: Bounds) -> bool {
        for _ in 0..64 {
            let orders: Vec<_> = std::mem::take(&mut self.orders).into_iter().collect();
            for (rank, key) in orders {
                self.engines[usize::from(rank)].order(key.order(), self.step);
            }
            for rank in 0..bounds.ranks {
                self = self.look(rank, bounds);
            }
            self = self.tick(bounds);
            let pass = self.step + 1;
            if !self.engines.iter().any(|engine| engine.held == Some(pass)) {
                self.step = pass;
                self.engines
                    .iter_mut()
                    .for_each(|engine| engine.enter(pass));
            }
            if self.is_mixed() {
                return false;
            }
        }
        let is_free = self.engines.iter().all(|engine| engine.held.is_none());
        is_free && self.step > LAST_PASS
    }
}

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
            outcome.stuck += usize::from(!world.clone().settles(bounds));
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
        has_deputy: false,
        arms_unheld: false,
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

#[gtest]
fn a_deputy_beside_a_coordinator_that_lives_does_no_harm() {
    let beside = Bounds {
        has_deputy: true,
        ..bounds(2, 1, 0)
    };
    let outcome = explore(beside);
    assert_that!((outcome.mixed, outcome.stuck), eq((0, 0)));
}

/// The search in breadth does not reach a switch of three ranks; those that dive do.
#[gtest]
fn three_ranks_switch_together() {
    dive_often(bounds(3, 2, 2));
}

/// Pattern: a lead freezes between a hold and its release, its deputy takes the change forward on looks of any
/// age, and the lead wakes up and goes on.
#[gtest]
fn three_ranks_switch_together_with_a_deputy() {
    dive_often(Bounds {
        has_deputy: true,
        ..bounds(3, 2, 2)
    });
}

fn dive_often(bounds: Bounds) {
    let mut switched = 0;
    for seed in 0..400 {
        let world = dive(bounds, seed);
        assert_that!(world.is_mixed(), eq(false), "seed {seed}");
        switched += usize::from(world.engines[0].version > 0);
        assert_that!(world.settles(bounds), eq(true), "seed {seed}");
    }
    assert_that!(switched, gt(50));
}

/// Takes one path at random, to the last pass or a number of events.
fn dive(bounds: Bounds, seed: u64) -> World {
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
        // Passes come seldom beside the orders, as they do between processes.
        let is_pass = next.step > world.step;
        if !is_pass || random.random_ratio(1, 6) {
            world = next;
        }
    }
    world
}

#[gtest]
fn arming_without_a_hold_is_caught() {
    let planted = Bounds {
        arms_unheld: true,
        ..bounds(2, 1, 0)
    };
    assert_that!(explore(planted).mixed, gt(0));
}
