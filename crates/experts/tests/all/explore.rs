//! Bounded model checking: breadth-first search of the states of small groups within a budget of
//! faults.

use std::collections::HashSet;
use std::hash::BuildHasher;
use std::hash::RandomState;
use std::time::Duration;

use auburnline_experts::coordinator::Coordinator;
use auburnline_experts::coordinator::Event;
use auburnline_experts::order::Command;
use auburnline_experts::order::Refusal;
use googletest::prelude::*;

use crate::random::env_number;
use crate::world::InjectedFault;
use crate::world::Shape;
use crate::world::World;

/// One in this many states is checked for recovery, to show that the group makes progress.
const RECOVERY_CHECK_INTERVAL: usize = 97;

/// Maximum number of states of one exploration, unless `AUBURNLINE_STATES` is set.
const MAX_STATES: u64 = 140_000;

/// Faults, duplicates and ticks that may still occur after a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    ticks: u8,
    duplicates: u8,
    kills: u8,
    moves: u8,
    replacements: u8,
    withdrawals: u8,
    /// Last step that ranks may enter.
    last_step: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    world: World,
    budget: Budget,
}

/// Result of an exploration, in numbers of states.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    states: usize,
    recovery_checked: usize,
    violated: usize,
    switched: usize,
    stuck: usize,
    /// Whether all states were visited.
    complete: bool,
}

/// Sorts the messages in flight, so that equal states compare equal, and drops those that would be
/// refused or ignored without any effect.
fn normalize(world: &mut World) {
    let alive: Vec<u64> = world
        .coordinators
        .iter()
        .map(Coordinator::incarnation)
        .collect();
    world.reports.retain(|(sender, _)| alive.contains(sender));
    let members = &world.members;
    world.orders.retain(|order| {
        let refused = members[order.member].clone().accept(order);
        match refused {
            Err(Refusal::StaleSequence) => false,
            Err(Refusal::StaleFence(_)) => alive.contains(&order.stamp.sender),
            _ => true,
        }
    });
    world
        .orders
        .sort_by_key(|order| (order.stamp.sender, order.stamp.sequence));
    world
        .reports
        .sort_by_key(|(sender, report)| (*sender, report.stamp.sequence, report.member));
}

fn successors(node: &Node) -> Vec<Node> {
    let mut found = Vec::new();
    let mut push = |budget: Budget, change: &dyn Fn(&mut World)| {
        let mut world = node.world.clone();
        change(&mut world);
        normalize(&mut world);
        found.push(Node { world, budget });
    };
    let budget = node.budget;
    let world = &node.world;
    for at in 0..world.orders.len() {
        push(budget, &|world| world.deliver_order(at, false));
        if let Some(duplicates) = budget.duplicates.checked_sub(1) {
            push(
                Budget {
                    duplicates,
                    ..budget
                },
                &|world| {
                    world.deliver_order(at, true);
                },
            );
        }
    }
    for at in 0..world.reports.len() {
        push(budget, &|world| world.deliver_report(at, false));
    }
    for rank in 0..world.ranks.len() {
        if world.entered[rank].is_none() && world.step <= budget.last_step {
            push(budget, &|world| world.enter(rank));
        }
        let is_last = rank + 1 == world.ranks.len();
        if is_last && let Some(replacements) = budget.replacements.checked_sub(1) {
            push(
                Budget {
                    replacements,
                    ..budget
                },
                &|world| world.replace_rank(rank),
            );
        }
    }
    if let Some(ticks) = budget.ticks.checked_sub(1) {
        for index in 0..world.coordinators.len() {
            push(Budget { ticks, ..budget }, &|world| {
                world.now += Duration::from_millis(16);
                world.handle_event(index, Event::Tick);
            });
        }
    }
    if let Some(kills) = budget.kills.checked_sub(1) {
        push(Budget { kills, ..budget }, &World::restart_coordinator);
    }
    if let Some(moves) = budget.moves.checked_sub(1) {
        push(Budget { moves, ..budget }, &World::move_coordinator);
    }
    if let Some(withdrawals) = budget.withdrawals.checked_sub(1) {
        push(
            Budget {
                withdrawals,
                ..budget
            },
            &|world| {
                world.handle_event(world.newest(), Event::Withdraw);
            },
        );
    }
    found
}

