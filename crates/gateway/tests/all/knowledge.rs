//! Age of the published state.

use auburnline_gateway::knowledge::Change;
use auburnline_gateway::knowledge::Knowledge;
use googletest::prelude::*;

use crate::support::millis;

#[gtest]
fn knowledge_is_as_old_as_the_question() {
    let mut knowledge = Knowledge::new(millis(5_000));
    assert_that!(knowledge.is_fresh(millis(0)), eq(false));
    let _ = knowledge.confirm(millis(1_000), millis(2_000));
    assert_that!(knowledge.age(millis(2_000)), some(eq(millis(1_000))));
}

/// An API key that was revoked at the store 5 s before a request must not work, whatever
/// connections are down.
#[gtest]
fn keys_are_not_trusted_once_a_revocation_could_be_unknown() {
    let mut knowledge = Knowledge::new(millis(5_000));
    let _ = knowledge.confirm(millis(1_000), millis(1_100));
    assert_that!(knowledge.is_fresh(millis(5_700)), eq(true));
    assert_that!(knowledge.is_fresh(millis(6_000)), eq(false));
}

#[gtest]
fn an_answer_to_an_older_question_makes_nothing_older() {
    let mut knowledge = Knowledge::new(millis(5_000));
    let _ = knowledge.confirm(millis(3_000), millis(3_100));
    let _ = knowledge.confirm(millis(1_000), millis(3_200));
    assert_that!(knowledge.age(millis(4_000)), some(eq(millis(1_000))));
}

#[gtest]
fn a_missing_entry_proves_little_while_and_just_after_the_store_was_away() {
    let mut knowledge = Knowledge::new(millis(5_000));
    let _ = knowledge.confirm(millis(900), millis(1_000));
    assert_that!(knowledge.is_doubtful(millis(1_000)), eq(false));
    assert_that!(knowledge.record_failure(), eq(Change::Lost));
    assert_that!(knowledge.record_failure(), eq(Change::None));
    assert_that!(knowledge.is_doubtful(millis(2_000)), eq(true));
    assert_that!(
        knowledge.confirm(millis(4_000), millis(4_000)),
        eq(Change::Regained)
    );
    assert_that!(knowledge.is_doubtful(millis(6_500)), eq(true));
    assert_that!(knowledge.is_doubtful(millis(6_700)), eq(false));
}
