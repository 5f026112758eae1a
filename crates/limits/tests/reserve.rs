//! Reserve of each limit that no home grants and of which every entry has a share.

use std::collections::BTreeSet;
use std::time::Duration;

use auburnline_core::id::InstanceId;
use auburnline_core::id::WorkspaceId;
use auburnline_core::time::Monotonic;
use auburnline_limits::lease::Ask;
use auburnline_limits::lease::Home;
use auburnline_limits::lease::Limit;
use auburnline_limits::lease::Reserve;
use auburnline_limits::lease::Settings;
use auburnline_limits::lease::View;
use auburnline_limits::lease::Want;
use googletest::prelude::*;

const LIMIT: Limit = Limit {
    rate: 16_000,
    burst: 32_000,
};
const ENTRIES: usize = 4;
const TICK: Duration = Duration::from_millis(100);
/// Tokens of a request: few compared to an entry's share of the reserve (a burst of 500, and 250 per second).
const COST: u64 = 50;

fn workspace() -> WorkspaceId {
    WorkspaceId::from("mediators")
}

fn reserve(published: usize) -> Reserve {
    let mut reserve = Reserve::new(Monotonic::ZERO, &Settings::default());
    reserve.observe(Monotonic::ZERO, published);
    reserve
}

/// Advances time in short ticks, as a running entry does.
fn advance(reserve: &mut Reserve, from: Monotonic, to: Monotonic) {
    let mut now = from;
    while now < to {
        now += TICK;
        reserve.tick(now);
    }
}

/// Spends requests of `COST` until the reserve refuses one; returns the tokens spent.
fn spend_all(reserve: &mut Reserve, now: Monotonic) -> u64 {
    let mut spent = 0;
    while reserve.spend(now, &workspace(), LIMIT, COST) {
        spent += COST;
    }
    spent
}

#[gtest]
fn an_entry_that_no_home_answers_serves_its_share() {
    let mut reserve = reserve(ENTRIES);
    let start = Settings::default().hold_time;
    let mut spent = 0;
    for tick in 0..200 {
        spent += spend_all(&mut reserve, start + TICK * tick);
    }
    // 20 s at an entry's rate: a sixteenth of 16,000 tokens per second, split over four entries.
    expect_that!(spent, all!(gt(4_500), le(5_500)));
}

#[gtest]
fn all_that_homes_and_entries_give_stays_within_the_limit() {
    let settings = Settings::default();
    let names: BTreeSet<InstanceId> = (0..ENTRIES)
        .map(|entry| InstanceId::from(format!("entry-{entry}")))
        .collect();
    let mut views: Vec<View> = names
        .iter()
        .map(|name| {
            let mut view = View::new(Monotonic::ZERO, name.clone(), settings.hold_time);
            view.observe(Monotonic::ZERO, &names, &names);
            view
        })
        .collect();
    let mut homes: Vec<Home> = names.iter().map(|_| Home::new(settings)).collect();
    let mut reserves: Vec<Reserve> = names.iter().map(|_| reserve(ENTRIES)).collect();
    let asker = InstanceId::from("asker");
    let mut spent = 0;
    for tick in 1..600_u32 {
        let now = TICK * tick;
        for ((view, home), reserve) in views.iter_mut().zip(&mut homes).zip(&mut reserves) {
            view.tick(now);
            let ask = Ask {
                incarnation: 1,
                number: u64::from(tick),
                wants: vec![Want {
                    workspace: workspace(),
                    need: 1,
                    want: 1 << 16,
                    returned: 0,
                }],
            };
            let grants = home.grant(now, view, &asker, &ask, |_| Some(LIMIT));
            let granted = grants.iter().flat_map(|grants| &grants.grants);
            spent += granted.map(|grant| grant.tokens).sum::<u64>();
            spent += spend_all(reserve, now);
        }
        let seconds = u64::from(tick) / 10 + 1;
        assert_that!(spent, le(LIMIT.burst + LIMIT.rate * seconds));
    }
    // The run takes 60 s. Nothing is granted in the first hold time; nearly all of the rest can be used.
    expect_that!(spent, ge(LIMIT.rate * 50));
}

#[gtest]
fn a_share_that_grows_is_given_a_hold_later() {
    let hold_time = Settings::default().hold_time;
    let mut reserve = reserve(ENTRIES);
    advance(&mut reserve, Monotonic::ZERO, hold_time / 2);
    expect_that!(spend_all(&mut reserve, hold_time / 2), eq(0));
    let now = hold_time * 10;
    advance(&mut reserve, hold_time / 2, now);
    expect_that!(spend_all(&mut reserve, now), eq(500));
    // Half of the entries are no longer published, but some entries may not know that yet.
    reserve.observe(now, ENTRIES / 2);
    expect_that!(spend_all(&mut reserve, now + hold_time / 2), le(500));
    advance(&mut reserve, now + hold_time / 2, now + hold_time * 10);
    expect_that!(spend_all(&mut reserve, now + hold_time * 10), eq(1_000));
}

#[gtest]
fn a_request_beyond_the_share_is_never_paid() {
    let mut reserve = reserve(ENTRIES);
    let later = Settings::default().hold_time * 10;
    advance(&mut reserve, Monotonic::ZERO, later);
    expect_that!(reserve.spend(later, &workspace(), LIMIT, 501), is_false());
    expect_that!(reserve.spend(later, &workspace(), LIMIT, 500), is_true());
}
