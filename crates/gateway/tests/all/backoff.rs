//! Upstreams that asked this gateway to back off, under load.

use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_core::id::GroupId;
use auburnline_gateway::Gateway;
use auburnline_gateway::request::Admission;
use auburnline_gateway::upstream::Upstream;
use googletest::prelude::*;

use crate::gateway::ask;
use crate::limit::count;
use crate::limit::find;
use crate::limit::gateway;
use crate::limit::press;
use crate::limit::slow_down;
use crate::limit::tick;
use crate::support::millis;
use crate::support::revision;

const BACKOFF: Duration = Duration::from_secs(3);

/// Lets an upstream ask for a backoff of three seconds, starting now.
fn back_off(gateway: &mut Gateway, id: &str, now: u64) {
    let upstream = find(gateway, id);
    gateway.back_off(&upstream, BACKOFF, millis(now));
}

/// Guards against first sends to an upstream that asked for backoff, and against an upstream that
/// is never used again.
#[gtest]
fn an_upstream_gets_nothing_until_its_time_is_over_and_then_its_part() {
    let mut gateway = gateway();
    back_off(&mut gateway, "desk-0", 2_200);
    let sent = press(&mut gateway, "/desk/a", 2_210, 5_200);
    expect_that!(count(&sent, "desk-0"), eq(0));
    expect_that!(sent.len(), eq(299));
    let sent = press(&mut gateway, "/desk/a", 5_200, 6_200);
    expect_that!(count(&sent, "desk-0"), gt(20));
}

/// Guards against streams to a rank that asked for backoff because its group as a whole has
/// headroom.
#[gtest]
fn a_rank_gets_no_streams_until_its_time_is_over_and_its_group_serves_on() {
    let mut gateway = gateway();
    back_off(&mut gateway, "a-0", 2_200);
    let sent = press(&mut gateway, "/draft/a", 2_210, 5_200);
    expect_that!(count(&sent, "a-0"), eq(0));
    expect_that!(count(&sent, "a-1"), gt(0));
    expect_that!(sent.len(), eq(299));
}

/// Guards against streams that are refused because a group was picked whose ranks all asked for
/// backoff.
#[gtest]
fn streams_go_to_another_group_where_all_ranks_of_one_asked() {
    let mut gateway = gateway();
    back_off(&mut gateway, "a-0", 2_200);
    back_off(&mut gateway, "a-1", 2_200);
    let sent = press(&mut gateway, "/draft/a", 2_210, 5_200);
    expect_that!(count(&sent, "a-0") + count(&sent, "a-1"), eq(0));
    expect_that!(sent.len(), eq(299));
}

/// Guards against retries, and streams that leave their rank, that go to an upstream that asked for
/// backoff.
#[gtest]
fn neither_a_retry_nor_a_moved_stream_goes_to_an_upstream_that_asked() {
    let mut gateway = gateway();
    back_off(&mut gateway, "desk-0", 2_200);
    back_off(&mut gateway, "a-0", 2_200);
    let group = GroupId::from("a");
    for now in (2_210..5_200).step_by(10) {
        let plan = ask(&mut gateway, "/desk/a", Some("key-1"), now).expect("a plan");
        let tried = ["desk-1".into()];
        let retry = gateway.assign(&plan, &tried, millis(now));
        expect_that!(retry.is_err(), eq(true));
        let plan = ask(&mut gateway, "/draft/a", Some("key-1"), now).expect("a plan");
        let tried = ["a-1".into()];
        let moved = gateway.assign_within(Some(&group), &plan, &tried, millis(now));
        expect_that!(moved.is_err(), eq(true));
    }
}

/// Guards against callers who wait for upstreams that are known to be backing off.
#[gtest]
fn a_request_is_refused_at_once_where_all_upstreams_asked() {
    let mut gateway = gateway();
    back_off(&mut gateway, "desk-0", 2_200);
    back_off(&mut gateway, "desk-1", 2_700);
    let plan = ask(&mut gateway, "/desk/a", Some("key-1"), 3_000).expect("a plan");
    let now = millis(3_000);
    let Admission::Refuse(refusal) = gateway.admit(&plan, now) else {
        panic!("the request was not refused");
    };
    expect_that!(refusal.kind, eq(Kind::Overloaded));
    expect_that!(refusal.is_throttled, eq(true));
    // The first of them accepts requests again after 2.2 s.
    expect_that!(refusal.retry_after, some(ge(millis(2_200))));
    let backing_off = gateway.backing_off("desk", 9, now);
    let expected = [("desk-0", 2_200), ("desk-1", 2_700)];
    let expected = expected.map(|(id, left)| (id.into(), millis(left)));
    expect_that!(backing_off, eq(&expected.to_vec()));
}

/// Guards against a later, shorter backoff that cuts an earlier one short.
#[gtest]
fn the_longest_time_holds() {
    let mut gateway = gateway();
    back_off(&mut gateway, "desk-0", 2_200);
    let upstream = find(&gateway, "desk-0");
    gateway.back_off(&upstream, millis(100), millis(2_300));
    expect_that!(gateway.is_open(&upstream, millis(5_199)), eq(false));
    expect_that!(gateway.is_open(&upstream, millis(5_200)), eq(true));
    gateway.back_off(&upstream, Duration::MAX, millis(5_300));
    tick(&mut gateway, 900_000);
    expect_that!(gateway.is_open(&upstream, millis(900_000)), eq(false));
}

/// Guards against a backoff that is lost because the upstream's entry was removed and written
/// again.
#[gtest]
fn a_time_outlives_the_entry_and_ends_with_the_start_of_the_upstream() {
    let mut gateway = gateway();
    back_off(&mut gateway, "desk-0", 2_200);
    let before = find(&gateway, "desk-0");
    gateway.pool.mark_missing("desk-0", revision(9));
    gateway.pool.expire();
    tick(&mut gateway, 2_400);
    gateway.pool.insert(Upstream::clone(&before));
    let sent = press(&mut gateway, "/desk/a", 2_410, 5_200);
    expect_that!(count(&sent, "desk-0"), eq(0));
    let again = Upstream {
        born: Some(9),
        ..Upstream::clone(&before)
    };
    expect_that!(gateway.is_open(&again, millis(2_500)), eq(true));
}

/// Guards against a whole group that gets no work because one rank asked for backoff.
#[gtest]
fn a_rank_that_refuses_and_asks_does_not_shut_its_group() {
    let mut gateway = gateway();
    back_off(&mut gateway, "a-0", 2_200);
    let plan = ask(&mut gateway, "/draft/a", Some("key-1"), 2_300).expect("a plan");
    let now = millis(2_300);
    gateway.refused(&plan, "a-0", &"a".into(), now);
    expect_that!(gateway.groups.is_unavailable("a", now), eq(false));
}

/// Guards against a stream that leaves its slow rank and then breaks off because no other rank
/// takes it.
#[gtest]
fn a_stream_stays_at_its_slow_rank_where_the_others_asked() {
    let mut gateway = gateway();
    slow_down(&mut gateway, 2_300);
    let plan = ask(&mut gateway, "/draft/a", Some("key-1"), 2_300).expect("a plan");
    let slow = find(&gateway, "a-0");
    let is_better = |gateway: &Gateway| gateway.should_move(&plan, &slow, millis(2_310));
    expect_that!(is_better(&gateway), eq(true));
    back_off(&mut gateway, "a-1", 2_305);
    expect_that!(is_better(&gateway), eq(false));
}
