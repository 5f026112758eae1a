//! Gossip membership: which gateways are live, which are readers, and what a heartbeat costs.

use auburnline_gateway::message::Entry;
use auburnline_gateway::message::Heartbeat;
use auburnline_gateway::neighbour::NEWS_TIMEOUT;
use auburnline_gateway::neighbour::Roster;
use auburnline_gateway::neighbour::reader::Role;
use googletest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::support::millis;

fn entry(name: &str, incarnation: u64, heartbeats: u64, is_ready: bool) -> Entry {
    let number: u16 = name.bytes().map(u16::from).sum();
    Entry {
        instance: name.into(),
        incarnation,
        heartbeats,
        failure_domain: "north".into(),
        callers: format!("10.0.0.1:{number}").parse().expect("an address"),
        peers: format!("10.0.0.2:{number}").parse().expect("an address"),
        is_ready,
        is_store_unreachable: false,
        version: None,
    }
}

fn heartbeat(from: Entry, others: Vec<Entry>) -> Heartbeat {
    Heartbeat {
        from,
        counts: Vec::new(),
        others,
        members: 1,
    }
}

fn roster() -> Roster {
    Roster::new(entry("me", 1, 0, true), Vec::new())
}

fn offered(roster: &Roster, now: u64) -> usize {
    roster.offer(Some("north"), 7, millis(now)).entries.len()
}

#[gtest]
fn a_gateway_that_others_heard_of_is_offered() {
    let mut roster = roster();
    let others = vec![entry("c", 1, 4, true)];
    roster.receive(&heartbeat(entry("b", 1, 9, true), others), millis(100));
    assert_that!(roster.live(millis(100)), eq(3));
    assert_that!(offered(&roster, 100), eq(3));
}

#[gtest]
fn a_silent_gateway_is_offered_no_more() {
    let mut roster = roster();
    roster.receive(&heartbeat(entry("b", 1, 9, true), Vec::new()), millis(100));
    assert_that!(roster.live(millis(100) + NEWS_TIMEOUT), eq(1));
    assert_that!(offered(&roster, 5_000), eq(1));
    assert_that!(roster.peak_members(), eq(2));
}

#[gtest]
fn relayed_news_of_the_same_beat_keeps_no_gateway_alive() {
    let mut roster = roster();
    roster.receive(&heartbeat(entry("c", 1, 9, true), Vec::new()), millis(0));
    for tick in 1..20 {
        let others = vec![entry("c", 1, 9, true)];
        roster.receive(
            &heartbeat(entry("b", 1, tick, true), others),
            millis(tick * 300),
        );
    }
    assert_that!(roster.live(millis(5_700)), eq(2));
}

#[gtest]
fn a_gateway_that_leaves_is_offered_no_more_at_once() {
    let mut roster = roster();
    roster.receive(&heartbeat(entry("b", 1, 9, true), Vec::new()), millis(0));
    let updates = roster.receive(
        &heartbeat(entry("b", 1, 10, false), Vec::new()),
        millis(100),
    );
    assert_that!(updates, len(eq(1)));
    assert_that!(offered(&roster, 100), eq(1));
}

#[gtest]
fn relayed_news_of_an_earlier_incarnation_does_not_replace_the_current_one() {
    let mut roster = roster();
    roster.receive(&heartbeat(entry("c", 2, 1, true), Vec::new()), millis(0));
    let others = vec![entry("c", 1, 900, false)];
    roster.receive(&heartbeat(entry("b", 1, 1, true), others), millis(100));
    assert_that!(offered(&roster, 100), eq(3));
}

#[gtest]
fn a_process_that_stood_still_does_not_take_all_others_for_dead() {
    let mut roster = roster();
    roster.receive(&heartbeat(entry("b", 1, 9, true), Vec::new()), millis(0));
    roster.extend_timeouts(millis(4_000));
    assert_that!(roster.live(millis(4_100)), eq(2));
}

/// The store rejects some gateways and serves others. A rejected one has to use readers of another
/// failure domain.
#[gtest]
fn a_gateway_that_the_store_turns_away_asks_others_wherever_they_are() {
    let mut roster = roster();
    let mut far = entry("b", 1, 9, true);
    far.failure_domain = "south".into();
    let far_address = far.peers;
    roster.receive(&heartbeat(far, Vec::new()), millis(0));
    assert_that!(roster.informants(millis(0)), is_empty());
    assert_that!(roster.role(millis(0)), eq(Role::Reader));
    roster.set_store_unreachable(true);
    assert_that!(roster.informants(millis(0)), eq(&[far_address]));
    assert_that!(roster.role(millis(0)), eq(Role::Follower));
}

#[gtest]
fn a_beat_costs_no_more_in_a_larger_fleet() {
    let mut roster = roster();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for number in 0..300 {
        let from = entry(&format!("gateway-{number}"), 1, 1, true);
        roster.receive(&heartbeat(from, Vec::new()), millis(0));
    }
    let heartbeat = roster.next_heartbeat(Vec::new(), millis(100), &mut rng);
    assert_that!(heartbeat.others.len(), le(12));
    assert_that!(roster.targets(millis(100), &mut rng).len(), le(6));
}

/// The store is down for all. If each gateway were its own reader then, the whole fleet would ask
/// it.
#[gtest]
fn while_the_store_answers_nobody_two_of_a_failure_domain_go_on_trying() {
    let mut readers = 0;
    for own in 0..6 {
        let mut roster = Roster::new(entry(&format!("g-{own}"), 1, 1, true), Vec::new());
        roster.set_store_unreachable(true);
        for other in (0..6).filter(|other| *other != own) {
            let mut from = entry(&format!("g-{other}"), 1, 1, true);
            from.is_store_unreachable = true;
            roster.receive(&heartbeat(from, Vec::new()), millis(0));
        }
        let is_reader = roster.role(millis(0)) == Role::Reader;
        readers += usize::from(is_reader);
        let informants = if is_reader { 0 } else { 2 };
        assert_that!(roster.informants(millis(0)).len(), eq(informants));
    }
    assert_that!(readers, eq(2));
}
