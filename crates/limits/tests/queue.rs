//! Random runs of the queue that check its invariants, and cases of single rules.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::env;
use std::time::Duration;

use auburnline_core::error::Fate;
use auburnline_core::request::Priority;
use auburnline_limits::queue::Cancelled;
use auburnline_limits::queue::Pushed;
use auburnline_limits::queue::Queue;
use auburnline_limits::queue::Reason;
use auburnline_limits::queue::Settings;
use auburnline_limits::queue::Shed;
use auburnline_limits::queue::Waiting;
use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const PRIORITIES: [Priority; 3] = [Priority::Batch, Priority::Normal, Priority::Urgent];

fn setting(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok().and_then(|text| text.parse().ok());
    let value = value.unwrap_or(default);
    println!("{name}={value}");
    value
}

/// Maximum bytes of the requests of a random run.
const MAX_BYTES: usize = 8 << 20;

fn request(key: u64, workspace: &str, tokens: u64) -> Waiting<u64> {
    Waiting {
        key,
        workspace: workspace.into(),
        weight: 1,
        priority: Priority::Normal,
        tokens,
        bytes: 0,
        deadline: Duration::from_secs(1000),
    }
}

fn small_queue() -> Queue<u64> {
    Queue::new(Settings::builder().max_running(1).max_queued(4).build())
}

/// Keys that a run started and gave up, with a log of the outcomes of all pops.
#[derive(Default)]
struct Trace {
    started: BTreeSet<u64>,
    given_up: BTreeSet<u64>,
    log: Vec<String>,
}

impl Trace {
    fn shed(&mut self, shed: &Shed<u64>) {
        assert_that!(shed.kind.fate(), eq(Fate::NotRun));
        assert_that!(shed.retry_after, le(Duration::from_secs(30)));
        self.give_up(*shed.proof.key());
    }

    fn shed_all(&mut self, all: &[Shed<u64>]) {
        for shed in all {
            self.shed(shed);
        }
    }

    fn give_up(&mut self, key: u64) {
        assert!(!self.started.contains(&key), "{key} started before");
        assert!(self.given_up.insert(key), "{key} given up twice");
    }

    fn start(&mut self, key: u64) {
        assert!(!self.given_up.contains(&key), "{key} was given up");
        assert!(self.started.insert(key), "{key} started twice");
    }
}

fn random_run(start: u64, events: u64) -> Trace {
    let mut rng = ChaCha8Rng::seed_from_u64(start);
    let settings = Settings::builder()
        .max_running(4)
        .max_queued(40)
        .max_bytes(MAX_BYTES);
    let mut queue = Queue::new(settings.build());
    let mut trace = Trace::default();
    let mut now = Duration::ZERO;
    for key in 0..events {
        now += Duration::from_millis(rng.random_range(0..200));
        match rng.random_range(0..10) {
            0..5 => {
                let new = Waiting {
                    weight: rng.random_range(1..4),
                    priority: PRIORITIES[rng.random_range(0..3)],
                    bytes: rng.random_range(0..1 << 20),
                    deadline: now + Duration::from_millis(rng.random_range(0..20_000)),
                    ..request(
                        key,
                        ["a", "b", "c"][rng.random_range(0..3)],
                        rng.random_range(1..4000),
                    )
                };
                match queue.push(now, new) {
                    Pushed::Refused(refused) => trace.shed(&refused),
                    Pushed::Queued { displaced, .. } => trace.shed_all(displaced.as_slice()),
                    Pushed::Duplicate => unreachable!("keys are new"),
                }
            }
            5..7 => {
                let popped = queue.pop(now);
                trace.shed_all(&popped.shed);
                if let Some(started) = &popped.started {
                    trace.start(started.key);
                }
                trace.log.push(format!("{popped:?}"));
            }
            7 => {
                let chosen = rng.random_range(0..=key);
                if let Cancelled::Withdrawn(proof) = queue.cancel(&chosen) {
                    trace.give_up(proof.into_key());
                }
            }
            8 => trace.shed_all(&queue.tick(now)),
            _ => {
                let chosen = trace.started.iter().nth(rng.random_range(0..64));
                for done in chosen.into_iter().chain(trace.started.last()) {
                    queue.finish(now, done, 10);
                }
            }
        }
        queue.assert_consistent();
        assert_that!(queue.flows(), le(80));
    }
    trace
}

