//! Groups of upstreams that run in lock-step.

use auburnline_gateway::group::Groups;
use auburnline_lockstep::message::Digest;
use auburnline_lockstep::message::EngineLoad;
use googletest::prelude::*;

use crate::support::millis;

fn digest(group: &str, is_open: bool, ports: &[u16]) -> Digest {
    let busy = |port: &u16| EngineLoad {
        engine: ([10, 0, 0, 1], *port).into(),
        requests: 0,
        slowdown_percent: 100,
    };
    Digest {
        service: "model".to_owned(),
        group: group.to_owned(),
        is_open,
        engines: ports.iter().map(busy).collect(),
    }
}

#[gtest]
fn a_lead_tells_who_runs_together() {
    let mut groups = Groups::default();
    assert_that!(
        groups.apply_digest(&digest("g0", true, &[1, 2]), millis(0)),
        eq(true)
    );
    assert_that!(
        groups.apply_digest(&digest("g0", true, &[2, 3]), millis(10)),
        eq(false)
    );
    let group = |port: u16| {
        groups
            .of(([10, 0, 0, 1], port).into())
            .map(|group| &**group)
    };
    assert_that!(group(3), some(eq("g0")));
    assert_that!(group(1), none());
}

/// Guards against a group that stays unavailable for good: a rank crashes, the group is reported
/// unavailable for a second, and its leader may have died with the rank.
#[gtest]
fn a_group_that_is_said_to_be_shut_is_believed_for_a_while_only() {
    let mut groups = Groups::default();
    groups.apply_digest(&digest("g0", false, &[1]), millis(0));
    assert_that!(groups.is_unavailable("g0", millis(500)), eq(true));
    assert_that!(groups.is_unavailable("g0", millis(2_500)), eq(false));
    assert_that!(groups.is_unavailable("g1", millis(500)), eq(false));
}

/// Guards against requests to a stalled group: the instance of a group's rank 0 freezes for
/// seconds, so its leader falls silent and all its streams stop, while other groups serve.
#[gtest]
fn a_group_stands_still_once_neither_its_lead_nor_its_streams_are_heard() {
    let mut groups = Groups::default();
    let group = "g0".into();
    groups.apply_digest(&digest("g0", true, &[1]), millis(0));
    groups.record_event(&group, millis(400));
    assert_that!(groups.is_stalled("g0", millis(900)), eq(false));
    assert_that!(groups.is_stalled("g0", millis(1_200)), eq(true));
    // Only the leader is gone: streams go on.
    groups.record_event(&group, millis(1_250));
    assert_that!(groups.is_stalled("g0", millis(1_300)), eq(false));
    // After some seconds it is tried again.
    assert_that!(groups.is_stalled("g0", millis(9_000)), eq(false));
    assert_that!(groups.is_stalled("unheard", millis(9_000)), eq(false));
}

#[gtest]
fn a_group_that_comes_to_stand_still_is_told_once_and_so_is_its_end() {
    let mut groups = Groups::default();
    groups.apply_digest(&digest("g0", true, &[1]), millis(0));
    assert_that!(groups.take_changes(millis(300)), is_empty());
    let changes = groups.take_changes(millis(900));
    assert_that!(changes.len(), eq(1));
    assert_that!(changes[0].is_stalled, eq(true));
    assert_that!(changes[0].silent, eq(millis(900)));
    assert_that!(groups.take_changes(millis(1_200)), is_empty());
    groups.apply_digest(&digest("g0", true, &[1]), millis(1_300));
    let changes = groups.take_changes(millis(1_400));
    assert_that!(
        changes
            .iter()
            .map(|change| change.is_stalled)
            .collect::<Vec<_>>(),
        eq(&vec![false])
    );
}

/// A rank crashes, and the streams of all ranks of its group break off. Independent servers that
/// break an answer now and then don't make their group unavailable.
#[gtest]
fn streams_of_two_upstreams_that_break_together_tell_of_their_group() {
    let mut groups = Groups::default();
    let group = "g0".into();
    let (one, other) = ("u1".into(), "u2".into());
    assert_that!(groups.record_break(&group, &one, millis(0)), eq(false));
    assert_that!(groups.record_break(&group, &one, millis(50)), eq(false));
    assert_that!(groups.record_break(&group, &other, millis(500)), eq(false));
    assert_that!(groups.is_unavailable("g0", millis(500)), eq(false));
    assert_that!(groups.record_break(&group, &one, millis(560)), eq(true));
    assert_that!(groups.is_unavailable("g0", millis(600)), eq(true));
}

/// Guards against a gateway that ignores new groups for good: group ids change whenever leaders
/// start again, for as long as the gateway runs.
#[gtest]
fn a_new_group_takes_the_place_of_the_one_that_was_silent_longest() {
    let mut groups = Groups::default();
    for number in 0..1_024 {
        let name = format!("g{number}");
        groups.apply_digest(&digest(&name, true, &[number]), millis(u64::from(number)));
    }
    // All of them were heard a moment ago, so none is forgotten.
    groups.apply_digest(&digest("early", true, &[2_000]), millis(1_100));
    let address = |port: u16| ([10, 0, 0, 1], port).into();
    expect_that!(groups.of(address(2_000)), none());
    groups.apply_digest(&digest("g0", true, &[0]), millis(8_000));
    groups.apply_digest(&digest("late", true, &[2_000]), millis(8_000));
    let late = groups.of(address(2_000)).map(|group| &**group);
    expect_that!(late, some(eq("late")));
    expect_that!(groups.of(address(0)).map(|group| &**group), some(eq("g0")));
    expect_that!(groups.of(address(1)), none());
    expect_that!(groups.of(address(2)).map(|group| &**group), some(eq("g2")));
}
