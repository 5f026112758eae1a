//! Predictions of how many streams a group can carry.

use auburnline_gateway::pace::Group;
use auburnline_gateway::pace::Load;
use googletest::prelude::*;

use crate::support::ENGINE;
use crate::support::millis;

fn load(in_flight: u32) -> Load {
    Load {
        ranks: 12,
        in_flight,
        slowest: 100,
        slowest_busy: 100,
    }
}

/// Returns a group that saw passes of one length for some seconds.
fn group(pause: u64, in_flight: u32) -> Group {
    let mut group = Group::default();
    for tick in 0..40 {
        group.observe(
            &ENGINE,
            millis(120),
            millis(pause),
            load(in_flight),
            millis(tick * 100),
        );
    }
    group
}

/// Guards against overload: with more callers than a group can serve in time, its passes grow with
/// all that it runs, and beyond the longest pause all its streams are late at once, which left
/// 0.33 of the credit.
#[gtest]
fn a_group_whose_passes_grow_takes_fewer_streams() {
    let slow = group(110, 100).predict(&ENGINE, millis(120), load(100));
    let quick = group(50, 100).predict(&ENGINE, millis(120), load(100));
    assert_that!(slow.most, lt(100.0));
    assert_that!(quick.most, gt(120.0));
}

#[gtest]
fn the_prediction_meets_what_was_seen() {
    let predicted = group(80, 100).predict(&ENGINE, millis(120), load(99));
    assert_that!(predicted.pass.as_secs_f64(), near(0.080, 0.002));
}

/// Guards against a stall counted as load: a rank crashes and the whole group stalls for more than
/// a second.
#[gtest]
fn a_stall_is_no_load() {
    let mut group = group(60, 60);
    let before = group.predict(&ENGINE, millis(120), load(60));
    group.observe(&ENGINE, millis(120), millis(1_500), load(60), millis(9_000));
    assert_that!(group.predict(&ENGINE, millis(120), load(60)), eq(before));
}

#[gtest]
fn no_lull_opens_a_group_beyond_its_places_and_no_burst_shuts_it() {
    let lightly_loaded = group(30, 100).predict(&ENGINE, millis(120), load(0));
    assert_that!(lightly_loaded.most, le(144.0));
    let overloaded = group(400, 30).predict(&ENGINE, millis(120), load(0));
    assert_that!(overloaded.most, ge(12.0));
}

/// Demand shifts, and passes grow from 60 ms to 130 ms from one to the next.
#[gtest]
fn two_long_passes_stop_what_is_sent() {
    let mut group = group(60, 80);
    assert_that!(
        group.predict(&ENGINE, millis(120), load(80)).most,
        gt(100.0)
    );
    group.observe(&ENGINE, millis(120), millis(130), load(80), millis(4_030));
    group.observe(&ENGINE, millis(120), millis(130), load(80), millis(4_160));
    assert_that!(group.predict(&ENGINE, millis(120), load(80)).most, lt(80.0));
}

/// Shifts demand each `period` ms, with three long passes after each shift; returns how many
/// streams the group may carry by its calm passes.
fn shifting(period: u64) -> f64 {
    let mut group = Group::default();
    let mut most = 0.0;
    let mut now = 0;
    while now < 30_000 {
        let is_long = now % period < 400;
        let pause = if is_long { 135 } else { 70 };
        now += pause;
        group.observe(&ENGINE, millis(120), millis(pause), load(130), millis(now));
        if now % period > period - 100 {
            most = group.predict(&ENGINE, millis(120), load(130)).most;
        }
    }
    most
}

/// Shifts are so frequent that nearly every stream meets one, as on the users' grown deployment
/// with one each 2.5 s.
#[gtest]
fn a_group_that_shifts_often_is_filled_for_the_passes_after_a_shift() {
    assert_that!(shifting(2_500), lt(125.0));
}

/// Shifts are rare, and most streams meet none.
#[gtest]
fn a_group_that_shifts_rarely_is_filled_for_calm_passes() {
    assert_that!(shifting(10_000), gt(135.0));
}

/// Guards against a group that is kept underfilled after a slow rank recovered: all passes were
/// long meanwhile, which says nothing about shifts of demand, so the group must be filled as before
/// at once.
#[gtest]
fn a_group_is_filled_again_as_soon_as_its_slow_rank_is_well() {
    let slow = Load {
        slowest: 1_200,
        slowest_busy: 1_200,
        ..load(100)
    };
    let mut group = Group::default();
    let mut pass = |pause, load, ticks: std::ops::Range<u64>| {
        for tick in ticks {
            group.observe(
                &ENGINE,
                millis(120),
                millis(pause),
                load,
                millis(tick * 100),
            );
        }
        group.predict(&ENGINE, millis(120), load).most
    };
    let before = pass(60, load(100), 0..100);
    pass(300, slow, 100..200);
    let after = pass(60, load(100), 200..220);
    assert_that!(after, gt(0.9 * before));
}

/// Guards against counting a slow rank that runs nothing: once its streams left, it has no work of
/// its own in a pass, and the group serves as well as without it.
#[gtest]
fn a_slow_rank_that_runs_nothing_leaves_room_for_streams() {
    let group = group(60, 100);
    let most = |slowest_busy| {
        let load = Load {
            slowest: 1_200,
            slowest_busy,
            ..load(100)
        };
        group.predict(&ENGINE, millis(120), load).most
    };
    assert_that!(
        most(100),
        eq(group.predict(&ENGINE, millis(120), load(100)).most)
    );
    assert_that!(most(1_200), lt(0.5 * most(100)));
}
