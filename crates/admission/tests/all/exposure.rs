//! How far a group is filled, by the passes that its streams met.

use std::time::Duration;

use auburnline_admission::exposure::Cost;
use auburnline_admission::exposure::Exposure;
use googletest::prelude::*;

const COST: Cost = Cost {
    base: 0.025,
    slope: 0.000_4,
    longest: 0.150,
};
const CALM: f64 = 1.4;
const SHIFTED: f64 = 2.6;
const PASS: Duration = Duration::from_millis(100);
const LIFE: Duration = Duration::from_secs(2);

/// Passes each 0.1 s for a minute, of which those of the first 0.4 s of each period are long.
fn learned(period: u64, life: Duration) -> Exposure {
    let mut exposure = Exposure::default();
    for pass in 0..600_u64 {
        let now = pass * 100;
        let factor = if now % period < 400 { SHIFTED } else { CALM };
        exposure.observe(factor, PASS, life, Duration::from_millis(now));
    }
    exposure
}

#[gtest]
fn a_group_is_filled_for_its_shifts_if_most_streams_meet_one() {
    let factor = learned(2_500, LIFE).best(&COST).expect("evidence");
    assert_that!(factor, all!(ge(SHIFTED), lt(SHIFTED * 1.1)));
}

#[gtest]
fn a_group_is_filled_for_calm_passes_if_few_streams_meet_a_shift() {
    let factor = learned(60_000, LIFE).best(&COST).expect("evidence");
    assert_that!(factor, all!(ge(CALM), lt(CALM * 1.1)));
}

/// The shifts are the same, and streams live so shortly that few meet one.
#[gtest]
fn short_streams_are_served_as_if_shifts_were_rare() {
    let life = Duration::from_millis(200);
    let factor = learned(5_000, life).best(&COST).expect("evidence");
    assert_that!(factor, lt(CALM * 1.1));
}

#[gtest]
fn one_or_two_passes_are_no_evidence() {
    let mut exposure = Exposure::default();
    for pass in 0..3 {
        exposure.observe(CALM, PASS, LIFE, Duration::from_millis(100 * pass));
    }
    assert_that!(exposure.best(&COST), none());
}

/// A pass that takes several times as long as all others, once in a minute.
#[gtest]
fn one_long_pass_does_not_close_a_group() {
    let mut exposure = learned(60_000, LIFE);
    exposure.observe(5.5, PASS, LIFE, Duration::from_millis(60_100));
    for pass in 0..5 {
        exposure.observe(CALM, PASS, LIFE, Duration::from_millis(60_200 + 100 * pass));
    }
    assert_that!(exposure.best(&COST).expect("evidence"), lt(CALM * 1.1));
}

/// The first map of a group knows no demand, like any map right after a shift.
#[gtest]
fn a_group_is_filled_for_a_shift_until_calm_passes_outweigh_its_first_ones() {
    let mut exposure = Exposure::default();
    let mut fill_at = |seconds: std::ops::Range<u64>| {
        for pass in seconds.start * 10..seconds.end * 10 {
            let factor = if pass < 10 { SHIFTED } else { CALM };
            exposure.observe(factor, PASS, LIFE, Duration::from_millis(pass * 100));
        }
        exposure.best(&COST).expect("evidence")
    };
    assert_that!(fill_at(0..2), ge(SHIFTED));
    assert_that!(fill_at(2..4), ge(SHIFTED));
    assert_that!(fill_at(4..14), lt(CALM * 1.1));
}

/// Several gateways tell of the same passes, each by a load that it knows roughly.
#[gtest]
fn rough_values_of_many_gateways_count_as_one_pass() {
    let mut exposure = Exposure::default();
    for pass in 0..300_u32 {
        for sample in 0..5_u32 {
            let rough = 0.9 + 0.05 * f64::from((sample + pass) % 5);
            let at = Duration::from_millis((pass * 100 + sample * 5).into());
            exposure.observe(CALM * rough, PASS, LIFE, at);
        }
    }
    assert_that!(exposure.best(&COST).expect("evidence"), lt(CALM * 1.06));
}
