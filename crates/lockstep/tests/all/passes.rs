//! Estimates of pass durations.

use std::time::Duration;

use auburnline_lockstep::passes::Passes;
use googletest::prelude::*;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Passes take 120 ms, and ranks report their numbers 10 ms apart.
#[gtest]
fn what_is_left_of_a_pass_follows_from_the_one_before() {
    let mut passes = Passes::default();
    assert_that!(passes.left(millis(0)), none());
    passes.observe(7, millis(1_000));
    assert_that!(passes.left(millis(1_010)), none());
    passes.observe(8, millis(1_120));
    passes.observe(7, millis(1_130));
    passes.observe(8, millis(1_140));
    assert_that!(passes.left(millis(1_150)), some(eq(millis(90))));
    assert_that!(passes.left(millis(1_300)), some(eq(millis(0))));
}

#[gtest]
fn passes_that_were_not_seen_share_the_time() {
    let mut passes = Passes::default();
    passes.observe(7, millis(1_000));
    passes.observe(9, millis(1_200));
    assert_that!(passes.left(millis(1_200)), some(eq(millis(100))));
}
