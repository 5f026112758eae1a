//! Assignment of ranks to aggregators of counts.

use std::net::SocketAddr;

use auburnline_lockstep::aggregation::Receiver;
use auburnline_lockstep::aggregation::receivers;
use googletest::prelude::*;

fn sidecars(from: u16, to: u16) -> Vec<SocketAddr> {
    let addresses = (from..to).map(|number| SocketAddr::from(([10, 0, 0, 1], number)));
    addresses.collect()
}

/// The instance of one of 64 ranks freezes for four seconds. Without aggregators the others would send three times what the
/// leader's link carries.
#[gtest]
fn ranks_that_were_heard_keep_their_aggregator_while_one_is_silent() {
    let known = sidecars(1, 64);
    let without_silence = receivers(&known, 8, std::iter::empty());
    let all = sidecars(1, 193);
    let silent = receivers(&known, 8, all.iter().copied());
    assert_that!(silent[..known.len()], eq(&without_silence[..]));
    let direct = without_silence.iter().filter(|receiver| {
        let aggregator = receiver.aggregator;
        aggregator.is_none() || aggregator == Some(receiver.address)
    });
    assert_that!(direct.count(), eq(8));
}

/// While a group forms, it is not known yet which sidecars of the service belong to it.
#[gtest]
fn sidecars_of_which_nothing_was_heard_are_told_once_and_get_no_aggregator() {
    let known = sidecars(1, 21);
    let assigned = receivers(&known, 5, sidecars(11, 31).into_iter());
    let addresses: Vec<_> = assigned.iter().map(|receiver| receiver.address).collect();
    assert_that!(addresses, eq(&sidecars(1, 31)));
    let new = |receiver: &Receiver| receiver.aggregator.is_none();
    assert_that!(assigned[20..].iter().all(new), eq(true));
    assert_that!(assigned[..20].iter().any(new), eq(false));
}

#[gtest]
fn where_all_may_speak_to_the_lead_nobody_collects() {
    let known = sidecars(1, 13);
    let assigned = receivers(&known, 12, std::iter::empty());
    assert_that!(
        assigned
            .iter()
            .all(|receiver| receiver.aggregator.is_none()),
        eq(true)
    );
}
