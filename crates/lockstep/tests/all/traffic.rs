//! Bounds on the traffic of a leader's link.

use std::time::Duration;

use auburnline_lockstep::message::ENGINE_BYTES;
use auburnline_lockstep::traffic::Link;
use auburnline_lockstep::traffic::fan_out;
use auburnline_lockstep::traffic::fan_out_parts;
use googletest::prelude::*;

/// Time between two reports of counts, and between two digests to gateways.
const COUNTS: Duration = Duration::from_millis(90);
const DIGESTS: Duration = Duration::from_millis(190);

/// In small groups on wide links, messages reach the leader and the gateways without a second hop.
#[gtest]
fn a_small_group_speaks_to_its_lead_directly() {
    let link = Link::of_mbps(20.0);
    assert_that!(link.aggregators(11, 3 * 96, COUNTS), eq(11));
    assert_that!(link.direct_gateways(6, 12 * ENGINE_BYTES, DIGESTS), eq(6));
    let link = Link::of_mbps(8.0);
    assert_that!(link.aggregators(23, 16 * 96, COUNTS), eq(23));
    assert_that!(link.direct_gateways(45, 24 * ENGINE_BYTES, DIGESTS), eq(45));
}

/// 63 ranks send 3,072 counts each within 90 ms towards a link of 6 Mbit/s, three times what it carries, and 98 or 340
/// gateways expect a digest five times per second.
#[gtest]
fn what_a_large_group_sends_stays_within_its_leads_link() {
    let link = Link::of_mbps(6.0);
    let each = 0.75e6 * COUNTS.as_secs_f64();
    for (ranks, counts) in [(63, 12 * 256), (63, 58 * 256), (127, 12 * 256)] {
        let aggregators = link.aggregators(ranks, counts, COUNTS);
        assert_that!(aggregators, lt(ranks / 4));
        assert_that!(aggregators * aggregators, ge(ranks));
    }
    let bytes = 8 * 12 * 256;
    assert_that!(link.aggregators(63, 12 * 256, COUNTS), eq(8));
    assert_that!(f64::from(bytes), lt(each * 0.5));
    assert_that!(link.direct_gateways(98, 64 * ENGINE_BYTES, DIGESTS), eq(10));
    assert_that!(
        link.direct_gateways(340, 64 * ENGINE_BYTES, DIGESTS),
        eq(19)
    );
}

#[gtest]
fn those_told_first_pass_on_to_about_as_many_as_are_told_first() {
    for all in [1, 11, 13, 63, 98, 340] {
        let receivers: Vec<usize> = (0..all).collect();
        let first = fan_out(all);
        let parts: Vec<_> = fan_out_parts(&receivers, first).collect();
        assert_that!(parts.len(), le(first));
        assert_that!(parts.concat(), eq(&receivers));
        let most = parts.iter().map(|part| part.len()).max();
        assert_that!(most, some(le(first.max(1))));
    }
}

#[gtest]
fn nobody_is_told_where_there_is_nobody() {
    assert_that!(fan_out_parts::<u8>(&[], 0).count(), eq(0));
    assert_that!(fan_out(0), eq(0));
}

/// All sidecars of a group of 64 restart, so that each needs the full map of 8 KB.
#[gtest]
fn whole_maps_leave_one_after_the_other() {
    let link = Link::of_mbps(6.0);
    assert_that!(link.map_time(8_000), ge(Duration::from_millis(20)));
    assert_that!(link.map_time(8_000), le(Duration::from_millis(40)));
}
