//! Rates of arrivals.

use std::time::Duration;

use auburnline_admission::demand::Meter;
use auburnline_admission::standing::Standing;
use googletest::prelude::*;

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn of(urgency: u8) -> Standing {
    Standing {
        is_late: false,
        urgency,
    }
}

#[gtest]
fn a_rate_is_told_after_a_while_and_fades() {
    let mut meter = Meter::default();
    meter.start(millis(0));
    for step in 0..100 {
        if step == 5 {
            expect_that!(meter.rate(millis(500)), none());
        }
        meter.record(of(0), millis(step * 100));
    }
    let rate = |now| meter.rate(millis(now)).unwrap_or(f64::NAN);
    expect_that!(rate(9_950), near(10.0, 0.5));
    expect_that!(rate(13_950), near(10.0 / 7.4, 0.5));
}

/// A gateway that gets nothing tells so, or the mean would be that of the busy ones.
#[gtest]
fn a_gateway_without_arrivals_has_a_demand_of_zero() {
    let mut meter = Meter::default();
    meter.start(millis(0));
    expect_that!(meter.rate(millis(900)), none());
    expect_that!(meter.rate(millis(1_000)), some(eq(0.0)));
}

#[gtest]
fn parts_are_those_of_the_urgencies() {
    let mut meter = Meter::default();
    for step in 0..40 {
        meter.record(of(if step % 4 == 0 { 0 } else { 9 }), millis(step));
    }
    let parts = meter.parts();
    expect_that!(parts[0], near(0.25, 0.01));
    expect_that!(parts[3], near(0.75, 0.01));
}
