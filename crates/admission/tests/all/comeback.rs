//! When refused callers are to return, and which ones have.

use std::time::Duration;

use auburnline_admission::comeback::Deadlines;
use auburnline_admission::comeback::Shortage;
use auburnline_admission::comeback::retry_after;
use googletest::prelude::*;

const fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

const fn shortage(expected: u64, spread: u64, left: u64) -> Shortage {
    Shortage {
        expected: millis(expected),
        spread: millis(spread),
        left: millis(left),
    }
}

#[gtest]
fn returns_are_spread_over_the_time_in_which_capacity_frees() {
    let shortage = shortage(600, 900, 8_000);
    expect_that!(retry_after(&shortage, 0.0), eq(millis(600)));
    expect_that!(retry_after(&shortage, 0.5), eq(millis(1_050)));
    expect_that!(retry_after(&shortage, 1.0), eq(millis(1_500)));
}

/// Guards against times that callers don't honour, or after which nothing is left to serve them.
#[gtest]
fn no_caller_is_told_more_than_a_third_of_the_time_that_it_has_left() {
    for left in [0, 1, 150, 300, 1_000, 3_000, 8_000, 60_000] {
        for expected in [0, 50, 700, 5_000, 100_000] {
            for spread in [0, 10, 2_000, 100_000] {
                for draw in [0.0, 0.3, 1.0] {
                    let after = retry_after(&shortage(expected, spread, left), draw);
                    expect_that!(after, le(millis(left) / 3 + Duration::from_nanos(1)));
                }
            }
        }
    }
}

#[gtest]
fn no_caller_with_time_left_is_sent_back_before_anything_has_changed() {
    for draw in [0.0, 0.5, 1.0] {
        let after = retry_after(&shortage(0, 0, 8_000), draw);
        expect_that!(after, eq(millis(100)));
        let after = retry_after(&shortage(0, 0, 90), draw);
        expect_that!(after, eq(millis(30)));
    }
}

/// Guards against a second shortage when all callers that were refused in one that lasts longer
/// than they can wait come back at the same moment.
#[gtest]
fn callers_of_a_long_shortage_come_back_late_and_not_at_once() {
    let shortage = shortage(20_000, 20_000, 9_000);
    expect_that!(retry_after(&shortage, 0.0), eq(millis(2_250)));
    expect_that!(retry_after(&shortage, 1.0), eq(millis(3_000)));
}

/// Records `count` attempts of new callers, each 50 ms after the one before it.
fn calm(deadlines: &mut Deadlines, left: impl Fn(u64) -> u64, count: u64) -> Duration {
    for number in 0..count {
        deadlines.record_attempt(7, millis(left(number)), millis(number * 50));
    }
    millis(count * 50)
}

#[gtest]
fn a_caller_with_less_time_left_than_new_ones_has_spent_the_difference() {
    let mut deadlines = Deadlines::default();
    // New callers have a little less than the deadline, for connecting took some time.
    let now = calm(&mut deadlines, |number| 8_000 - number % 5 * 100, 20);
    expect_that!(deadlines.spent(7, millis(6_400), now), eq(millis(1_200)));
    expect_that!(deadlines.spent(7, millis(7_700), now), eq(millis(0)));
    expect_that!(deadlines.spent(7, millis(9_000), now), eq(millis(0)));
    expect_that!(deadlines.spent(8, millis(6_400), now), eq(millis(0)));
}

#[gtest]
fn nothing_is_proved_where_callers_choose_their_deadlines_freely() {
    let mut deadlines = Deadlines::default();
    let now = calm(&mut deadlines, |number| 1_000 + number % 7 * 900, 40);
    for left in [10, 900, 3_000] {
        expect_that!(deadlines.spent(7, millis(left), now), eq(millis(0)));
    }
}

#[gtest]
fn nothing_is_proved_by_a_few_attempts_or_by_old_ones() {
    let mut deadlines = Deadlines::default();
    let now = calm(&mut deadlines, |_| 8_000, 15);
    expect_that!(deadlines.spent(7, millis(2_000), now), eq(millis(0)));
    let now = calm(&mut deadlines, |_| 8_000, 20);
    expect_that!(deadlines.spent(7, millis(2_000), now), eq(millis(6_000)));
    let late = now + Duration::from_mins(2);
    expect_that!(deadlines.spent(7, millis(2_000), late), eq(millis(0)));
}

/// Guards against callers that return in a shortage and are taken for new ones, which would hide
/// what all of them have spent.
#[gtest]
fn returns_after_a_refusal_do_not_change_what_new_callers_have() {
    let mut deadlines = Deadlines::default();
    let now = calm(&mut deadlines, |_| 8_000, 20);
    deadlines.record_refusal(now);
    for number in 0..100 {
        deadlines.record_attempt(7, millis(5_000), now + millis(number * 20));
    }
    let now = now + millis(2_000);
    expect_that!(deadlines.spent(7, millis(5_000), now), eq(millis(3_000)));
}

#[gtest]
fn a_change_of_the_usual_deadline_is_learned() {
    let mut deadlines = Deadlines::default();
    calm(&mut deadlines, |_| 8_000, 20);
    let now = calm(&mut deadlines, |_| 3_000, 20);
    expect_that!(deadlines.spent(7, millis(3_000), now), eq(millis(0)));
    expect_that!(deadlines.spent(7, millis(1_000), now), eq(millis(2_000)));
}

#[gtest]
fn the_number_of_routes_is_bounded_and_old_ones_give_way() {
    let mut deadlines = Deadlines::default();
    for route in 0..5_000 {
        deadlines.record_attempt(route, millis(8_000), millis(1));
    }
    expect_that!(deadlines.routes(), eq(1_024));
    let later = Duration::from_mins(2);
    deadlines.record_attempt(9_999, millis(8_000), later);
    expect_that!(deadlines.routes(), eq(1));
}
