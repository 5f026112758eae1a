//! Layouts as they are sent to ranks.

use std::time::Duration;

use auburnline_lockstep::layout::Base;
use auburnline_lockstep::layout::Delta;
use auburnline_lockstep::layout::Layout;
use auburnline_lockstep::layout::Shape;
use auburnline_lockstep::layout::Update;
use googletest::prelude::*;

fn before() -> Layout {
    Layout(vec![
        vec![vec![0, 2], vec![1, 3]],
        vec![vec![0, 1], vec![2, 3]],
    ])
}

fn after() -> Layout {
    Layout(vec![
        vec![vec![0, 2], vec![1, 2, 3]],
        vec![vec![0, 1], vec![2, 3]],
    ])
}

/// The full layout of a large group takes 2 ms of the leader's link for each rank, and 50 ms for all.
#[gtest]
fn a_parcel_of_what_changed_is_smaller_and_opens_to_the_same_layout() {
    let update = Update::delta(7, &before(), &after());
    assert_that!(update.base(), some(eq(Base::Sent(7))));
    let Update::Delta(delta) = &update else {
        panic!("not a delta");
    };
    assert_that!(delta.cells.len(), eq(1));
    let known = [(6, after()), (7, before())];
    assert_that!(update.resolve(&known), some(eq(&after())));
}

#[gtest]
fn a_parcel_on_an_unknown_map_does_not_open() {
    let update = Update::delta(7, &before(), &after());
    assert_that!(update.resolve(&[(6, before())]), none());
}

/// All ranks must use one map in every pass, so a rank whose map of that version differs from the leader's must reject the
/// delta.
#[gtest]
fn a_parcel_on_another_map_of_the_same_version_does_not_open() {
    let update = Update::delta(7, &before(), &after());
    let mut other = before();
    other.0[1][0] = vec![1, 2];
    assert_that!(update.resolve(&[(7, other)]), none());
}

#[gtest]
fn a_parcel_that_names_ranks_which_are_not_there_does_not_open() {
    let update = Update::delta(7, &before(), &after());
    assert_that!(
        update.resolve(&[(7, Layout(vec![vec![vec![0, 1]]]))]),
        none()
    );
}

#[gtest]
fn a_whole_layout_needs_nothing() {
    assert_that!(Update::Full(after()).resolve(&[]), some(eq(&after())));
}

/// In the first change of a group of 64 ranks, the full map takes some 8 KB for each rank, more than a link of 6 Mbit/s
/// carries to all of them within half a second.
#[gtest]
fn what_differs_from_the_first_map_opens_where_no_map_was_ever_sent() {
    let shape = Shape {
        layers: 12,
        experts: 256,
        places: 5,
        most_new: 2,
        copy: Duration::from_millis(13),
    };
    let before = Layout::initial(&shape, 64);
    let mut after = before.clone();
    for (layer, ranks) in after.0.iter_mut().enumerate() {
        ranks[layer][0] = 255;
        ranks[layer].sort_unstable();
        ranks[layer + 1].push(17);
        ranks[layer + 1].sort_unstable();
    }
    let update = Update::delta(0, &before, &after);
    assert_that!(update.resolve(&[]), some(eq(&after)));
}

#[gtest]
fn a_first_map_beyond_all_sizes_is_not_laid_out() {
    let update = Update::Delta(Delta {
        base: Base::Initial {
            layers: u16::MAX,
            experts: u16::MAX,
            ranks: 2,
        },
        cells: Vec::new(),
        hash: 0,
    });
    assert_that!(update.resolve(&[]), none());
}
