//! Which upstreams run in lock-step.

use auburnline_gateway::group::Groups;
use auburnline_lockstep::message::Digest;
use googletest::prelude::*;

use crate::support::millis;

fn digest(group: &str, is_open: bool, ports: &[u16]) -> Digest {
    let address = |port: &u16| format!("10.0.0.1:{port}").parse().expect("an address");
    Digest {
        service: "model".to_owned(),
        group: group.to_owned(),
        is_open,
        engines: ports.iter().map(address).collect(),
    }
}

#[gtest]
fn a_lead_tells_who_runs_together() {
    let mut groups = Groups::default();
    assert_that!(
        groups.hear(&digest("g0", true, &[1, 2]), millis(0)),
        eq(true)
    );
    assert_that!(
        groups.hear(&digest("g0", true, &[2, 3]), millis(10)),
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

/// Pattern: a rank crashes, its group is shut for a second, and its lead may have died with it.
#[gtest]
fn a_group_that_is_said_to_be_shut_is_believed_for_a_while_only() {
    let mut groups = Groups::default();
    groups.hear(&digest("g0", false, &[1]), millis(0));
    assert_that!(groups.is_shut("g0", millis(500)), eq(true));
    assert_that!(groups.is_shut("g0", millis(2_500)), eq(false));
    assert_that!(groups.is_shut("g1", millis(500)), eq(false));
}
