//! Cold upstreams, which bear few requests from the whole fleet.

use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_gateway::Gateway;
use auburnline_gateway::neighbour::Roster;
use auburnline_gateway::request::Admission;
use auburnline_gateway::route::Kind;
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
use crate::support::configuration;
use crate::support::entry;
use crate::support::heartbeat;
use crate::support::millis;
use crate::support::route;
use crate::support::upstream;

/// Requests per second that a cold upstream bears.
const RATE: usize = 26;
/// Requests per second that it may get at most: half more than it bears, and five.
const BOUND: usize = 44;
/// When all gateways are known and the upstream becomes cold, after the gateways' start.
const COLD_AT: u64 = 3_000;
const WARM_UP: Duration = Duration::from_secs(4);

fn table() -> Table {
    let mut configuration = configuration(3, vec![route("/desk/", "desk", Kind::Safe)]);
    for service in &mut configuration.services {
        service.warm_up_rate = Some(26.0);
    }
    Table::new(configuration)
}

fn cold() -> Upstream {
    Upstream {
        warm_up: WARM_UP,
        ..upstream("cold", "desk", State::Ready)
    }
}

/// Returns a gateway of a fleet that knows the others for which `knows` is true, and a cold
/// upstream.
fn member(number: u16, count: u16, mut knows: impl FnMut() -> bool) -> Gateway {
    let roster = Roster::new(entry(number, 1, 0), Vec::new());
    let mut gateway = Gateway::new("north".into(), BOUNDS, roster, u64::from(number));
    gateway.set_table(table());
    for other in 0..count {
        if other != number && knows() {
            let from = heartbeat(entry(other, 1, 1));
            gateway.roster.receive(&from, millis(100));
        }
    }
    gateway.apply_changes(vec![Change::Upstream(cold())], millis(COLD_AT));
    gateway
}

/// Sends as many requests as a gateway admits at a time; returns their number.
fn flood(gateway: &mut Gateway, now: u64) -> usize {
    let _ = gateway.freshness.record_success(millis(now), millis(now));
    let mut sent = 0;
    while sent <= BOUND {
        let plan = ask(gateway, "/desk/", Some("key-1"), now).expect("a plan");
        let Admission::Admit(_) = gateway.admit(&plan, millis(now)) else {
            break;
        };
        if gateway.assign(&plan, &[], millis(now)).is_err() {
            break;
        }
        sent += 1;
    }
    sent
}

/// Floods the upstream from all gateways; returns the requests of the busiest second and the mean.
fn busiest(fleet: &mut [Gateway]) -> (usize, usize) {
    const STEP: u64 = 50;
    const STEPS: usize = 60;
    let window = usize::try_from(1_000 / STEP).expect("a few steps");
    let mut sent = Vec::new();
    for step in 0..STEPS {
        let now = COLD_AT + 10 + STEP * u64::try_from(step).expect("a short run");
        let of_all = fleet.iter_mut().map(|gateway| flood(gateway, now));
        sent.push(of_all.sum::<usize>());
    }
    let busiest = sent.windows(window).map(|sent| sent.iter().sum());
    let mean = sent.iter().sum::<usize>() / (STEPS / window);
    (busiest.max().unwrap_or(0), mean)
}

/// Guards against crashes of cold upstreams by a fleet each of whose gateways sends little.
#[gtest]
fn a_cold_upstream_gets_what_it_bears_from_fleets_of_all_sizes() {
    for count in [6, 98, 340] {
        let mut fleet: Vec<_> = (0..count).map(|one| member(one, count, || true)).collect();
        let (most, mean) = busiest(&mut fleet);
        expect_that!(most, le(BOUND), "{count} gateways");
        expect_that!(mean, all![ge(RATE / 2), le(RATE)], "{count} gateways");
    }
}

/// Guards against more than the bound where gateways know different parts of the fleet.
#[gtest]
fn a_cold_upstream_gets_no_more_where_gateways_know_different_others() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for count in [98, 340] {
        let knows = || rng.random_ratio(9, 10);
        let mut knows = knows;
        let fleet = (0..count).map(|one| member(one, count, &mut knows));
        let mut fleet: Vec<_> = fleet.collect();
        let (most, _) = busiest(&mut fleet);
        expect_that!(most, le(BOUND), "{count} gateways");
    }
}

/// Guards against a burst of gateways that start and know no other one yet.
#[gtest]
fn a_gateway_that_has_just_started_sends_nothing_to_a_cold_upstream() {
    let roster = Roster::new(entry(1, 1, 0), Vec::new());
    let mut gateway = Gateway::new("north".into(), BOUNDS, roster, 1);
    gateway.set_table(table());
    gateway.apply_changes(vec![Change::Upstream(cold())], Monotonic::ZERO);
    expect_that!(flood(&mut gateway, 300), eq(0));
    gateway.tick(millis(1_100));
    expect_that!(flood(&mut gateway, 1_100), eq(RATE));
}

#[gtest]
fn an_upstream_is_used_freely_once_it_is_warm() {
    let mut gateway = member(1, 98, || true);
    let after = COLD_AT + 4_000;
    expect_that!(flood(&mut gateway, after), gt(BOUND));
    let mut gateway = member(1, 98, || true);
    let warm = upstream("cold", "desk", State::Ready);
    gateway.apply_changes(vec![Change::Upstream(warm)], millis(COLD_AT + 10));
    expect_that!(flood(&mut gateway, COLD_AT + 20), gt(BOUND));
}

/// Guards against a refusal whose cause can't be found in the log.
#[gtest]
fn a_refusal_names_the_upstreams_that_are_cold() {
    let mut gateway = member(1, 98, || true);
    let now = COLD_AT + 10;
    flood(&mut gateway, now);
    let plan = ask(&mut gateway, "/desk/", Some("key-1"), now).expect("a plan");
    let Admission::Refuse(refusal) = gateway.admit(&plan, millis(now)) else {
        panic!("the only upstream is cold");
    };
    expect_that!(refusal.is_throttled, eq(true));
    expect_that!(
        gateway.cold("desk", 9, millis(now)),
        elements_are![eq(&("cold".into(), WARM_UP.saturating_sub(millis(10))))]
    );
}
