//! Who is told in turn.

use auburnline_lockstep::told::Turn;
use googletest::prelude::*;

fn take(turn: &mut Turn, all: &[u8], most: usize) -> Vec<u8> {
    turn.take(all, most).copied().collect()
}

#[gtest]
fn few_are_all_told_each_time() {
    let mut turn = Turn::default();
    for _ in 0..3 {
        let mut told = take(&mut turn, &[1, 2, 3], 64);
        told.sort_unstable();
        assert_that!(told, eq(&vec![1, 2, 3]));
    }
    assert_that!(take(&mut turn, &[], 64), is_empty());
}

/// Pattern: a fleet of several hundred gateways, more than a lead can tell with each word.
#[gtest]
fn many_are_told_some_at_a_time_and_none_is_left_out() {
    let mut turn = Turn::default();
    let all = [1, 2, 3, 4, 5];
    assert_that!(take(&mut turn, &all, 2), eq(&vec![1, 2]));
    assert_that!(take(&mut turn, &all, 2), eq(&vec![3, 4]));
    assert_that!(take(&mut turn, &all, 2), eq(&vec![5, 1]));
    // The list may have shrunk since.
    assert_that!(take(&mut turn, &[1], 2), eq(&vec![1]));
}
