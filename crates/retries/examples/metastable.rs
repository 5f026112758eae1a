//! Simulates whether a burst of load on a slowed upstream causes a metastable failure, in which
//! retries keep the upstream overloaded after the trigger has ended; prints one row per policy.
//!
//! `cargo run --release -p auburnline-retries --example metastable [-- --csv] [seed]`
//!
//! One upstream serves requests one after another. Each caller times out an attempt after one
//! second, but the upstream still serves timed-out attempts, as real ones do.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    reason = "counts of a simulation"
)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::env;
use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_core::request::Priority;
use auburnline_core::request::Request;
use auburnline_core::request::Work;
use auburnline_limits::queue;
use auburnline_limits::queue::Pushed;
use auburnline_limits::queue::Queue;
use auburnline_limits::queue::Waiting;
use auburnline_retries::backoff::Backoff;
use auburnline_retries::budget;
use auburnline_retries::budget::Budget;
use auburnline_retries::policy::Decision;
use auburnline_retries::policy::Failure;
use auburnline_retries::policy::Policy;
use auburnline_retries::retryable::Idempotent;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Requests per second that the upstream can serve.
const CAPACITY_PER_S: f64 = 1_000.0;
/// First attempts per second.
const LOAD_PER_S: f64 = 700.0;
/// Start and end of the trigger.
const TRIGGER_S: [u64; 2] = [30, 40];
/// End of the run.
const END_S: u64 = 240;
/// Factor on first attempts during the trigger.
const BURST_FACTOR: f64 = 2.0;
/// Factor on service time during the trigger.
const SLOWDOWN_FACTOR: f64 = 2.0;
/// Timeout of one attempt.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Deadline of a request over all its attempts.
const DEADLINE: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// Three retries, each 100 ms after the failure.
    Naive,
    /// Three retries with exponential backoff and jitter.
    Jitter,
    /// Backoff, and a retry budget of a tenth of the first attempts.
    Budget,
    /// As `Budget`, with a queue before the upstream that sheds requests by deadline.
    BudgetAndQueue,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    first: Duration,
    number: u32,
    sent: Duration,
}

struct Simulation {
    rule: Rule,
    rng: ChaCha8Rng,
    fifo: VecDeque<u64>,
    fair_queue: Queue<u64>,
    running: Option<(Duration, u64)>,
    attempts: BTreeMap<u64, Attempt>,
    timeouts: BTreeSet<(Duration, u64)>,
    scheduled_retries: BTreeMap<(Duration, u64), Attempt>,
    budget: Budget<u8, u8>,
    last_key: u64,
    successes: Vec<u64>,
    sends: Vec<u64>,
}

impl Simulation {
    fn new(rule: Rule, seed: u64) -> Self {
        let settings = queue::Settings::builder()
            .max_running(1)
            .token_time(Duration::from_millis(1));
        Simulation {
            rule,
            rng: ChaCha8Rng::seed_from_u64(seed),
            fifo: VecDeque::new(),
            fair_queue: Queue::new(settings.build()),
            running: None,
            attempts: BTreeMap::new(),
            timeouts: BTreeSet::new(),
            scheduled_retries: BTreeMap::new(),
            budget: Budget::new(budget::Settings::default()),
            last_key: 0,
            successes: vec![0; END_S as usize],
            sends: vec![0; END_S as usize],
        }
    }

    fn run(&mut self) {
        let mut next_arrival = 0.0;
        for step in 0..END_S * 10_000 {
            let now = Duration::from_micros(step * 100);
            let triggered = (TRIGGER_S[0]..TRIGGER_S[1]).contains(&now.as_secs());
            let load = if triggered {
                LOAD_PER_S * BURST_FACTOR
            } else {
                LOAD_PER_S
            };
            while next_arrival <= now.as_secs_f64() {
                next_arrival -= self.rng.random_range(f64::EPSILON..1.0).ln() / load;
                self.budget.deposit(now, &0, &0);
                self.send(now, now, 1);
            }
            while let Some((&(at, _), _)) = self.scheduled_retries.first_key_value() {
                if at > now {
                    break;
                }
                if let Some((_, attempt)) = self.scheduled_retries.pop_first() {
                    self.send(now, attempt.first, attempt.number);
                }
            }
            self.serve(now, if triggered { SLOWDOWN_FACTOR } else { 1.0 });
            self.time_out(now);
        }
    }

    fn send(&mut self, now: Duration, first: Duration, number: u32) {
        self.last_key += 1;
        let key = self.last_key;
        self.sends[now.as_secs() as usize] += 1;
        let attempt = Attempt {
            first,
            number,
            sent: now,
        };
        self.attempts.insert(key, attempt);
        self.timeouts.insert((now + TIMEOUT, key));
        if self.rule != Rule::BudgetAndQueue {
            self.fifo.push_back(key);
            return;
        }
        let waiting = Waiting {
            key,
            workspace: "w".into(),
            weight: 1,
            priority: Priority::Normal,
            tokens: 1,
            bytes: 0,
            deadline: now + TIMEOUT,
        };
        if let Pushed::Refused(refused) = self.fair_queue.push(now, waiting) {
            self.fail(now, key, refused.kind, refused.retry_after);
        }
    }

