//! Requests that arrive while gateways start, and callers who return.

use std::time::Duration;

use auburnline_admission::feature::Feature;
use auburnline_admission::startup;
use auburnline_admission::startup::Place;
use auburnline_core::error::Kind;
use auburnline_core::time::Monotonic;
use auburnline_gateway::Gateway;
use auburnline_gateway::request::Admission;
use auburnline_gateway::request::Plan;
use auburnline_gateway::request::Refusal;
use auburnline_gateway::request::Request;
use auburnline_gateway::route;
use auburnline_gateway::route::Table;
use auburnline_gateway::spread::Change;
use auburnline_gateway::upstream::State;
use auburnline_gateway::upstream::Upstream;
use googletest::prelude::*;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::gateway::BOUNDS;
use crate::gateway::ask;
use crate::gateway::blank;
use crate::gateway::gateway;
use crate::support::ENGINE;
use crate::support::configuration;
use crate::support::entry;
use crate::support::heartbeat;
use crate::support::millis;
use crate::support::route;
use crate::support::table;
use crate::support::upstream;

type Planned = std::result::Result<Plan, Refusal>;

fn enabled(mut gateway: Gateway) -> Gateway {
    gateway.set_features([Feature::StartupHold].into());
    gateway
}

fn request(key: &str) -> Request<'_> {
    Request {
        host: "desk.example",
        path: "/desk/a",
        key: Some(key),
        timeout: Some(millis(8_000)),
    }
}

/// A request of a caller, as the program drives it through a gateway that starts.
struct Caller {
    arrived: Monotonic,
    key: &'static str,
    place: Option<Place>,
    /// The final decision.
    planned: Option<Planned>,
}

impl Caller {
    const fn new(arrived: Monotonic, key: &'static str) -> Caller {
        Caller {
            arrived,
            key,
            place: None,
            planned: None,
        }
    }

    /// Decides on the request as of `now`.
    fn decide(&mut self, tag: u64, gateway: &mut Gateway, now: Monotonic) {
        if self.planned.is_some() || now < self.arrived {
            return;
        }
        let planned = gateway.plan_since(&request(self.key), self.arrived, now);
        let is_over = match (gateway.awaits_start(&planned, now), &self.place) {
            (None, _) => true,
            (Some(_), Some(place)) => now >= place.until,
            (Some(_), None) => {
                let waiting = startup::Request {
                    arrived: self.arrived,
                    timeout: Some(millis(8_000)),
                    body_bytes: 1_000,
                    tag,
                };
                self.place = gateway.hold(&waiting, now).ok();
                self.place.is_none()
            }
        };
        if is_over {
            if let Some(place) = self.place.take() {
                gateway.release(&place);
            }
            self.planned = Some(planned);
        }
    }
}

/// Lets all callers of a fleet come at once while its gateways start; returns how many requests
/// were planned, and how many there were.
fn loss_of_power(gateways: u64, is_enabled: bool, seed: u64) -> (usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut planned, mut all) = (0, 0);
    for _ in 0..gateways {
        let mut gateway = if is_enabled {
            enabled(blank())
        } else {
            blank()
        };
        let ready = millis(rng.random_range(250..900));
        let arrived = |_| Caller::new(millis(rng.random_range(0..400)), "key-1");
        let mut callers: Vec<_> = (0..40).map(arrived).collect();
        for now in (0..2_500).step_by(10).map(millis) {
            if now >= ready && gateway.version().is_none() {
                gateway.set_table(table(3));
                let _ = gateway.freshness.record_success(now, now);
            }
            for (tag, caller) in (0..).zip(&mut callers) {
                caller.decide(tag, &mut gateway, now);
            }
            expect_that!(gateway.held().requests(), le(40));
        }
        expect_that!(gateway.held().requests(), eq(0));
        expect_that!(gateway.held().bytes(), eq(0));
        all += callers.len();
        let is_planned = |caller: &&Caller| matches!(caller.planned, Some(Ok(_)));
        planned += callers.iter().filter(is_planned).count();
    }
    (planned, all)
}

