//! Permits granted by a home at the rate covered by the shares lent to it.

use std::time::Duration;

use auburnline_quota::LenderTag;
use auburnline_quota::Rate;
use auburnline_quota::UpstreamTag;
use auburnline_quota::home::Home;
use auburnline_quota::home::Permit;
use auburnline_quota::loan::LEASE;
use auburnline_quota::loan::Loan;
use auburnline_quota::registry::Notice;
use googletest::prelude::*;

const UPSTREAM: UpstreamTag = 7;
const RATE: Rate = 8.0;
const FLEET: u32 = 4;
/// Milliseconds between two heartbeats.
const PERIOD: u64 = 300;

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn loan(lender: LenderTag, heartbeat: u64, fleet: u32) -> Loan {
    let notice = Notice {
        upstream: UPSTREAM,
        rate: Some(RATE),
        age_ms: 0,
    };
    Loan {
        lender,
        fleet,
        incarnation: 1,
        heartbeat,
        limits: vec![notice],
    }
}

fn rate(upstream: UpstreamTag) -> Option<Rate> {
    (upstream == UPSTREAM).then_some(RATE)
}

/// Requests a permit every 10 ms while `lenders` gateways lend on every heartbeat; returns how many permits were granted.
fn request_permits(home: &mut Home, lenders: u64, from: u64, until: u64) -> usize {
    let mut granted = 0;
    for now in (from..until).step_by(10) {
        if now % PERIOD == 0 {
            let heartbeat = now / PERIOD;
            home.record_heartbeat(heartbeat, millis(now));
            for lender in 0..lenders {
                home.accept_loan(&loan(lender, heartbeat, FLEET), rate, millis(now));
            }
        }
        let permit = home.permit(UPSTREAM, RATE, millis(now));
        granted += usize::from(permit == Permit::Granted);
    }
    granted
}

#[gtest]
fn a_home_permits_the_limit_where_all_gateways_lend() {
    let mut home = Home::default();
    expect_that!(
        request_permits(&mut home, 4, 0, 9_000),
        all![ge(70), le(74)]
    );
    expect_that!(home.shares(UPSTREAM), eq((4, FLEET)));
}

/// Guards against a home that permits the whole limit although only a part of the fleet lends to it.
#[gtest]
fn a_home_permits_its_part_where_some_gateways_lend() {
    let mut home = Home::default();
    expect_that!(
        request_permits(&mut home, 1, 0, 9_000),
        all![ge(17), le(20)]
    );
}

/// Guards against shares that stay valid after contact with their lenders is lost.
#[gtest]
fn shares_lapse_a_lease_after_the_beat_that_they_rest_on() {
    let mut home = Home::default();
    home.record_heartbeat(1, millis(1_000));
    home.accept_loan(&loan(1, 1, 1), rate, millis(1_500));
    let lapse = millis(1_000) + LEASE;
    home.permit(UPSTREAM, RATE, lapse.saturating_sub(millis(1)));
    expect_that!(home.shares(UPSTREAM).0, eq(1));
    home.permit(UPSTREAM, RATE, lapse);
    expect_that!(home.shares(UPSTREAM).0, eq(0));
}

/// Guards against loans that were queued in the socket while the home was frozen and are treated as current when it resumes.
#[gtest]
fn a_loan_that_rests_on_an_old_beat_counts_for_nothing() {
    let mut home = Home::default();
    home.record_heartbeat(1, millis(1_000));
    let resumed = millis(1_000) + LEASE;
    home.record_heartbeat(2, resumed);
    home.accept_loan(&loan(1, 1, 1), rate, resumed);
    expect_that!(home.shares(UPSTREAM).0, eq(0));
    let denied = home.permit(UPSTREAM, RATE, resumed + millis(900));
    expect_that!(denied, not(eq(Permit::Granted)));
}

/// Guards against permits that accumulate over a long idle time and are then granted all at once.
#[gtest]
fn a_home_that_was_not_asked_saves_up_no_more_than_a_burst() {
    let mut home = Home::default();
    for now in (0..9_000).step_by(300) {
        home.record_heartbeat(now / PERIOD, millis(now));
        home.accept_loan(&loan(1, now / PERIOD, 1), rate, millis(now));
    }
    let at_once = (0..50).filter(|_| {
        let permit = home.permit(UPSTREAM, RATE, millis(8_900));
        permit == Permit::Granted
    });
    expect_that!(at_once.count(), all![ge(1), le(2)]);
}

#[gtest]
fn who_is_denied_is_told_when_the_next_request_may_go() {
    let mut home = Home::default();
    home.record_heartbeat(0, millis(0));
    home.accept_loan(&loan(1, 0, 1), rate, millis(0));
    let permit = home.permit(UPSTREAM, RATE, millis(25));
    expect_that!(permit, eq(Permit::Denied { retry_ms: 100 }));
    let permit = home.permit(UPSTREAM, RATE, millis(125));
    expect_that!(permit, eq(Permit::Granted));
}