    fn serve(&mut self, now: Duration, slowdown: f64) {
        if let Some((_, key)) = self.running.take_if(|(at, _)| *at <= now) {
            self.fair_queue.finish(now, &key, 1);
            if let Some(attempt) = self.attempts.remove(&key) {
                self.timeouts.remove(&(attempt.sent + TIMEOUT, key));
                self.successes[now.as_secs() as usize] += 1;
            }
        }
        if self.running.is_some() {
            return;
        }
        let next = if self.rule == Rule::BudgetAndQueue {
            let popped = self.fair_queue.pop(now);
            for shed in popped.shed {
                self.fail(now, *shed.proof.key(), shed.kind, shed.retry_after);
            }
            popped.started.map(|started| started.key)
        } else {
            self.fifo.pop_front()
        };
        let service_time = Duration::from_secs_f64(slowdown / CAPACITY_PER_S);
        self.running = next.map(|key| (now + service_time, key));
    }

    fn time_out(&mut self, now: Duration) {
        while let Some(&(at, key)) = self.timeouts.first() {
            if at > now {
                return;
            }
            self.fail(now, key, Kind::Timeout, Duration::ZERO);
        }
    }

    fn fail(&mut self, now: Duration, key: u64, kind: Kind, retry_after: Duration) {
        let Some(attempt) = self.attempts.remove(&key) else {
            return;
        };
        self.timeouts.remove(&(attempt.sent + TIMEOUT, key));
        let left = (attempt.first + DEADLINE).saturating_sub(now);
        let no_backoff = Backoff {
            base: Duration::ZERO,
            cap: Duration::ZERO,
        };
        let policy = Policy {
            max_attempts: 4,
            backoff: if self.rule == Rule::Naive {
                no_backoff
            } else {
                Backoff::default()
            },
        };
        if matches!(self.rule, Rule::Naive | Rule::Jitter) {
            self.budget = Budget::new(budget::Settings::default());
        }
        let fixed_delay = Duration::from_millis(100);
        let failure = Failure {
            kind,
            witness: Idempotent::of(&request()),
            attempts: attempt.number,
            retry_after: if self.rule == Rule::Naive {
                fixed_delay
            } else {
                retry_after
            },
            left,
            upstream: &0,
            workspace: &0,
        };
        let decision = policy.decide(now, &failure, &mut self.budget, &mut self.rng);
        if let Decision::Retry { wait, .. } = decision {
            let retry = Attempt {
                number: attempt.number + 1,
                ..attempt
            };
            self.scheduled_retries.insert((now + wait, key), retry);
        }
    }
}

fn request() -> Request {
    Request {
        id: "r".into(),
        attempt: None,
        age: Duration::ZERO,
        workspace: "w".into(),
        priority: Priority::Normal,
        deadline: DEADLINE,
        idempotent: true,
        work: Work::Draft {
            model: "m".into(),
            prompt: String::new(),
            max_tokens: 1,
        },
    }
}

/// Returns the mean count per second over the seconds `[from, to)`.
fn mean(counts: &[u64], from: u64, to: u64) -> f64 {
    let range = &counts[from as usize..to as usize];
    range.iter().sum::<u64>() as f64 / (to - from) as f64
}

/// Returns the seconds after the trigger until five seconds in a row have at least 95 % of the
/// successes per second before it, or `never`.
fn recovery(successes: &[u64], before: f64) -> String {
    let recovered_at =
        (TRIGGER_S[1]..END_S - 5).find(|&at| mean(successes, at, at + 5) >= before * 0.95);
    recovered_at.map_or("never".to_string(), |at| format!("{}", at - TRIGGER_S[1]))
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let csv = arguments.iter().any(|argument| argument == "--csv");
    let seed = arguments.iter().find_map(|argument| argument.parse().ok());
    let titles = [
        "policy",
        "before",
        "during",
        "next_20s",
        "last_60s",
        "sends_last",
        "recovery_s",
    ];
    print(csv, &titles.map(str::to_string));
    for rule in [
        Rule::Naive,
        Rule::Jitter,
        Rule::Budget,
        Rule::BudgetAndQueue,
    ] {
        let mut simulation = Simulation::new(rule, seed.unwrap_or(1));
        simulation.run();
        let successes = &simulation.successes;
        let before = mean(successes, 10, TRIGGER_S[0]);
        let number = |value: f64| format!("{value:.0}");
        let cells = [
            format!("{rule:?}"),
            number(before),
            number(mean(successes, TRIGGER_S[0], TRIGGER_S[1])),
            number(mean(successes, TRIGGER_S[1], TRIGGER_S[1] + 20)),
            number(mean(successes, END_S - 60, END_S)),
            number(mean(&simulation.sends, END_S - 60, END_S)),
            recovery(successes, before),
        ];
        print(csv, &cells);
    }
}

fn print(csv: bool, cells: &[String]) {
    if csv {
        println!("{}", cells.join(","));
        return;
    }
    let line: Vec<String> = cells.iter().map(|cell| format!("{cell:>14}")).collect();
    println!("{}", line.join(" "));
}
