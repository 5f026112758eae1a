//! Rate limits that upstreams name, enforced by the decisions of one gateway.
//!
//! An upstream short of capacity names how many requests per second it takes from all gateways
//! together, while others of its service or group have headroom.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_gateway::Gateway;
use auburnline_gateway::limit::Consent;
use auburnline_gateway::message::Entry;
use auburnline_gateway::request::Admission;
use auburnline_gateway::upstream::State;
use auburnline_gateway::upstream::Upstream;
use auburnline_lockstep::message::Digest;
use auburnline_lockstep::message::EngineLoad;
use auburnline_quota::Rate;
use auburnline_quota::home::Permit;
use auburnline_quota::loan::LEASE;
use auburnline_quota::registry::Teller;
use googletest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::gateway::ask;
use crate::gateway::blank;
use crate::support::entry;
use crate::support::heartbeat;
use crate::support::millis;
use crate::support::revision;
use crate::support::table;
use crate::support::upstream;

const PERIOD: u64 = 300;

fn address(number: u16) -> SocketAddr {
    ([10, 0, 0, 1], number).into()
}

/// Returns a gateway without others, with two ranks in each of two groups and two independent
/// upstreams.
pub(crate) fn gateway() -> Gateway {
    let mut gateway = blank();
    gateway.set_table(table(3));
    for (number, id) in ["a-0", "a-1", "b-0", "b-1"].into_iter().enumerate() {
        let number = u16::try_from(number).expect("a small number");
        gateway.pool.insert(Upstream {
            address: address(number),
            ..upstream(id, "model", State::Ready)
        });
    }
    for id in ["desk-0", "desk-1"] {
        gateway.pool.insert(upstream(id, "desk", State::Ready));
    }
    tick(&mut gateway, 2_100);
    for (group, ranks) in [("a", [0, 1]), ("b", [2, 3])] {
        let busy = |rank| EngineLoad {
            engine: address(rank),
            requests: 0,
            slowdown_percent: 100,
        };
        let digest = Digest {
            service: "model".to_owned(),
            group: group.to_owned(),
            is_open: true,
            engines: ranks.map(busy).to_vec(),
        };
        gateway.apply_digest(&digest, millis(2_100));
    }
    gateway
}

/// Does what a gateway does at each heartbeat.
pub(crate) fn tick(gateway: &mut Gateway, now: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let now = millis(now);
    let _ = gateway.freshness.record_success(now, now);
    gateway.roster.next_heartbeat(Vec::new(), now, &mut rng);
    gateway.heartbeat_limits(now);
    gateway.loans(now);
}

pub(crate) fn find(gateway: &Gateway, id: &str) -> Arc<Upstream> {
    let mut all = gateway.pool.iter();
    Arc::clone(all.find(|one| &*one.id == id).expect("an upstream"))
}

fn name_limit(gateway: &mut Gateway, id: &str, rate: Rate, now: u64) {
    let upstream = find(gateway, id);
    gateway.record_limit(&upstream, Some(rate), millis(now - 1), millis(now));
}

/// Sends one request every ten milliseconds for a time; returns when and where each was sent.
pub(crate) fn press(
    gateway: &mut Gateway,
    path: &str,
    from: u64,
    until: u64,
) -> Vec<(u64, String)> {
    let mut sent = Vec::new();
    for now in (from..until).step_by(10) {
        if now % PERIOD == 0 {
            tick(gateway, now);
        }
        let plan = ask(gateway, path, Some("key-1"), now).expect("a plan");
        let mut denied = Vec::new();
        while let Ok(choice) = gateway.choose_within(None, &plan, &[], &denied, millis(now)) {
            if gateway.consent(&choice.upstream, millis(now)) == Consent::Granted {
                sent.push((now, choice.upstream.id.to_string()));
                break;
            }
            denied.push(choice.upstream.id.clone());
        }
    }
    sent
}

pub(crate) fn count(sent: &[(u64, String)], id: &str) -> usize {
    sent.iter().filter(|(_, to)| to == id).count()
}

/// Guards against an upstream short of capacity that gets more than the rate it named while another
/// one has headroom.
#[gtest]
fn an_upstream_gets_no_more_than_it_named_and_the_rest_goes_elsewhere() {
    let mut gateway = gateway();
    name_limit(&mut gateway, "desk-0", 2.0, 2_200);
    let sent = press(&mut gateway, "/desk/a", 2_400, 12_400);
    expect_that!(count(&sent, "desk-0"), all![ge(15), le(21)]);
    expect_that!(sent.len(), eq(1_000));
}

/// Guards against a rank short of capacity that gets more streams than its rate because its group
/// as a whole has headroom.
#[gtest]
fn a_rank_gets_no_more_streams_than_it_named_and_its_group_serves_on() {
    let mut gateway = gateway();
    name_limit(&mut gateway, "a-0", 2.0, 2_200);
    let sent = press(&mut gateway, "/draft/a", 2_400, 6_400);
    expect_that!(count(&sent, "a-0"), le(9));
    expect_that!(count(&sent, "a-1"), gt(9));
    expect_that!(sent.len(), eq(400));
}