#[gtest]
fn what_is_given_up_never_starts() {
    let seed = setting("AUBURNLINE_SEED", 1);
    let events = setting("AUBURNLINE_EVENTS", 5_000);
    for seed in seed..seed + 4 {
        let trace = random_run(seed, events);
        expect_that!(trace.started.len(), gt(10));
        expect_that!(trace.given_up.len(), gt(10));
    }
}

#[gtest]
fn same_events_and_seed_same_decisions() {
    expect_that!(random_run(7, 2_000).log, eq(&random_run(7, 2_000).log));
}

#[gtest]
fn a_cancelled_request_is_withdrawn_once_and_a_started_one_is_not() {
    let mut queue = small_queue();
    let _ = queue.push(Duration::ZERO, request(1, "a", 10));
    let _ = queue.push(Duration::ZERO, request(2, "a", 10));
    expect_true!(queue.pop(Duration::ZERO).started.is_some());
    expect_that!(queue.cancel(&1), eq(&Cancelled::Started));
    expect_true!(matches!(queue.cancel(&2), Cancelled::Withdrawn(_)));
    expect_that!(queue.cancel(&2), eq(&Cancelled::Absent));
    queue.finish(Duration::from_secs(1), &1, 10);
    expect_true!(queue.pop(Duration::from_secs(1)).started.is_none());
}

#[gtest]
fn a_present_key_is_never_proved_unstarted() {
    let mut queue = small_queue();
    let _ = queue.push(Duration::ZERO, request(1, "a", 10));
    expect_that!(
        queue.push(Duration::ZERO, request(1, "a", 10)),
        eq(&Pushed::Duplicate)
    );
    let _ = queue.pop(Duration::ZERO);
    expect_that!(
        queue.push(Duration::ZERO, request(1, "a", 10)),
        eq(&Pushed::Duplicate)
    );
}

#[gtest]
fn a_full_queue_takes_the_place_of_the_longest_flow() {
    let mut queue = small_queue();
    for key in 0..4 {
        let _ = queue.push(Duration::ZERO, request(key, "big", 100));
    }
    let Pushed::Queued { displaced, .. } = queue.push(Duration::ZERO, request(9, "new", 100))
    else {
        panic!("the new workspace's request is queued");
    };
    let displaced = displaced.expect("a request was displaced");
    expect_that!(displaced.reason, eq(Reason::Displaced));
    expect_that!(*displaced.proof.key(), eq(3));
    let Pushed::Refused(refused) = queue.push(Duration::ZERO, request(10, "big", 100)) else {
        panic!("the flow with the largest backlog is refused");
    };
    expect_that!(refused.reason, eq(Reason::QueueFull));
}

#[gtest]
fn a_request_that_would_be_late_is_refused_at_once() {
    let mut queue = small_queue();
    let _ = queue.push(Duration::ZERO, request(1, "a", 10_000));
    let _ = queue.pop(Duration::ZERO);
    let mut late = request(2, "b", 100);
    late.deadline = Duration::from_secs(2);
    let Pushed::Refused(refused) = queue.push(Duration::ZERO, late) else {
        panic!("the predicted wait of 10 s exceeds the deadline");
    };
    expect_that!(refused.reason, eq(Reason::WouldMissDeadline));
    expect_that!(refused.retry_after, gt(Duration::from_secs(2)));
}

/// Returns the tokens that each workspace was served while all of them had requests queued all the time.
fn served(weights: &[u32], priorities: &[Priority]) -> BTreeMap<usize, u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let settings = Settings::builder().max_running(4).max_queued(1000);
    let mut queue = Queue::new(settings.build());
    let mut waiting = vec![0; weights.len()];
    let mut served: BTreeMap<usize, u64> = BTreeMap::new();
    let mut running = Vec::new();
    let mut keys = BTreeMap::new();
    for round in 0..20_000_u64 {
        let now = Duration::from_millis(round);
        for flow in 0..weights.len() {
            while waiting[flow] < 20 {
                let key = keys.len() as u64;
                let tokens = rng.random_range(1..2000);
                keys.insert(key, (flow, tokens));
                let new = Waiting {
                    weight: weights[flow],
                    priority: priorities[flow],
                    deadline: Duration::MAX / 8,
                    ..request(key, &format!("w{flow}"), tokens)
                };
                assert_true!(matches!(queue.push(now, new), Pushed::Queued { .. }));
                waiting[flow] += 1;
            }
        }
        if running.len() == 4 {
            let key: u64 = running.remove(rng.random_range(0..4));
            queue.finish(now, &key, keys[&key].1);
        }
        let started = queue
            .pop(now)
            .started
            .expect("a free place and a queued request");
        let (flow, tokens) = keys[&started.key];
        waiting[flow] -= 1;
        running.push(started.key);
        *served.entry(flow).or_default() += tokens;
    }
    served
}

