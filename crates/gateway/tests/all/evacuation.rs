//! Evacuated failure domains.

use auburnline_core::time::Monotonic;
use auburnline_gateway::Gateway;
use auburnline_gateway::evacuation::Evacuations;
use auburnline_gateway::spread::Change;
use auburnline_gateway::spread::Revision;
use auburnline_gateway::upstream::State;
use auburnline_gateway::upstream::Upstream;
use googletest::prelude::*;

use crate::gateway::ask;
use crate::gateway::gateway;
use crate::support::revision;
use crate::support::upstream;

const NOW: Monotonic = Monotonic::ZERO;

fn in_domain(id: &str, port: u16, domain: &str) -> Upstream {
    Upstream {
        failure_domain: domain.into(),
        address: ([10, 0, 0, 9], port).into(),
        ..upstream(id, "desk", State::Ready)
    }
}

/// Returns a gateway with one upstream in the south beside those in the north.
fn two_domains() -> Gateway {
    let mut gateway = gateway(0);
    gateway.pool.insert(in_domain("south", 9, "south"));
    gateway
}

fn evacuate(gateway: &mut Gateway, domain: &str) {
    gateway.apply_changes(vec![Change::Evacuated(domain.into())], NOW);
}

#[gtest]
fn first_sends_and_retries_leave_out_an_evacuated_domain() {
    let mut gateway = two_domains();
    evacuate(&mut gateway, "north");
    let plan = ask(&mut gateway, "/desk/a", Some("key-1"), 0).expect("a plan");
    for _ in 0..20 {
        let choice = gateway.choose_within(None, &plan, &[], &[], NOW);
        expect_that!(&*choice.expect("an upstream").upstream.id, eq("south"));
    }
    let tried = ["south".into()];
    let retry = gateway.choose_within(None, &plan, &tried, &[], NOW);
    expect_that!(retry.is_err(), eq(true));
}

/// Guards against sends to an upstream that was chosen before the evacuation was known.
#[gtest]
fn an_upstream_that_is_already_chosen_is_checked_again() {
    let mut gateway = two_domains();
    let chosen = in_domain("south", 9, "south");
    expect_that!(gateway.accepts_requests(&chosen, NOW), eq(true));
    evacuate(&mut gateway, "south");
    expect_that!(gateway.accepts_requests(&chosen, NOW), eq(false));
}

#[gtest]
fn a_domain_is_used_again_once_its_evacuation_has_ended() {
    let mut gateway = two_domains();
    let before = gateway.pool.ready("desk");
    evacuate(&mut gateway, "north");
    evacuate(&mut gateway, "south");
    expect_that!(gateway.pool.ready("desk"), eq(0));
    let ended = ["north", "south"].map(|domain| Change::Returned(domain.into()));
    gateway.apply_changes(ended.into(), NOW);
    expect_that!(gateway.pool.ready("desk"), eq(before));
}

/// Guards against an old list that undoes a newer write.
#[gtest]
fn an_older_write_changes_nothing() {
    let mut evacuations = Evacuations::default();
    evacuations.record("north".into(), true, revision(10));
    evacuations.record("north".into(), false, revision(12));
    expect_that!(
        evacuations.record("north".into(), true, revision(10)),
        none()
    );
    expect_that!(evacuations.contains("north"), eq(false));
    evacuations.record("north".into(), true, revision(14));
    expect_that!(evacuations.replace(Vec::new(), revision(13)), is_empty());
    expect_that!(evacuations.contains("north"), eq(true));
}

/// Guards against dropping or reviving an evacuation because a backup is older than its last write.
#[gtest]
fn a_restored_list_counts_only_where_it_is_not_older() {
    let restored = |number| Revision {
        generation: 1,
        number,
    };
    let mut evacuations = Evacuations::default();
    evacuations.record("lost".into(), true, revision(20));
    evacuations.record("ended".into(), true, revision(5));
    evacuations.record("ended".into(), false, revision(21));
    evacuations.record("old".into(), true, revision(4));
    let listed = vec![
        ("ended".into(), restored(5)),
        ("old".into(), restored(4)),
        ("unknown".into(), restored(6)),
    ];
    evacuations.restore(listed, restored(10));
    let evacuated: Vec<_> = evacuations.iter().map(|domain| &**domain).collect();
    expect_that!(
        evacuated,
        elements_are![eq(&"lost"), eq(&"old"), eq(&"unknown")]
    );
    evacuations.record("lost".into(), false, restored(11));
    expect_that!(evacuations.contains("lost"), eq(false));
}
