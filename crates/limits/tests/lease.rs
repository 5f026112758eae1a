//! Random simulations: the tokens that all entries spend stay within the limit and its declared bound while entries
//! restart, the network is partitioned, and messages are lost, delayed and duplicated.

use std::env;
use std::time::Duration;

use auburnline_limits::lease::Settings;
use googletest::prelude::*;

#[path = "../examples/table/world.rs"]
#[expect(
    dead_code,
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "shared with the example that prints the table"
)]
mod world;

use world::Fault;
use world::Outcome;
use world::Plan;
use world::Policy;
use world::World;

fn plan(seed: u64, fault: Fault) -> Plan {
    Plan {
        seed,
        entries: 10,
        workspaces: 12,
        seconds: 60,
        requests_per_second: 60.0,
        policy: Policy::Leases,
        fault,
        skew: 0.5,
        entries_per_workspace: usize::MAX,
        settings: Settings::default(),
        message_fault_percent: 3,
        ignores_published: false,
        audit: true,
    }
}

fn run(plan: Plan) -> Outcome {
    World::new(plan).run()
}

#[gtest]
fn use_never_passes_the_limit_and_the_declared_bound() {
    let first = env::var("AUBURNLINE_SEED").ok();
    let first = first.and_then(|text| text.parse().ok()).unwrap_or(1);
    for seed in first..first + 2 {
        for fault in [Fault::Calm, Fault::Churn, Fault::Partition, Fault::Both] {
            let outcome = run(plan(seed, fault));
            println!("seed {seed} {fault:?} {outcome:?}");
            expect_that!(outcome.beyond_grants, le(1.0));
            expect_that!(outcome.max_share_ppm, le(1_000_000));
            expect_that!(outcome.beyond_bound, le(1.0));
            expect_that!(outcome.unused, lt(0.6));
        }
    }
}

#[gtest]
fn same_seed_same_run() {
    expect_that!(run(plan(5, Fault::Both)), eq(&run(plan(5, Fault::Both))));
}

#[gtest]
fn a_home_that_grants_at_once_is_caught() {
    let caught = (1..5).any(|seed| {
        let mut hasty = plan(seed, Fault::Churn);
        hasty.settings.hold_time = Duration::ZERO;
        run(hasty).max_share_ppm > 1_000_000
    });
    expect_true!(caught);
}

#[gtest]
fn a_home_that_grants_the_whole_limit_in_a_partition_is_caught() {
    let mut blind = plan(1, Fault::Partition);
    blind.ignores_published = true;
    let outcome = run(blind);
    expect_that!(outcome.max_share_ppm, gt(1_000_000));
    expect_that!(outcome.beyond_grants, gt(1.0));
}