/// Guards against streams that are refused because a group was picked whose ranks are all at their
/// limits.
#[gtest]
fn streams_go_to_another_group_where_all_ranks_of_one_are_at_their_limits() {
    let mut gateway = gateway();
    for id in ["a-0", "a-1"] {
        name_limit(&mut gateway, id, 0.5, 2_200);
    }
    let sent = press(&mut gateway, "/draft/a", 2_400, 6_400);
    expect_that!(count(&sent, "a-0") + count(&sent, "a-1"), le(6));
    expect_that!(sent.len(), ge(390));
}

/// Guards against callers who wait for upstreams that are known to be at their limits.
#[gtest]
fn a_request_is_refused_at_once_where_all_upstreams_are_at_their_limits() {
    let mut gateway = gateway();
    for id in ["desk-0", "desk-1"] {
        name_limit(&mut gateway, id, 0.5, 2_200);
    }
    press(&mut gateway, "/desk/a", 2_400, 4_400);
    let plan = ask(&mut gateway, "/desk/a", Some("key-1"), 4_410).expect("a plan");
    let Admission::Refuse(refusal) = gateway.admit(&plan, millis(4_410)) else {
        panic!("the request was not refused");
    };
    expect_that!(refusal.kind, eq(Kind::Overloaded));
    expect_that!(refusal.is_throttled, eq(true));
    expect_that!(refusal.retry_after, some(gt(Duration::ZERO)));
    let limited = gateway.limited("desk", 9, millis(4_410));
    expect_that!(limited, len(eq(2)));
    expect_that!(limited[0].limit.teller, eq(Teller::Upstream));
}

#[gtest]
fn a_limit_that_ended_holds_nothing_back() {
    let mut gateway = gateway();
    for id in ["desk-0", "desk-1"] {
        name_limit(&mut gateway, id, 0.5, 2_200);
    }
    press(&mut gateway, "/desk/a", 2_400, 4_400);
    for id in ["desk-0", "desk-1"] {
        let upstream = find(&gateway, id);
        gateway.record_limit(&upstream, None, millis(4_400), millis(4_420));
    }
    let sent = press(&mut gateway, "/desk/a", 4_430, 5_430);
    expect_that!(sent.len(), eq(100));
}

/// Guards against a limit that outlives the start of the upstream that named it.
#[gtest]
fn an_upstream_that_starts_anew_has_no_limit() {
    let mut gateway = gateway();
    name_limit(&mut gateway, "desk-0", 0.5, 2_200);
    let before = find(&gateway, "desk-0");
    let again = Upstream {
        born: Some(9),
        ..Upstream::clone(&before)
    };
    gateway.pool.insert(again.clone());
    expect_that!(gateway.limit(&before, millis(2_300)), some(anything()));
    expect_that!(gateway.limit(&again, millis(2_300)), none());
}

/// Delivers a report of the first group's leader that its first rank is slow.
pub(crate) fn slow_down(gateway: &mut Gateway, now: u64) {
    let busy = |rank, slowdown_percent| EngineLoad {
        engine: address(rank),
        requests: 3,
        slowdown_percent,
    };
    let slowed = Digest {
        service: "model".to_owned(),
        group: "a".to_owned(),
        is_open: true,
        engines: vec![busy(0, 1_200), busy(1, 100)],
    };
    gateway.apply_digest(&slowed, millis(now));
}

/// Guards against a stream that leaves its slow rank and then breaks off because no other rank
/// takes it.
#[gtest]
fn a_stream_stays_at_its_slow_rank_where_the_others_have_limits() {
    let mut gateway = gateway();
    slow_down(&mut gateway, 2_300);
    let plan = ask(&mut gateway, "/draft/a", Some("key-1"), 2_300).expect("a plan");
    let slow = find(&gateway, "a-0");
    let now = millis(2_310);
    expect_that!(gateway.should_move(&plan, &slow, now), eq(true));
    name_limit(&mut gateway, "a-1", 5.0, 2_305);
    expect_that!(gateway.should_move(&plan, &slow, now), eq(false));
}

/// Guards against a whole group that gets no work because one rank with a limit refused a stream.
#[gtest]
fn a_rank_with_a_limit_that_refuses_does_not_shut_its_group() {
    let mut gateway = gateway();
    name_limit(&mut gateway, "a-0", 2.0, 2_200);
    let plan = ask(&mut gateway, "/draft/a", Some("key-1"), 2_300).expect("a plan");
    let now = millis(2_300);
    gateway.refused(&plan, "a-0", &"a".into(), now);
    expect_that!(gateway.groups.is_unavailable("a", now), eq(false));
    gateway.refused(&plan, "a-1", &"a".into(), now);
    expect_that!(gateway.groups.is_unavailable("a", now), eq(true));
}

/// Adds gateways with these numbers until one is the home of the limit of `upstream`; returns its
/// address.
fn with_home(
    gateway: &mut Gateway,
    upstream: &Upstream,
    mut gateways: RangeInclusive<u16>,
    now: u64,
) -> SocketAddr {
    gateways
        .find_map(|number| {
            let address = add_gateway(gateway, number, now);
            match gateway.consent(upstream, millis(now)) {
                Consent::Ask { home, .. } => (home == address).then_some(home),
                Consent::Granted | Consent::Denied => None,
            }
        })
        .expect("a gateway that becomes the home")
}

