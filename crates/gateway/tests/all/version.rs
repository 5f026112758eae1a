//! Configurations that other gateways have in force and the store no longer holds.

use std::net::SocketAddr;

use auburnline_gateway::Gateway;
use auburnline_gateway::message::Entry;
use auburnline_gateway::neighbour::Roster;
use auburnline_gateway::route::Version;
use googletest::prelude::*;

use crate::gateway::BOUNDS;
use crate::support;
use crate::support::entry;
use crate::support::millis;
use crate::support::table;

fn serving(number: u16, version: Option<Version>) -> Entry {
    Entry {
        version,
        ..entry(number, 1, 1)
    }
}

fn peers(number: u16) -> SocketAddr {
    ([10, 0, 2, 1], number).into()
}

/// Returns a gateway that just started, with the given seeds.
fn gateway(seeds: &[SocketAddr]) -> Gateway {
    let roster = Roster::new(serving(1, None), seeds.to_vec());
    Gateway::new("north".into(), BOUNDS, roster, 7)
}

fn receive(
    gateway: &mut Gateway,
    number: u16,
    heartbeats: u64,
    version: Option<Version>,
    now: u64,
) {
    let from = Entry {
        heartbeats,
        ..serving(number, version)
    };
    let heartbeat = support::heartbeat(from);
    gateway.roster.receive(&heartbeat, millis(now));
}

/// Guards against a starting gateway that serves with a restored store's configuration while others
/// have one in force that the store lost.
#[gtest]
fn a_gateway_that_starts_serves_once_it_has_the_newest_version_of_the_others() {
    let mut gateway = gateway(&[peers(2)]);
    gateway.set_table(table(15));
    gateway.confirm(millis(10), millis(20));
    expect_that!(gateway.can_serve(millis(20)), eq(false));
    receive(&mut gateway, 2, 5, Some(20), 30);
    gateway.confirm_pending(millis(30));
    expect_that!(gateway.can_serve(millis(30)), eq(false));
    expect_that!(gateway.catch_up(millis(30)), some(eq(peers(2))));
    gateway.set_table(table(20));
    gateway.confirm_pending(millis(40));
    expect_that!(gateway.can_serve(millis(40)), eq(true));
    expect_that!(gateway.catch_up(millis(40)), none());
    // The older version that the store holds again does not replace the newer one.
    expect_that!(gateway.set_table(table(15)), eq(false));
}

/// Guards against a gateway that was suspended or disconnected, finds the store restored and serves
/// with its older configuration.
#[gtest]
fn a_gateway_that_comes_back_serves_once_it_has_heard_another_one() {
    let mut gateway = gateway(&[peers(2)]);
    gateway.set_table(table(15));
    receive(&mut gateway, 2, 5, Some(15), 10);
    gateway.confirm(millis(10), millis(20));
    expect_that!(gateway.can_serve(millis(20)), eq(true));
    gateway.confirm(millis(9_000), millis(9_010));
    expect_that!(gateway.can_serve(millis(9_010)), eq(false));
    receive(&mut gateway, 2, 30, Some(20), 9_100);
    gateway.confirm_pending(millis(9_100));
    expect_that!(gateway.can_serve(millis(9_100)), eq(false));
    expect_that!(gateway.catch_up(millis(9_100)), some(eq(peers(2))));
    gateway.set_table(table(20));
    gateway.confirm_pending(millis(9_110));
    expect_that!(gateway.can_serve(millis(9_110)), eq(true));
}

/// Guards against a gateway that never serves again because all others are unreachable.
#[gtest]
fn a_gateway_that_comes_back_to_the_store_alone_serves_after_a_moment_and_goes_on() {
    let mut gateway = gateway(&[peers(2)]);
    gateway.set_table(table(15));
    receive(&mut gateway, 2, 5, Some(15), 10);
    gateway.confirm(millis(10), millis(20));
    gateway.confirm(millis(9_000), millis(9_010));
    gateway.confirm_pending(millis(9_609));
    expect_that!(gateway.can_serve(millis(9_609)), eq(false));
    gateway.confirm_pending(millis(9_610));
    expect_that!(gateway.can_serve(millis(9_610)), eq(true));
    gateway.confirm(millis(9_700), millis(9_710));
    expect_that!(gateway.freshness.age(millis(9_710)), some(eq(millis(10))));
}

/// Guards against a starting gateway that hears from one other starting gateway and takes its
/// version for the newest of all.
#[gtest]
fn a_gateway_that_starts_waits_for_one_that_serves_or_for_all_that_it_asks_first() {
    let starting = |number| Entry {
        is_ready: false,
        ..serving(number, None)
    };
    for others_start in [false, true] {
        let mut gateway = gateway(&[peers(2), peers(3)]);
        gateway.set_table(table(15));
        gateway.confirm(millis(10), millis(20));
        gateway
            .roster
            .receive(&support::heartbeat(starting(2)), millis(30));
        gateway.confirm_pending(millis(30));
        expect_that!(gateway.can_serve(millis(30)), eq(false));
        if others_start {
            gateway
                .roster
                .receive(&support::heartbeat(starting(3)), millis(60));
        } else {
            receive(&mut gateway, 3, 9, Some(20), 60);
        }
        gateway.confirm_pending(millis(60));
        expect_that!(gateway.can_serve(millis(60)), eq(others_start));
        expect_that!(gateway.catch_up(millis(60)).is_some(), eq(!others_start));
    }
}

