//! Layouts on their way to a rank.

use auburnline_lockstep::layout::Layout;
use auburnline_lockstep::layout::Parcel;
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

/// Pattern: the whole layout of a large group takes 2 ms of the lead's link to each rank, 50 ms to all.
#[gtest]
fn a_parcel_of_what_changed_is_smaller_and_opens_to_the_same_layout() {
    let parcel = Parcel::changed(7, &before(), &after());
    assert_that!(parcel.base(), some(eq(7)));
    let Parcel::Changed(changed) = &parcel else {
        panic!("a parcel of what changed");
    };
    assert_that!(changed.cells.len(), eq(1));
    let known = [(6, after()), (7, before())];
    assert_that!(parcel.open(&known), some(eq(&after())));
}

#[gtest]
fn a_parcel_on_an_unknown_map_does_not_open() {
    let parcel = Parcel::changed(7, &before(), &after());
    assert_that!(parcel.open(&[(6, before())]), none());
}

/// One map in every pass: a rank whose map of that version differs from the lead's must not guess.
#[gtest]
fn a_parcel_on_another_map_of_the_same_version_does_not_open() {
    let parcel = Parcel::changed(7, &before(), &after());
    let mut other = before();
    other.0[1][0] = vec![1, 2];
    assert_that!(parcel.open(&[(7, other)]), none());
}

#[gtest]
fn a_parcel_that_names_ranks_which_are_not_there_does_not_open() {
    let parcel = Parcel::changed(7, &before(), &after());
    assert_that!(parcel.open(&[(7, Layout(vec![vec![vec![0, 1]]]))]), none());
}

#[gtest]
fn a_whole_layout_needs_nothing() {
    assert_that!(Parcel::Whole(after()).open(&[]), some(eq(&after())));
}
