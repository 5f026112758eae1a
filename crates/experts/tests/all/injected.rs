//! The random runs must detect deliberately injected faults.

use std::time::Duration;

use auburnline_experts::coordinator::Event;
use googletest::prelude::*;

use crate::random;
use crate::world::InjectedFault;
use crate::world::Shape;
use crate::world::World;

/// Seeds below this must suffice to detect an injected fault.
const RUNS: u64 = 3_000;
/// Events of one run.
const EVENTS: u64 = 1_500;

fn first_violation(injected: InjectedFault) -> Option<u64> {
    let seed = (1..RUNS).find(|&seed| random::run(seed, EVENTS, injected).violated);
    println!("{injected:?}: first seen with seed {seed:?}");
    seed
}

#[gtest]
fn a_rank_that_switches_alone_is_seen() {
    assert_that!(
        first_violation(InjectedFault::UnreleasedSwitch),
        some(anything())
    );
}

#[gtest]
fn members_that_do_not_fence_are_seen() {
    assert_that!(first_violation(InjectedFault::NoFence), some(anything()));
}

#[gtest]
fn a_restart_that_aborts_after_a_release_is_seen() {
    assert_that!(
        first_violation(InjectedFault::AbortAfterRelease),
        some(anything())
    );
}

#[gtest]
fn a_restart_that_judges_by_those_it_reached_is_seen() {
    assert_that!(
        first_violation(InjectedFault::ReachableOnly),
        some(anything())
    );
}

/// An old coordinator must not release a rank through a member that restarted with an old revision.
///
/// The engine ignores fencing numbers. All ranks are armed when the old coordinator pauses before it
/// receives the reports. A new coordinator on another instance aborts at one member; the other member
/// restarts with the old revision, so it takes the old coordinator's fencing number for a valid one.
#[gtest]
fn a_member_that_restarts_with_an_old_revision_is_not_misled() {
    let mut world = World::new(Shape {
        members: 2,
        ranks: 1,
        checks_fence: false,
        injected: InjectedFault::StaleMember,
    });
    for _ in 0..20 {
        if world.coordinators[0].phase() == "arming" {
            break;
        }
        deliver_all(&mut world);
        if world.coordinators[0].settled_generation().is_some() {
            world.request_change(0);
        }
        (0..2).for_each(|rank| world.finish_load(rank));
        world.now += Duration::from_millis(20);
        world.handle_event(0, Event::Tick);
    }
    assert_that!(world.coordinators[0].phase(), eq("arming"));
    // All ranks are armed; the old coordinator pauses before it receives the reports.
    while !world.orders.is_empty() {
        world.deliver_order(0, false);
    }
    let delayed_reports = std::mem::take(&mut world.reports);
    world.move_coordinator();
    deliver_all(&mut world);
    deliver_all(&mut world);
    assert_that!(world.coordinators[1].phase(), eq("aborting"));
    let abort = world.orders.iter().position(|order| order.member == 0);
    world.deliver_order(abort.expect("an abort"), false);
    world.orders.clear();
    world.reports.clear();
    // The old coordinator resumes after the slot of the other member has restarted.
    world.restart_member(1);
    world.reports = delayed_reports;
    while !world.reports.is_empty() {
        world.deliver_report(0, false);
    }
    for _ in 0..4 {
        world.orders.retain(|order| order.member == 1);
        deliver_all(&mut world);
    }
    for _ in 0..600 {
        world.enter(0);
        world.enter(1);
    }
    assert_that!(world.mixed_generations(), none());
    assert_that!(world.recovers(), eq(true));
}

fn deliver_all(world: &mut World) {
    while !world.orders.is_empty() {
        world.deliver_order(0, false);
    }
    while !world.reports.is_empty() {
        world.deliver_report(0, false);
    }
}
