//! Schedule of the leader's membership queries.

use std::time::Duration;

use auburnline_lockstep::query::Schedule;
use googletest::prelude::*;

const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Returns the number of queries within `time` from `from` on, where each answer names `gateways` gateways.
fn queries(
    schedule: &mut Schedule,
    from: Duration,
    time: Duration,
    gateways: impl Fn(Duration) -> usize,
) -> usize {
    let mut now = from;
    let mut queries = 0;
    while now < from + time {
        if schedule.is_due(now) {
            queries += 1;
            schedule.record_answer(gateways(now), now);
        }
        now += POLL_PERIOD;
    }
    queries
}

/// Power returns to 98 gateways and 192 sidecars at once. Gateways discover each other within 1.5 s; a leader that
/// knows only 40 of them leaves the others without digests until it asks again.
#[gtest]
fn while_gateways_come_to_light_it_is_asked_again_soon() {
    let mut schedule = Schedule::default();
    let known = |now: Duration| {
        usize::try_from(now.as_millis() / 16)
            .unwrap_or(98)
            .clamp(1, 98)
    };
    let first = queries(
        &mut schedule,
        Duration::ZERO,
        Duration::from_millis(2_600),
        known,
    );
    assert_that!(first, eq(13));
    let later = queries(
        &mut schedule,
        Duration::from_secs(3),
        Duration::from_secs(20),
        |_| 98,
    );
    assert_that!(later, le(11));
}

#[gtest]
fn without_an_answer_it_is_asked_soon_for_good() {
    let mut schedule = Schedule::default();
    let mut count = 0;
    for poll in 0..100 {
        count += usize::from(schedule.is_due(POLL_PERIOD * poll));
    }
    assert_that!(count, eq(50));
}
