//! Tests of the entries that discovery offers to callers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use auburnline_core::id::InstanceId;
use auburnline_membership::discovery::Candidate;
use auburnline_membership::discovery::MAX_ADDRESSES;
use auburnline_membership::discovery::offer;
use googletest::prelude::*;

fn fleet(count: usize) -> Vec<Candidate> {
    let candidate = |index: usize| Candidate {
        instance: format!("e{index}").into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1000)),
        failure_domain: format!("d{}", index % 3).into(),
        weight: 1,
        is_up: true,
        is_live: true,
        is_leaving: false,
    };
    (0..count).map(candidate).collect()
}

fn first_choices(fleet: &[Candidate], domain: Option<&str>) -> BTreeMap<InstanceId, u64> {
    let mut counts = BTreeMap::new();
    for seed in 0..9000 {
        let first = offer(fleet, domain, seed).entries.remove(0);
        *counts.entry(first.instance).or_default() += 1;
    }
    counts
}

#[gtest]
fn the_callers_failure_domain_goes_first_and_others_follow() {
    for seed in 0..100 {
        let offer = offer(&fleet(12), Some("d1"), seed);
        let domains: Vec<&str> = offer.entries.iter().map(|e| &*e.failure_domain).collect();
        assert_that!(domains[..2], elements_are![eq(&"d1"), eq(&"d1")]);
        assert_that!(domains[2..], unordered_elements_are![eq(&"d0"), eq(&"d2")]);
    }
}

#[gtest]
fn leaving_dead_and_weightless_entries_are_never_offered() {
    let mut fleet = fleet(6);
    fleet[0].is_leaving = true;
    fleet[1].is_live = false;
    fleet[2].weight = 0;
    for seed in 0..100 {
        let offer = offer(&fleet, Some("d0"), seed);
        let names: Vec<&str> = offer.entries.iter().map(|e| &*e.instance).collect();
        assert_that!(
            names,
            unordered_elements_are![eq(&"e3"), eq(&"e4"), eq(&"e5")]
        );
    }
    for entry in &mut fleet {
        entry.is_leaving = true;
    }
    assert_that!(offer(&fleet, None, 1).entries, is_empty());
}

#[gtest]
fn callers_are_spread_by_weight() {
    let mut fleet = fleet(6);
    for (_, count) in first_choices(&fleet, None) {
        expect_that!(count, all![ge(1300), le(1700)]);
    }
    fleet[0].weight = 3;
    let counts = first_choices(&fleet, None);
    expect_that!(counts["e0"], all![ge(3000), le(3750)]);
}

#[gtest]
fn an_entry_that_is_gone_moves_only_its_own_callers() {
    let mut fleet = fleet(6);
    let before: Vec<Candidate> = (0..500)
        .map(|seed| offer(&fleet, None, seed).entries.remove(0))
        .collect();
    fleet[4].is_leaving = true;
    for (seed, before) in (0..500).zip(before) {
        let offer = offer(&fleet, None, seed);
        assert_that!(offer.entries.len(), le(MAX_ADDRESSES));
        if &*before.instance != "e4" {
            assert_that!(offer.entries[0], eq(&before));
        }
    }
}
