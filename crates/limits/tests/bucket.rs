//! What an entry does with its leases: charges, credits, refusals and returned tokens.

use std::collections::BTreeSet;
use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_core::id::InstanceId;
use auburnline_core::id::WorkspaceId;
use auburnline_limits::bucket::Admission;
use auburnline_limits::bucket::Charge;
use auburnline_limits::bucket::Holder;
use auburnline_limits::lease::Ask;
use auburnline_limits::lease::Grant;
use auburnline_limits::lease::Grants;
use auburnline_limits::lease::Settings;
use auburnline_limits::lease::View;
use googletest::prelude::*;

const START: Duration = Duration::from_secs(100);

fn workspace() -> WorkspaceId {
    "w".into()
}

fn view() -> View {
    let entries: BTreeSet<InstanceId> = ["a", "b"].map(InstanceId::from).into();
    let mut view = View::new(Duration::ZERO, "a".into(), Settings::default().hold_time);
    view.observe(Duration::ZERO, &entries, &entries);
    view.tick(START);
    view
}

/// Charges a request of `tokens`, which must wait for a grant, and returns the ask that is sent for it.
fn ask(holder: &mut Holder, now: Duration, tokens: u64) -> Ask {
    let admission = holder.charge(now, &workspace(), tokens);
    assert_true!(matches!(admission, Admission::Pending(_)));
    let mut asks = holder.due_asks(now, &view());
    assert_that!(asks, len(eq(1)));
    asks.remove(0).1
}

fn answer(ask: &Ask, tokens: u64, retry_after: Duration) -> Grants {
    Grants {
        incarnation: ask.incarnation,
        number: ask.number,
        grants: vec![Grant {
            workspace: workspace(),
            tokens,
            valid: Duration::from_secs(2),
            retry_after,
            scarce: true,
        }],
    }
}

fn admitted(admission: Admission) -> Option<Charge> {
    match admission {
        Admission::Admitted(charge) => Some(charge),
        _ => None,
    }
}

#[gtest]
fn a_refusal_names_the_limit_and_the_time_to_come_back() {
    let mut holder = Holder::new(Settings::default(), 1);
    let asked = ask(&mut holder, START, 500);
    holder.apply_grants(START, &answer(&asked, 0, Duration::from_secs(3)));
    let Admission::Refused(refusal) = holder.charge(START, &workspace(), 500) else {
        panic!("the home refused the need");
    };
    expect_that!(refusal.kind, eq(Kind::LimitExceeded));
    expect_that!(refusal.retry_after, eq(Duration::from_secs(3)));
    let smaller = holder.charge(START, &workspace(), 100);
    expect_true!(matches!(smaller, Admission::Pending(_)));
}

/// Callers get the retry time in whole milliseconds, so a shorter one would be rounded down to zero and read as "at
/// once".
#[gtest]
fn a_refusal_never_tells_to_come_back_at_once() {
    let mut holder = Holder::new(Settings::default(), 1);
    let asked = ask(&mut holder, START, 500);
    holder.apply_grants(START, &answer(&asked, 0, Duration::from_micros(300)));
    let Admission::Refused(refusal) = holder.charge(START, &workspace(), 500) else {
        panic!("the home refused the need");
    };
    expect_that!(refusal.retry_after, ge(Duration::from_millis(1)));
}

#[gtest]
fn a_grant_counts_once_and_from_the_moment_of_the_ask() {
    let mut holder = Holder::new(Settings::default(), 1);
    let asked = ask(&mut holder, START, 500);
    let grants = answer(&asked, 500, Duration::ZERO);
    let late = START + Duration::from_millis(1_500);
    holder.apply_grants(late, &grants);
    holder.apply_grants(late, &grants);
    expect_that!(holder.on_hand(late, &workspace()), eq(500));
    expect_that!(
        holder.on_hand(START + Duration::from_secs(2), &workspace()),
        eq(0)
    );
}

#[gtest]
fn a_grant_to_an_earlier_incarnation_is_dropped() {
    let mut holder = Holder::new(Settings::default(), 1);
    let asked = ask(&mut holder, START, 500);
    let mut grants = answer(&asked, 500, Duration::ZERO);
    grants.incarnation = 2;
    holder.apply_grants(START, &grants);
    expect_that!(holder.on_hand(START, &workspace()), eq(0));
}

#[gtest]
fn what_was_not_generated_is_credited_and_goes_back() {
    let mut holder = Holder::new(Settings::default(), 1);
    let asked = ask(&mut holder, START, 500);
    holder.apply_grants(START, &answer(&asked, 500, Duration::ZERO));
    let charge = admitted(holder.resume(START, &workspace(), 500, START));
    expect_that!(holder.on_hand(START, &workspace()), eq(0));
    let done = START + Duration::from_secs(1);
    holder.credit(done, charge.expect("the grant covers the request"), 200);
    expect_that!(holder.on_hand(done, &workspace()), eq(300));
    let asks = holder.due_asks(done + Duration::from_millis(1_600), &view());
    expect_that!(asks[0].1.wants[0].returned, eq(300));
    expect_that!(holder.on_hand(done, &workspace()), eq(0));
}

#[gtest]
fn a_request_waits_for_a_grant_only_so_long() {
    let mut holder = Holder::new(Settings::default(), 1);
    let _ = ask(&mut holder, START, 500);
    let later = START + Duration::from_millis(250);
    let admission = holder.resume(later, &workspace(), 500, START);
    expect_true!(matches!(admission, Admission::Refused(_)));
}