fn add_gateway(gateway: &mut Gateway, number: u16, now: u64) -> SocketAddr {
    let from = Entry {
        instance: format!("gateway-{number}").into(),
        ..entry(number, 1, now)
    };
    let address = from.peers;
    let heartbeat = heartbeat(from);
    gateway.roster.receive(&heartbeat, millis(now));
    address
}

/// Returns the homes to which shares are lent with the next two heartbeats.
fn lent(gateway: &mut Gateway, now: u64) -> Vec<SocketAddr> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let now = millis(now);
    let mut homes = Vec::new();
    for _ in 0..2 {
        gateway.roster.next_heartbeat(Vec::new(), now, &mut rng);
        let loans = gateway.loans(now).into_iter();
        homes.extend(loans.map(|(home, _)| home));
    }
    homes
}

/// Guards against a fleet in which each gateway permits itself the upstream's whole rate.
#[gtest]
fn a_gateway_that_is_not_the_home_asks_it_and_keeps_to_its_word() {
    let mut gateway = gateway();
    name_limit(&mut gateway, "desk-0", 2.0, 2_200);
    let upstream = find(&gateway, "desk-0");
    let address = with_home(&mut gateway, &upstream, 1..=99, 2_250);
    let Consent::Ask { home, request } = gateway.consent(&upstream, millis(2_300)) else {
        panic!("the gateway did not ask the home");
    };
    expect_that!(home, eq(address));
    let granted = gateway.apply_reply(request, Some(Permit::Granted), millis(2_302));
    expect_that!(granted, eq(Consent::Granted));
    let denied = Permit::Denied { retry_ms: 400 };
    let denied = gateway.apply_reply(request, Some(denied), millis(2_310));
    expect_that!(denied, eq(Consent::Denied));
    let sent = press(&mut gateway, "/desk/a", 2_320, 2_700);
    expect_that!(count(&sent, "desk-0"), eq(0));
    expect_that!(
        gateway.apply_reply(request, None, millis(2_710)),
        eq(Consent::Denied)
    );
}

/// Guards against a share that counts at two homes because the first, only cut off by the network,
/// still permits requests.
#[gtest]
fn a_share_goes_to_another_home_only_once_the_first_counts_on_it_no_more() {
    let mut gateway = gateway();
    name_limit(&mut gateway, "desk-0", 2.0, 2_200);
    let upstream = find(&gateway, "desk-0");
    let first = with_home(&mut gateway, &upstream, 1..=99, 2_250);
    expect_that!(lent(&mut gateway, 2_300), elements_are![eq(&first)]);
    // Of this many new gateways, one precedes the first home, which was last heard at 2,250.
    for number in 100..=2_000 {
        add_gateway(&mut gateway, number, 3_000);
    }
    let asked = |gateway: &mut Gateway, now: u64| {
        let consent = gateway.consent(&upstream, millis(now));
        let Consent::Ask { home, .. } = consent else {
            panic!("the gateway did not ask the home");
        };
        home
    };
    let lapsed = millis(2_250) + LEASE;
    let lapsed = u64::try_from(lapsed.as_millis()).expect("a short time");
    expect_that!(lent(&mut gateway, lapsed - 1), is_empty());
    expect_that!(asked(&mut gateway, lapsed - 1), eq(first));
    let second = lent(&mut gateway, lapsed);
    expect_that!(second, elements_are![not(eq(&first))]);
    expect_that!(asked(&mut gateway, lapsed), eq(second[0]));
}

/// Guards against a gateway that lends its share again after a restart while the loan of its
/// previous process still counts.
#[gtest]
fn a_gateway_that_just_started_lends_nothing() {
    let mut gateway = gateway();
    name_limit(&mut gateway, "desk-0", 2.0, 1_000);
    let upstream = find(&gateway, "desk-0");
    with_home(&mut gateway, &upstream, 1..=99, 1_100);
    expect_that!(lent(&mut gateway, 1_999), is_empty());
    expect_that!(lent(&mut gateway, 2_000), len(eq(1)));
}

/// Guards against a limit that is lost because the upstream's entry was removed and written again.
#[gtest]
fn a_limit_outlives_the_entry_and_ends_with_the_start_of_the_upstream() {
    let mut gateway = gateway();
    let before = find(&gateway, "desk-0");
    gateway.record_limit(&before, Some(1.5), millis(2_190), millis(2_200));
    gateway.pool.mark_missing("desk-0", revision(9));
    gateway.pool.expire();
    tick(&mut gateway, 2_400);
    gateway.pool.insert(Upstream::clone(&before));
    expect_that!(gateway.limit(&before, millis(2_410)), some(anything()));
    let again = Upstream {
        born: Some(9),
        ..Upstream::clone(&before)
    };
    expect_that!(gateway.limit(&again, millis(2_410)), none());
}
