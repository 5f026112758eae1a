//! What is withheld from requests that go last.

use auburnline_admission::reserve::Accounts;
use auburnline_admission::reserve::Reserve;
use auburnline_admission::standing::Standing;
use googletest::prelude::*;

const FIRST: Standing = Standing {
    is_late: false,
    urgency: 0,
};
const SECOND: Standing = Standing {
    is_late: false,
    urgency: 1,
};
const LATE: Standing = Standing {
    is_late: true,
    urgency: 0,
};
/// Requests that a group carries.
const MOST: f64 = 200.0;
/// Reports of the group's leader in each run.
const REPORTS: u32 = 400;

/// Lets one gateway that has the whole group send what it may: `wanted` of each standing come between
/// two reports, each of which grants `headroom`. Returns what is sent of each.
fn run<const N: usize>(headroom: f64, reserve: &Reserve, wanted: [(Standing, u32); N]) -> [u32; N] {
    let mut accounts = Accounts::default();
    accounts.reset(headroom, 1.0, reserve, 0.5);
    let mut sent = [0; N];
    for _ in 0..REPORTS {
        accounts.grant(headroom, 1.0, reserve, 1.0, 4.0);
        // They come in turn, the last ones first.
        let rounds = wanted.iter().map(|(_, count)| *count).max().unwrap_or(0);
        for round in 0..rounds {
            for (at, (standing, count)) in wanted.iter().enumerate().rev() {
                if round < *count && accounts.is_left(*standing) {
                    accounts.spend(*standing);
                    sent[at] += 1;
                }
            }
        }
    }
    sent
}

#[gtest]
fn late_requests_get_nothing_while_those_in_time_fill_the_group() {
    let reserve = Reserve::new(MOST, 10.0, [1.0, 0.0, 0.0, 0.0]);
    let [first, late] = run(8.0, &reserve, [(FIRST, 10), (LATE, 10)]);
    expect_that!(late, eq(0));
    expect_that!(first, ge(8 * REPORTS - 8));
}

#[gtest]
fn late_requests_get_what_those_in_time_leave() {
    let reserve = Reserve::new(MOST, 5.0, [1.0, 0.0, 0.0, 0.0]);
    let [first, late] = run(8.0, &reserve, [(FIRST, 5), (LATE, 10)]);
    expect_that!(first, ge(5 * REPORTS - 10));
    expect_that!(first + late, le(8 * REPORTS + 8));
    expect_that!(late, ge(2 * REPORTS));
}

/// A burst of the least urgent comes beside steady urgent requests.
#[gtest]
fn urgent_requests_go_first_and_others_keep_a_quarter() {
    let reserve = Reserve::new(MOST, 18.0, [8.0 / 18.0, 10.0 / 18.0, 0.0, 0.0]);
    let [first, second] = run(9.0, &reserve, [(FIRST, 8), (SECOND, 10)]);
    // An even division serves half of each.
    expect_that!(first, ge(REPORTS * 6));
    expect_that!(second, ge(REPORTS * 10 / 2 / 4));
    expect_that!(first + second, le(REPORTS * 9 + 9));
}

#[gtest]
fn no_urgency_starves_beside_more_urgent_ones_that_fill_the_group() {
    let reserve = Reserve::new(MOST, 20.0, [0.9, 0.1, 0.0, 0.0]);
    let [first, second] = run(6.0, &reserve, [(FIRST, 18), (SECOND, 2)]);
    // Six of twenty are served, of the less urgent a quarter of that part.
    expect_that!(second, ge(REPORTS * 2 * 6 / 20 / 4 - 2));
    expect_that!(first + second, le(REPORTS * 6 + 6));
    expect_that!(first, gt(second));
}

#[gtest]
fn nothing_is_withheld_from_one_urgency() {
    let reserve = Reserve::new(MOST, 20.0, [1.0, 0.0, 0.0, 0.0]);
    expect_that!(reserve.withheld(FIRST), eq(0.0));
    let [with] = run(6.0, &reserve, [(FIRST, 18)]);
    let [without] = run(6.0, &Reserve::default(), [(FIRST, 18)]);
    expect_that!(with, eq(without));
}

/// Reserves stay a part of the group where far more is expected than it carries.
#[gtest]
fn a_reserve_is_bounded() {
    let reserve = Reserve::new(MOST, 900.0, [0.5, 0.5, 0.0, 0.0]);
    expect_that!(reserve.withheld(LATE), eq(MOST / 4.0));
    expect_that!(reserve.withheld(SECOND), eq(MOST / 4.0));
}
