//! Popularity estimates and detection of shifts.

use std::time::Duration;

use auburnline_lockstep::popularity::Popularity;
use googletest::prelude::*;

const EXPERTS: usize = 8;

fn activations(hot: usize) -> Vec<u32> {
    (0..EXPERTS)
        .map(|expert| if expert == hot { 900 } else { 100 })
        .collect()
}

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

#[gtest]
fn nothing_is_believed_before_there_are_enough_choices() {
    let mut popularity = Popularity::new(1, EXPERTS);
    popularity.add(&[1; EXPERTS], millis(1_000));
    assert_that!(popularity.shares(), none());
}

/// Demand shifts to other experts instantly, and repeatedly within seconds, as on the users' days. A map for the mean of
/// before and after fits neither.
#[gtest]
fn a_shift_of_demand_drops_what_was_known_before() {
    let mut popularity = Popularity::new(1, EXPERTS);
    for tick in 1..=10 {
        popularity.add(&activations(2), millis(tick * 250));
    }
    let distance = popularity.add(&activations(5), millis(2_750));
    assert_that!(distance, some(gt(0.42)));
    let shares = popularity.shares().expect("enough activations");
    assert_that!(shares[0][5], gt(0.5));
    assert_that!(shares[0][2], lt(0.1));
}

/// Flatter demand shifts, as on the users' larger deployments, where windows differ by 0.5 to 0.6 after a shift and by 0.1
/// before.
#[gtest]
fn a_shift_of_flatter_demand_is_seen_too() {
    let flatter = |hot: usize| {
        let count = |expert: usize| if expert / 2 == hot { 250 } else { 100 };
        (0..EXPERTS).map(count).collect::<Vec<u32>>()
    };
    let mut popularity = Popularity::new(1, EXPERTS);
    for tick in 1..=10 {
        popularity.add(&flatter(0), millis(tick * 250));
    }
    assert_that!(
        popularity.add(&flatter(2), millis(2_750)),
        some(near(0.54, 0.01))
    );
    let shares = popularity.shares().expect("enough activations");
    assert_that!(shares[0][0], lt(0.1));
}

#[gtest]
fn chance_is_no_shift() {
    let mut popularity = Popularity::new(1, EXPERTS);
    for tick in 1..=10 {
        let mut noisy = activations(2);
        let expert = usize::try_from(tick).expect("a small number") % EXPERTS;
        noisy[expert] += 150;
        assert_that!(popularity.add(&noisy, millis(tick * 250)), none());
    }
}

#[gtest]
fn reports_of_another_shape_are_not_taken_apart_wrongly() {
    let mut popularity = Popularity::new(2, EXPERTS);
    popularity.add(&[1_000; 3], millis(500));
    assert_that!(popularity.shares(), none());
}