/// Guards against refusals after a loss of all power, when every gateway starts and callers have one
/// return.
#[gtest]
fn all_callers_back_at_once_after_a_loss_of_power_are_served_by_gateways_that_start() {
    for (gateways, seed) in [(6, 1), (6, 2), (98, 3), (98, 4)] {
        let (planned, all) = loss_of_power(gateways, true, seed);
        expect_that!(planned, eq(all), "{gateways} gateways, seed {seed}");
    }
}

#[gtest]
fn without_the_feature_a_gateway_that_starts_holds_nothing() {
    let (planned, all) = loss_of_power(6, false, 1);
    expect_that!(planned, lt(all / 2));
    let mut gateway = blank();
    let refusal = ask(&mut gateway, "/draft/", Some("key-1"), 100).expect_err("a refusal");
    expect_that!(refusal.retry_after, some(eq(millis(100))));
    expect_that!(gateway.awaits_start(&Err(refusal), millis(100)), none());
}

/// Guards against a key that works since it was good when its request began to wait.
#[gtest]
fn a_key_that_is_taken_away_while_its_request_is_held_is_refused() {
    let mut gateway = enabled(blank());
    let mut caller = Caller::new(millis(100), "key-1");
    caller.decide(1, &mut gateway, millis(100));
    expect_that!(gateway.held().requests(), eq(1));
    // An old configuration that has the key, from a gateway that may be behind.
    gateway.set_table(table(3));
    caller.decide(1, &mut gateway, millis(200));
    expect_that!(caller.planned.is_none(), eq(true));
    let mut newer = configuration(9, vec![route("/desk/", "desk", route::Kind::Safe)]);
    newer.workspaces[0].1 = vec!["key-2".to_owned()];
    gateway.set_table(Table::new(newer));
    let _ = gateway.freshness.record_success(millis(300), millis(300));
    caller.decide(1, &mut gateway, millis(300));
    let refusal = caller.planned.expect("an end").expect_err("a refusal");
    expect_that!(refusal.kind, eq(Kind::Unauthorized));
    expect_that!(gateway.held().requests(), eq(0));
}

#[gtest]
fn what_no_configuration_knows_is_denied_only_once_that_is_known() {
    let mut gateway = enabled(blank());
    gateway.set_table(table(3));
    let unknown = |gateway: &mut Gateway, now| ask(gateway, "/nothing/", Some("key-1"), now);
    let planned = unknown(&mut gateway, 100);
    expect_that!(
        gateway.awaits_start(&planned, millis(100)),
        some(anything())
    );
    let _ = gateway.freshness.record_success(millis(200), millis(200));
    let planned = unknown(&mut gateway, 200);
    expect_that!(gateway.awaits_start(&planned, millis(200)), none());
    expect_that!(planned.expect_err("a refusal").kind, eq(Kind::UnknownRoute));
}

/// Guards against holds at a gateway that has served and lost the store: others may serve.
#[gtest]
fn a_gateway_that_lost_the_store_holds_nothing_and_sends_callers_to_those_that_serve() {
    let mut gateway = enabled(gateway(1));
    for other in 0..4 {
        let from = heartbeat(entry(other, 1, 1));
        gateway.roster.receive(&from, millis(6_400));
    }
    let planned = ask(&mut gateway, "/draft/", Some("key-1"), 6_500);
    expect_that!(gateway.awaits_start(&planned, millis(6_500)), none());
    let after = planned.expect_err("a refusal").retry_after;
    expect_that!(after, some(all!(ge(millis(100)), le(millis(200)))));
}

/// Guards against callers who come back at once into an outage of the store that all gateways have.
#[gtest]
fn callers_of_a_fleet_without_the_store_come_back_later_the_longer_it_lasts() {
    let mut gateway = enabled(gateway(1));
    let mut after = |now| {
        let planned = ask(&mut gateway, "/draft/", Some("key-1"), now);
        planned.expect_err("a refusal").retry_after.expect("a time")
    };
    // The knowledge of 1.0 s counts for 4.75 s.
    expect_that!(after(6_000), all!(ge(millis(250)), le(millis(500))));
    expect_that!(after(7_000), all!(ge(millis(1_250)), le(millis(2_500))));
    expect_that!(after(20_000), all!(ge(millis(2_000)), le(millis(2_667))));
}

