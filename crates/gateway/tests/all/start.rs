//! Requests at gateways that have just started, before the leaders of groups have reported.

use std::time::Duration;

use auburnline_gateway::Gateway;
use auburnline_gateway::request::Admission;
use auburnline_gateway::route::Engine;
use auburnline_gateway::route::Kind;
use auburnline_gateway::route::Table;
use auburnline_gateway::upstream::Upstream;
use auburnline_lockstep::layout::Shape;
use googletest::prelude::*;

use crate::gateway::ask;
use crate::load::digest;
use crate::load::gateway;
use crate::support;
use crate::support::millis;

/// Dimensions of experts, which make a service's engines run in lock-step.
const SHAPE: Shape = Shape {
    layers: 3,
    experts: 96,
    places: 11,
    most_new: 2,
    copy: Duration::from_millis(10),
};

fn waits() -> impl for<'a> Matcher<&'a Admission> {
    matches_pattern!(Admission::Wait(anything()))
}

fn admitted() -> impl for<'a> Matcher<&'a Admission> {
    matches_pattern!(Admission::Admit(anything()))
}

/// Time of day at which the gateway of [`started`] starts, since the Unix epoch.
const START: Duration = Duration::from_hours(500_000);

/// Returns a gateway that has just started, whose engines started a time before it.
fn started(groups: u16, before: Duration) -> Gateway {
    let mut gateway = gateway(groups);
    gateway.set_start_time(START);
    let born = u64::try_from(START.saturating_sub(before).as_millis()).ok();
    let engines: Vec<_> = gateway.pool.iter().cloned().collect();
    for engine in engines {
        gateway.pool.insert(Upstream {
            born,
            ..Upstream::clone(&engine)
        });
    }
    let mut configuration = support::configuration(
        9,
        vec![support::route(
            "/draft/",
            "model",
            Kind::Stream { resumable: true },
        )],
    );
    for service in &mut configuration.services {
        service.engine = service.engine.map(|engine| Engine {
            shape: Some(SHAPE),
            ..engine
        });
    }
    gateway.set_table(Table::new(configuration));
    let _ = gateway.freshness.record_success(millis(0), millis(0));
    gateway
}

/// Guards against refusals after a loss of all power: requests that are sent to groups which are
/// still forming are rejected, and their callers have used up their retries.
#[gtest]
fn callers_that_come_back_after_a_loss_of_power_wait_for_their_groups_to_form() {
    let mut gateway = started(6, millis(200));
    let first = ask(&mut gateway, "/draft/", Some("key-1"), 200).expect("a plan");
    expect_that!(&gateway.admit(&first, millis(200)), waits());
    // A leader that has not seen its ranks yet reports only its own one, and a closed group.
    let mut forming = digest(0, 0);
    forming.is_open = false;
    forming.engines.truncate(1);
    gateway.apply_digest(&forming, millis(300));
    expect_that!(&gateway.admit(&first, millis(300)), waits());
    let open = digest(0, 0);
    gateway.apply_digest(&open, millis(1_100));
    expect_that!(&gateway.admit(&first, millis(1_100)), admitted());
    let choice = gateway.choose_within(None, &first, &[], &[], millis(1_100));
    let upstream = choice.expect("an upstream").upstream.address;
    expect_that!(
        open.engines.iter().any(|load| load.engine == upstream),
        eq(true)
    );
}

/// Guards against waiting for leaders that don't exist.
#[gtest]
fn ranks_that_no_leader_reports_are_used_once_their_groups_must_have_formed() {
    let mut gateway = started(6, millis(200));
    let _ = gateway
        .freshness
        .record_success(millis(2_000), millis(2_000));
    let plan = ask(&mut gateway, "/draft/", Some("key-1"), 2_200).expect("a plan");
    expect_that!(&gateway.admit(&plan, millis(2_200)), admitted());
}

/// Guards against requests that wait after all processes of the system were killed, although the
/// engines have gone on.
#[gtest]
fn ranks_that_did_not_start_with_the_gateway_are_used_at_once() {
    let mut gateway = started(6, Duration::from_secs(30));
    let plan = ask(&mut gateway, "/draft/", Some("key-1"), 200).expect("a plan");
    expect_that!(&gateway.admit(&plan, millis(200)), admitted());
}
