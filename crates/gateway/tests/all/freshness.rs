//! Age of the published state.

use auburnline_gateway::freshness::Change;
use auburnline_gateway::freshness::Freshness;
use googletest::prelude::*;

use crate::support::millis;

#[gtest]
fn knowledge_is_as_old_as_the_question() {
    let mut freshness = Freshness::new(millis(5_000));
    assert_that!(freshness.is_fresh(millis(0)), eq(false));
    let _ = freshness.record_success(millis(1_000), millis(2_000));
    assert_that!(freshness.age(millis(2_000)), some(eq(millis(1_000))));
}

/// An API key that was revoked at the store 5 s before a request must not work, whatever
/// connections are down.
#[gtest]
fn keys_are_not_trusted_once_a_revocation_could_be_unknown() {
    let mut freshness = Freshness::new(millis(5_000));
    let _ = freshness.record_success(millis(1_000), millis(1_100));
    assert_that!(freshness.is_fresh(millis(5_700)), eq(true));
    assert_that!(freshness.is_fresh(millis(6_000)), eq(false));
}

#[gtest]
fn an_answer_to_an_older_question_makes_nothing_older() {
    let mut freshness = Freshness::new(millis(5_000));
    let _ = freshness.record_success(millis(3_000), millis(3_100));
    let _ = freshness.record_success(millis(1_000), millis(3_200));
    assert_that!(freshness.age(millis(4_000)), some(eq(millis(1_000))));
}

#[gtest]
fn a_missing_entry_proves_little_while_and_just_after_the_store_was_away() {
    let mut freshness = Freshness::new(millis(5_000));
    let _ = freshness.record_success(millis(900), millis(1_000));
    assert_that!(freshness.may_lack_entries(millis(1_000)), eq(false));
    assert_that!(freshness.record_failure(millis(1_500)), eq(Change::Lost));
    assert_that!(freshness.record_failure(millis(1_900)), eq(Change::None));
    assert_that!(freshness.may_lack_entries(millis(2_000)), eq(true));
    assert_that!(
        freshness.record_success(millis(4_000), millis(4_000)),
        eq(Change::Regained)
    );
    assert_that!(freshness.may_lack_entries(millis(6_500)), eq(true));
    assert_that!(freshness.may_lack_entries(millis(6_700)), eq(false));
}

/// Guards against taking the store for available because another gateway passes on what it knew
/// before the loss.
#[gtest]
fn an_answer_from_before_the_loss_does_not_show_that_the_store_is_back() {
    let mut freshness = Freshness::new(millis(5_000));
    let _ = freshness.record_success(millis(900), millis(1_000));
    freshness.record_failure(millis(3_000));
    let relayed = freshness.record_success(millis(2_900), millis(3_200));
    assert_that!(relayed, eq(Change::None));
    assert_that!(freshness.age(millis(3_200)), some(eq(millis(300))));
    assert_that!(freshness.may_lack_entries(millis(9_000)), eq(true));
    let answered = freshness.record_answer(millis(9_000), millis(9_010));
    assert_that!(answered, eq(Change::Regained));
}
