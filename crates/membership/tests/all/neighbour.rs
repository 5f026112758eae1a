//! Tests of the gossip graph and of heartbeat periods.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use auburnline_core::id::InstanceId;
use auburnline_membership::heartbeat;
use auburnline_membership::neighbour::BRIDGE_LINKS;
use auburnline_membership::neighbour::BRIDGES;
use auburnline_membership::neighbour::Place;
use auburnline_membership::neighbour::pick;
use googletest::prelude::*;

type Fleet = BTreeMap<InstanceId, Place>;

fn fleet(count: usize) -> Fleet {
    let place = |index: usize| Place {
        failure_domain: format!("d{}", index % 6).into(),
        region: format!("r{}", index % 2).into(),
    };
    (0..count)
        .map(|index| (format!("e{index}").into(), place(index)))
        .collect()
}

fn reached(links: &BTreeMap<InstanceId, BTreeSet<InstanceId>>) -> usize {
    let mut seen = BTreeSet::new();
    let mut pending: Vec<&InstanceId> = links.keys().take(1).collect();
    while let Some(next) = pending.pop() {
        if seen.insert(next) {
            pending.extend(&links[next]);
        }
    }
    seen.len()
}

#[gtest]
fn the_graph_is_connected_sparse_and_thin_between_regions() {
    for count in [2, 6, 24, 96, 340] {
        let fleet = fleet(count);
        let mut links: BTreeMap<InstanceId, BTreeSet<InstanceId>> = BTreeMap::new();
        let mut other_regions = 0;
        for name in fleet.keys() {
            for other in pick(name, &fleet) {
                other_regions += usize::from(fleet[name].region != fleet[&other].region);
                links.entry(name.clone()).or_default().insert(other.clone());
                links.entry(other).or_default().insert(name.clone());
            }
        }
        let most = links.values().map(BTreeSet::len).max().unwrap_or(0);
        println!("{count} entries: most links {most}, between regions {other_regions}");
        expect_that!(reached(&links), eq(count));
        expect_that!(most, le(24));
        expect_that!(other_regions, le(6 * BRIDGES * BRIDGE_LINKS));
    }
}

#[gtest]
fn idle_heartbeats_slow_down_with_the_number_of_sessions() {
    expect_that!(heartbeat::period(false, 10), eq(heartbeat::IDLE_PERIOD));
    expect_that!(heartbeat::period(false, 340), gt(heartbeat::IDLE_PERIOD));
    expect_that!(heartbeat::period(false, 100_000), eq(heartbeat::MAX_PERIOD));
    expect_that!(heartbeat::period(true, 100_000), eq(heartbeat::BUSY_PERIOD));
    let least = Duration::from_millis(200);
    expect_that!(heartbeat::period_at_least(least, 10), eq(least));
    expect_that!(
        heartbeat::period_at_least(least, 85),
        eq(Duration::from_millis(500))
    );
    expect_that!(
        heartbeat::period_at_least(least, 100_000),
        eq(heartbeat::MAX_PERIOD)
    );
    let slow = 2 * heartbeat::MAX_PERIOD;
    expect_that!(heartbeat::period_at_least(slow, 100_000), eq(slow));
}