/// Returns whether the change is finished, no faults are left, and only reads are in flight.
fn is_finished(node: &Node) -> bool {
    let world = &node.world;
    let newest = &world.coordinators[world.newest()];
    let only_reads = world
        .orders
        .iter()
        .all(|order| order.stamp.sender == newest.incarnation() && order.command == Command::Read);
    let no_faults = Budget {
        last_step: node.budget.last_step,
        ..BUDGET
    };
    newest.settled_generation().is_some() && only_reads && node.budget == no_faults
}

/// Explores from a group whose coordinator has just been asked for a change to a new map.
fn explore(shape: Shape, budget: Budget, max_states: usize) -> Count {
    let mut world = World::new(shape);
    world.loads_at_once = true;
    while world.coordinators[0].settled_generation().is_none() {
        world.deliver_order(0, false);
        world.deliver_report(0, false);
    }
    world.orders.clear();
    world.request_change(0);
    let hasher = RandomState::new();
    let root = Node { world, budget };
    let mut seen = HashSet::from([hasher.hash_one(&root)]);
    let mut layer = vec![root];
    let mut count = Count::default();
    while !layer.is_empty() {
        let mut following = Vec::new();
        for node in &layer {
            count.states += 1;
            if node.world.mixed_generations().is_some() {
                count.violated += 1;
                continue;
            }
            count.switched += usize::from(node.world.entered.contains(&Some(2)));
            if count.states.is_multiple_of(RECOVERY_CHECK_INTERVAL) {
                count.recovery_checked += 1;
                count.stuck += usize::from(!node.world.clone().recovers());
            }
            if is_finished(node) {
                continue;
            }
            for child in successors(node) {
                if seen.len() < max_states && seen.insert(hasher.hash_one(&child)) {
                    following.push(child);
                }
            }
        }
        layer = following;
    }
    count.complete = seen.len() < max_states;
    count
}

const BUDGET: Budget = Budget {
    ticks: 0,
    duplicates: 0,
    kills: 0,
    moves: 0,
    replacements: 0,
    withdrawals: 0,
    last_step: 1,
};

const PAIR: Shape = Shape {
    members: 2,
    ranks: 1,
    checks_fence: false,
    injected: InjectedFault::None,
};

/// Explores and checks the result. Only the exploration of a large state space may end at the limit,
/// which `AUBURNLINE_STATES` can raise.
fn check(name: &str, shape: Shape, budget: Budget, is_large: bool) {
    let max_states = env_number("AUBURNLINE_STATES", MAX_STATES);
    let count = explore(
        shape,
        budget,
        usize::try_from(max_states).unwrap_or(usize::MAX),
    );
    println!("{name}: {count:?}");
    assert_that!(count.violated, eq(0));
    assert_that!(count.stuck, eq(0));
    assert_that!(count.switched, gt(0));
    assert_that!(count.complete || is_large, eq(true));
}

#[gtest]
fn two_ranks_with_a_killed_coordinator() {
    check("kill", PAIR, Budget { kills: 1, ..BUDGET }, false);
}

#[gtest]
fn two_ranks_with_a_withdrawal() {
    check(
        "withdraw",
        PAIR,
        Budget {
            withdrawals: 1,
            duplicates: 1,
            ..BUDGET
        },
        false,
    );
}

#[gtest]
fn two_ranks_with_an_old_coordinator() {
    check("promotion", PAIR, Budget { moves: 1, ..BUDGET }, true);
}

#[gtest]
fn two_ranks_with_a_replaced_rank() {
    check(
        "replacement",
        PAIR,
        Budget {
            replacements: 1,
            ticks: 1,
            ..BUDGET
        },
        true,
    );
}

#[gtest]
fn three_ranks_without_faults() {
    let shape = Shape { members: 3, ..PAIR };
    check("three", shape, BUDGET, false);
}

#[gtest]
fn two_ranks_with_a_coordinator_killed_twice() {
    let budget = Budget { kills: 2, ..BUDGET };
    check("two kills", PAIR, budget, true);
}

#[gtest]
fn two_ranks_with_a_kill_and_a_withdrawal() {
    let budget = Budget {
        kills: 1,
        withdrawals: 1,
        ..BUDGET
    };
    check("kill, withdraw", PAIR, budget, true);
}