#[gtest]
fn workspaces_share_by_weight_whatever_their_priority() {
    let weights = [1, 1, 2, 4];
    let priorities = [
        Priority::Batch,
        Priority::Urgent,
        Priority::Normal,
        Priority::Batch,
    ];
    let served = served(&weights, &priorities);
    let unit = served.values().sum::<u64>() / 8;
    for (flow, weight) in weights.iter().enumerate() {
        let fair = unit * u64::from(*weight);
        expect_that!(
            served[&flow],
            all![ge(fair * 95 / 100), le(fair * 105 / 100)]
        );
    }
}

#[gtest]
fn old_batch_work_passes_new_urgent_work_of_its_workspace() {
    let mut queue = Queue::new(Settings::builder().max_running(1).build());
    let mut batch = request(0, "a", 10);
    batch.priority = Priority::Batch;
    let _ = queue.push(Duration::ZERO, batch);
    for key in 1..30 {
        let now = Duration::from_secs(key);
        let mut urgent = request(key, "a", 10);
        urgent.priority = Priority::Urgent;
        let _ = queue.push(now, urgent);
        let started = queue.pop(now).started.expect("requests are queued").key;
        queue.finish(now, &started, 10);
        if started == 0 {
            expect_that!(key, le(9));
            return;
        }
    }
    panic!("the batch request starved");
}

/// Returns how many of 400 requests, one every 200 ms, are started after 40 earlier requests took two minutes each,
/// which leaves a service time in the estimate that no deadline allows.
fn starts_after_a_stall(max_running: usize) -> usize {
    let mut queue = Queue::new(Settings::builder().max_running(max_running).build());
    let mut now = Duration::ZERO;
    for key in 0..40 {
        let _ = queue.push(now, request(key, "a", 100));
        let _ = queue.pop(now);
        now += Duration::from_mins(2);
        queue.finish(now, &key, 100);
    }
    let mut started = 0;
    for key in 100..500 {
        let mut new = request(key, "a", 100);
        new.deadline = now + Duration::from_secs(5);
        let _ = queue.push(now, new);
        let next = queue.pop(now).started;
        now += Duration::from_millis(200);
        if let Some(next) = next {
            started += 1;
            queue.finish(now, &next.key, 100);
        }
    }
    started
}

#[gtest]
fn a_stall_does_not_stop_the_queue_for_good() {
    expect_that!(starts_after_a_stall(4), eq(400));
    expect_that!(starts_after_a_stall(1), ge(390));
}

/// Guards against a slot whose memory long prompts fill while its queue counts requests alone.
#[gtest]
fn a_request_that_needs_more_bytes_than_are_left_is_refused() {
    let settings = Settings::builder().max_running(1).max_bytes(100);
    let mut queue = Queue::new(settings.build());
    let long = |key| Waiting {
        bytes: 60,
        ..request(key, "a", 1)
    };
    assert_that!(
        queue.push(Duration::ZERO, long(1)),
        matches_pattern!(Pushed::Queued { .. })
    );
    let refused = queue.push(Duration::ZERO, long(2));
    let Pushed::Refused(refused) = refused else {
        panic!("there is no room");
    };
    assert_that!(refused.reason, eq(Reason::QueueFull));
    expect_that!(
        queue.push(Duration::ZERO, request(3, "a", 1)),
        matches_pattern!(Pushed::Queued { .. })
    );
    expect_that!(
        queue.pop(Duration::ZERO).started.map(|one| one.key),
        some(eq(1))
    );
    expect_that!(
        queue.push(Duration::ZERO, long(4)),
        matches_pattern!(Pushed::Refused(_))
    );
    queue.finish(Duration::ZERO, &1, 1);
    expect_that!(
        queue.push(Duration::ZERO, long(5)),
        matches_pattern!(Pushed::Queued { .. })
    );
    queue.assert_consistent();
}
