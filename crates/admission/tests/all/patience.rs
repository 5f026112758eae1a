//! How long a request may be held.

use std::time::Duration;

use auburnline_admission::patience::Patience;
use googletest::prelude::*;

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

const STREAM: Patience = Patience {
    arrived: Duration::from_secs(1),
    spent: Duration::ZERO,
    objective: Duration::from_millis(500),
    longest_pause: Some(Duration::from_millis(150)),
    deadline: Duration::from_secs(9),
};

/// Guards against a request that is held until its caller abandons the stream, 2 s after its
/// arrival.
#[gtest]
fn a_stream_is_held_no_longer_than_its_caller_bears_less_its_first_event() {
    expect_that!(STREAM.start_by(), eq(millis(1_150)));
    expect_that!(STREAM.hold_until(), eq(millis(2_500)));
}

#[gtest]
fn a_caller_that_waits_long_for_an_event_is_held_longer_within_a_part_of_its_deadline() {
    let slow = Patience {
        objective: millis(1_000),
        ..STREAM
    };
    expect_that!(slow.hold_until(), eq(millis(3_000)));
    let short = Patience {
        deadline: millis(2_200),
        ..STREAM
    };
    expect_that!(short.hold_until(), eq(millis(1_300)));
}

#[gtest]
fn time_spent_before_counts() {
    let returned = Patience {
        spent: millis(100),
        ..STREAM
    };
    expect_that!(returned.start_by(), eq(millis(1_050)));
    let late = Patience {
        spent: millis(900),
        ..STREAM
    };
    expect_that!(late.start_by(), eq(late.arrived));
}

#[gtest]
fn callers_honour_a_third_of_what_is_left() {
    expect_that!(STREAM.longest_return(millis(3_000)), eq(millis(2_000)));
}
