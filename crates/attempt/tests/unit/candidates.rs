//! Candidate slots across changes of the published list.

use auburnline_attempt::candidates::Candidates;
use auburnline_attempt::candidates::SETTLING_TIME;
use auburnline_core::id::InstanceId;
use googletest::prelude::*;

use crate::support::seconds;

fn names(names: &[&str]) -> Vec<InstanceId> {
    names.iter().copied().map(InstanceId::from).collect()
}

#[gtest]
fn a_slot_that_left_is_covered_for_requests_from_before() {
    let mut candidates = Candidates::new();
    candidates.observe(seconds(0), 1, &names(&["a", "b"]));
    candidates.observe(seconds(100), 2, &names(&["b", "c"]));
    let reachable_slots = candidates.reachable_slots(seconds(105), seconds(1));
    expect_that!(reachable_slots, some(eq(&names(&["a", "b", "c"]))));
    let recent = candidates.reachable_slots(seconds(200), seconds(1));
    expect_that!(recent, some(eq(&names(&["b", "c"]))));
    candidates.observe(seconds(201), 1, &names(&["a"]));
    expect_that!(candidates.current().count(), eq(2));
}

#[gtest]
fn a_slot_at_another_revision_than_the_asker_names_its_whole_list() {
    let mut candidates = Candidates::new();
    candidates.observe(seconds(0), 1, &names(&["a", "b"]));
    expect_that!(candidates.unknown_to(seconds(1), 1), is_empty());
    expect_that!(
        candidates.unknown_to(seconds(1), 2),
        eq(&names(&["a", "b"]))
    );
}

#[gtest]
fn a_slot_that_joined_gets_only_first_attempts_that_were_sent_a_while_after() {
    let mut candidates = Candidates::new();
    candidates.observe(seconds(0), 1, &names(&["a"]));
    candidates.observe(seconds(100), 2, &names(&["a", "b"]));
    let [old, new] = [InstanceId::from("a"), InstanceId::from("b")];
    let settled = seconds(100) + SETTLING_TIME;
    expect_true!(candidates.allows_first_attempt(seconds(100), seconds(50), &old));
    expect_false!(candidates.allows_first_attempt(seconds(100), seconds(0), &new));
    expect_true!(candidates.allows_first_attempt(settled, seconds(0), &new));
    expect_false!(candidates.allows_first_attempt(settled + seconds(20), seconds(30), &new));
}
