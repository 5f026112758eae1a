//! Rotation of the first receivers.

use auburnline_lockstep::output::Rotation;
use googletest::prelude::*;

fn take(rotation: &mut Rotation, all: &[u8]) -> Vec<u8> {
    rotation.take(all).copied().collect()
}

#[gtest]
fn all_are_told_each_time_and_none_is_left_out() {
    let mut rotation = Rotation::default();
    for _ in 0..3 {
        let mut taken = take(&mut rotation, &[1, 2, 3]);
        taken.sort_unstable();
        assert_that!(taken, eq(&vec![1, 2, 3]));
    }
    assert_that!(take(&mut rotation, &[]), is_empty());
}

/// In a fleet of several hundred gateways the first receivers forward a message to others, and one of them is gone.
#[gtest]
fn another_one_is_first_each_time() {
    let mut rotation = Rotation::default();
    let all = [1, 2, 3, 4, 5];
    assert_that!(take(&mut rotation, &all), eq(&vec![1, 2, 3, 4, 5]));
    assert_that!(take(&mut rotation, &all), eq(&vec![2, 3, 4, 5, 1]));
    assert_that!(take(&mut rotation, &all), eq(&vec![3, 4, 5, 1, 2]));
    // The list may have shrunk since the last call.
    assert_that!(take(&mut rotation, &[1]), eq(&vec![1]));
}