/// Guards against refusals by gateways that can't tell yet how many share what cold upstreams bear.
#[gtest]
fn requests_for_cold_upstreams_wait_until_the_size_of_the_fleet_is_known() {
    let start = || {
        let mut gateway = blank();
        let mut cold = configuration(3, vec![route("/desk/", "desk", route::Kind::Safe)]);
        for service in &mut cold.services {
            service.warm_up_rate = Some(26.0);
        }
        gateway.set_table(Table::new(cold));
        let upstream = Upstream {
            warm_up: Duration::from_secs(3),
            ..upstream("cold", "desk", State::Ready)
        };
        gateway.apply_changes(vec![Change::Upstream(upstream)], millis(50));
        let _ = gateway.freshness.record_success(millis(50), millis(50));
        gateway
    };
    let mut gateway = start();
    let planned = ask(&mut gateway, "/desk/", Some("key-1"), 100);
    expect_that!(gateway.awaits_start(&planned, millis(100)), none());
    let refused = gateway.admit(&planned.expect("a plan"), millis(100));
    expect_that!(refused, matches_pattern!(Admission::Refuse(anything())));

    let mut gateway = enabled(start());
    let planned = ask(&mut gateway, "/desk/", Some("key-1"), 100);
    let until = gateway.awaits_start(&planned, millis(100)).expect("a time");
    expect_that!(until, eq(millis(500)));
    expect_that!(gateway.awaits_start(&planned, until), none());
    let admitted = gateway.admit(&planned.expect("a plan"), until);
    expect_that!(admitted, matches_pattern!(Admission::Admit(anything())));
}

/// Guards against callers who return before a group can have formed, or later than they would wait.
#[gtest]
fn callers_come_back_when_a_group_may_have_formed_and_leave_most_of_their_time() {
    let mut gateway = enabled(gateway(12));
    let forming = ENGINE.form_time + BOUNDS.stall;
    for start in [1_000, 4_000] {
        let mut plan = ask(&mut gateway, "/draft/", Some("key-1"), start).expect("a plan");
        let now = millis(start + 10);
        gateway.groups.mark_unavailable(&"model".into(), now);
        let after = |gateway: &mut Gateway, plan: &Plan| {
            let refusal = gateway.give_up(plan, "no send succeeded", now);
            refusal.retry_after.expect("a time")
        };
        let left = plan.deadline.saturating_sub(now);
        expect_that!(after(&mut gateway, &plan), all!(ge(forming), le(left / 3)));
        plan.deadline = now + millis(900);
        expect_that!(
            after(&mut gateway, &plan),
            all!(ge(millis(225)), le(millis(300)))
        );
    }
}

#[gtest]
fn a_caller_that_returns_has_less_time_to_be_served_in_time() {
    let mut gateway = enabled(gateway(1));
    for now in (1_000..2_000).step_by(50) {
        let plan = ask(&mut gateway, "/draft/", Some("key-1"), now).expect("a plan");
        expect_that!(plan.spent, eq(millis(0)));
        gateway.record_attempt(&plan, Some(millis(8_000)));
    }
    let again = Request {
        path: "/draft/",
        timeout: Some(millis(7_700)),
        ..request("key-1")
    };
    let plan = gateway.plan(&again, millis(2_000)).expect("a plan");
    expect_that!(plan.spent, eq(millis(300)));
    // The objective is 400 ms.
    expect_that!(plan.in_time_until(), eq(millis(2_100)));
    gateway.set_features([].into());
    let plan = gateway.plan(&again, millis(2_000)).expect("a plan");
    expect_that!(plan.spent, eq(millis(0)));
}

#[gtest]
fn a_gateway_that_leaves_holds_nothing() {
    let mut gateway = enabled(blank());
    gateway.close_startup();
    let mut caller = Caller::new(millis(100), "key-1");
    caller.decide(1, &mut gateway, millis(100));
    let refusal = caller.planned.expect("an end").expect_err("a refusal");
    expect_that!(refusal.kind, eq(Kind::NotReady));
    expect_that!(refusal.retry_after, some(anything()));
}