/// Guards against a deadlock of gateways that wait for each other after all lost power.
#[gtest]
fn a_gateway_that_hears_of_no_newer_version_serves_at_once() {
    let mut first = gateway(&[peers(2)]);
    first.set_table(table(15));
    first.confirm(millis(10), millis(20));
    receive(&mut first, 2, 1, None, 50);
    first.confirm_pending(millis(50));
    expect_that!(first.can_serve(millis(50)), eq(true));
    let mut alone = gateway(&[peers(1)]);
    alone.set_table(table(15));
    alone.confirm(millis(10), millis(20));
    expect_that!(alone.can_serve(millis(20)), eq(true));
}

#[gtest]
fn a_gateway_whose_seeds_are_all_down_serves_after_a_moment() {
    let mut gateway = gateway(&[peers(2)]);
    gateway.set_table(table(15));
    gateway.confirm(millis(10), millis(20));
    gateway.confirm_pending(millis(599));
    expect_that!(gateway.can_serve(millis(599)), eq(false));
    gateway.confirm_pending(millis(600));
    expect_that!(gateway.can_serve(millis(600)), eq(true));
}

/// A configuration changes in a fleet of hundreds, and the readers send it within some hundred
/// milliseconds. A gateway that requested it from another one immediately would get it twice.
#[gtest]
fn a_gateway_that_serves_leaves_time_to_the_readers_and_then_asks() {
    let mut gateway = gateway(&[peers(2)]);
    gateway.set_table(table(15));
    receive(&mut gateway, 2, 5, Some(15), 10);
    gateway.confirm(millis(10), millis(20));
    receive(&mut gateway, 2, 6, Some(20), 1_000);
    expect_that!(gateway.catch_up(millis(1_000)), none());
    receive(&mut gateway, 2, 7, Some(20), 1_800);
    expect_that!(gateway.catch_up(millis(1_899)), none());
    expect_that!(gateway.catch_up(millis(1_900)), some(eq(peers(2))));
    // Confirmations by the store don't make the older version's knowledge younger meanwhile.
    receive(&mut gateway, 2, 8, Some(20), 4_700);
    gateway.confirm(millis(4_700), millis(4_710));
    expect_that!(
        gateway.freshness.age(millis(4_710)),
        some(eq(millis(4_700)))
    );
    // A gateway that has failed is no longer waited for.
    gateway.confirm_pending(millis(9_000));
    expect_that!(
        gateway.freshness.age(millis(9_000)),
        some(eq(millis(4_300)))
    );
}

/// Guards against all gateways sending their request for the longest message to the same one.
#[gtest]
fn gateways_that_are_behind_ask_different_ones() {
    let mut asked: Vec<_> = (1..=9)
        .map(|number| {
            let roster = Roster::new(serving(number, None), vec![peers(20)]);
            let mut gateway = Gateway::new("north".into(), BOUNDS, roster, 7);
            gateway.confirm(millis(5), millis(8));
            for other in 20..40 {
                receive(&mut gateway, other, 5, Some(20), 10);
            }
            gateway.catch_up(millis(20)).expect("one that is ahead")
        })
        .collect();
    asked.sort_unstable();
    asked.dedup();
    expect_that!(asked.len(), gt(4));
}

/// All gateways of a fleet start at once, and some have the configuration earlier. The others must
/// not request it from these on each heartbeat in addition to reading the store.
#[gtest]
fn a_gateway_that_starts_asks_no_other_one_before_the_store_has_answered_and_then_one_a_beat() {
    let mut gateway = gateway(&[peers(2)]);
    for heartbeat in 1..5 {
        receive(&mut gateway, 2, heartbeat, Some(20), heartbeat);
        expect_that!(gateway.catch_up(millis(heartbeat)), none());
    }
    gateway.set_table(table(15));
    gateway.confirm(millis(10), millis(20));
    let asked = (20..620).filter(|now| gateway.catch_up(millis(*now)).is_some());
    expect_that!(asked.collect::<Vec<_>>(), eq(&vec![20, 320]));
}

/// Guards against counting the time in which entries may be written again from when another gateway
/// confirmed the configuration, in place of from when the store answered.
#[gtest]
fn a_store_that_answers_is_back_though_another_gateway_is_ahead() {
    let mut gateway = gateway(&[peers(2)]);
    gateway.set_table(table(15));
    receive(&mut gateway, 2, 1, Some(15), 10);
    gateway.confirm(millis(10), millis(20));
    gateway.freshness.record_failure(millis(1_000));
    receive(&mut gateway, 2, 2, Some(20), 1_100);
    gateway.confirm(millis(1_200), millis(1_210));
    gateway.confirm_pending(millis(3_000));
    expect_that!(gateway.freshness.may_lack_entries(millis(3_809)), eq(true));
    expect_that!(gateway.freshness.may_lack_entries(millis(3_810)), eq(false));
}
