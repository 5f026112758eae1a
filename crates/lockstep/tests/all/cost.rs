//! Durations of passes.

use std::time::Duration;

use auburnline_lockstep::cost::Cost;
use googletest::prelude::*;

/// Cost on the users' larger deployments: six steps of 5.85 ms; a request adds 2.79 ms for decoding and 0.59 ms for the part
/// of its prompt that is prefilled in a pass.
const COST: Cost = Cost {
    base: Duration::from_micros(35_100),
    request: Duration::from_micros(3_380),
    expert_part: 0.85,
    longest_pause: Duration::from_millis(120),
};

/// The reference value is from the bench: on the grown scale-1 deployment, the leader of a group logged a mean pass of
/// 72.3 ms over a second, with 150 requests on 24 ranks and a skew of 1.6 (`fleetbench run`, 20.1 to 22.1 s).
#[gtest]
fn a_pass_lasts_as_long_as_the_bench_shows() {
    let pass = COST.pass(150.0 / 24.0, 1.6).as_secs_f64() * 1_000.0;
    assert_that!(pass, near(72.3, 6.0));
}

#[gtest]
fn passes_are_short_only_where_even_copying_leaves_them_far_below_the_pause() {
    assert_that!(COST.is_short(2.0, 3.0), eq(true));
    assert_that!(COST.is_short(5.0, 3.0), eq(false));
}

/// Guards against a configuration whose durations are each valid and end the process when they
/// are multiplied.
#[gtest]
fn a_pass_of_enormous_durations_is_the_longest_one() {
    let enormous = Cost {
        base: Duration::MAX,
        request: Duration::MAX,
        ..COST
    };
    assert_that!(enormous.pass(5.0, 3.0), eq(Duration::MAX));
    assert_that!(enormous.is_short(5.0, 3.0), eq(false));
    assert_that!(COST.pass(f64::MAX, f64::MAX), eq(Duration::MAX));
    assert_that!(COST.pass(f64::NAN, -1.0), eq(COST.base));
}
