//! Schedule of the calls of the configuration service.

use std::time::Duration;

use auburnline_configuration::schedule::Schedule;
use auburnline_core::time::Monotonic;
use googletest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// Longest delay after a failed call: the upper bound of the mean delay and its jitter.
const MAX_DELAY: Duration = Duration::from_secs(3);
/// Failures in a row: more than any number type of an exponent holds as a power of two.
const FAILURES: u32 = 3_000;

/// Guards against a panic of a process whose calls fail for some minutes: a power of two that grew
/// with each failure exceeded the largest delay.
#[gtest]
fn calls_go_on_after_any_number_of_failures() {
    for seed in 1..=20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut schedule = Schedule::new(Monotonic::ZERO, &mut rng);
        let mut now = Monotonic::ZERO;
        for failure in 0..FAILURES {
            schedule.retry(now, &mut rng);
            now += MAX_DELAY;
            let call = schedule.due(failure.into(), false, now, &mut rng);
            assert_that!(call, some(anything()), "seed {seed}, failure {failure}");
        }
    }
}
