//! Aggregation of counts on their way to the leader.

use auburnline_lockstep::tally::Tally;
use googletest::prelude::*;

/// In a group of 64 ranks with 3,072 counts each, the leader's link carries the counts of only a few ranks.
#[gtest]
fn counts_of_several_ranks_go_on_as_one_sum_and_only_once() {
    let mut tally = Tally::default();
    tally.add(3, &[1, 2]);
    tally.add(3, &[10, 20]);
    let mut own = [100, 200];
    tally.add_to(&mut own, Some(3));
    assert_that!(own, eq([111, 222]));
    let mut next = [1, 1];
    tally.add_to(&mut next, Some(3));
    assert_that!(next, eq([1, 1]));
}

/// A group that forms again starts with the initial map; activations of an earlier epoch say nothing about its load.
#[gtest]
fn counts_of_another_epoch_are_not_added() {
    let mut tally = Tally::default();
    tally.add(3, &[5, 5]);
    tally.add(4, &[1, 1]);
    tally.add(3, &[7, 7]);
    let mut own = [0, 0];
    tally.add_to(&mut own, Some(4));
    assert_that!(own, eq([1, 1]));
    tally.add(4, &[1, 1]);
    tally.add_to(&mut own, Some(5));
    assert_that!(own, eq([1, 1]));
}

#[gtest]
fn counts_of_another_shape_are_not_added() {
    let mut tally = Tally::default();
    tally.add(3, &[1, 2]);
    tally.add(3, &[1, 2, 3]);
    let mut own = [0, 0];
    tally.add_to(&mut own, Some(3));
    assert_that!(own, eq([1, 2]));
}
