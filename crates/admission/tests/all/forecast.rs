//! What is left of what gateways told.

use std::time::Duration;

use auburnline_admission::forecast::MAX_AGE;
use auburnline_admission::forecast::Mean;
use auburnline_admission::forecast::Record;
use googletest::prelude::*;

#[gtest]
fn newer_values_weigh_more() {
    let now = Duration::from_secs(30);
    let mut mean = Mean::default();
    mean.add(1.0, Duration::from_secs(5), now);
    mean.add(2.0, Duration::ZERO, now);
    assert_that!(mean.value(now).expect("a value"), gt(1.95));
}

#[gtest]
fn a_value_ages_out() {
    let mut mean = Mean::default();
    mean.add(1.0, Duration::ZERO, Duration::ZERO);
    assert_that!(mean.value(MAX_AGE / 2), some(eq(1.0)));
    assert_that!(mean.value(MAX_AGE), none());
}

#[gtest]
fn damaged_records_are_void() {
    let record = Record {
        group: 1,
        factor: 1.5,
        fill: 2.0,
        age_ms: 100,
    };
    assert_that!(record.is_valid(), eq(true));
    for damaged in [f32::NAN, f32::INFINITY, -1.0] {
        let factor = Record {
            factor: damaged,
            ..record
        };
        let fill = Record {
            fill: damaged,
            ..record
        };
        assert_that!(factor.is_valid() || fill.is_valid(), eq(false));
    }
    let old = Record {
        age_ms: 20_000,
        ..record
    };
    assert_that!(old.is_valid(), eq(false));
}
