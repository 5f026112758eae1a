//! Simulation of one upstream under load, with the fair queue or with a FIFO queue that sheds nothing.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use auburnline_core::request::Priority;
use auburnline_limits::queue::Pushed;
use auburnline_limits::queue::Queue;
use auburnline_limits::queue::Settings;
use auburnline_limits::queue::Shed;
use auburnline_limits::queue::Waiting;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Maximum number of requests that the upstream runs at once.
const MAX_RUNNING: usize = 32;
/// Service time of each token used.
const TOKEN_TIME: Duration = Duration::from_millis(3);
/// Number of workspaces; the first sends half of all requests.
const WORKSPACES: usize = 50;
/// Length of a run, in seconds.
const SECONDS: u64 = 130;
/// Time before the measurement starts.
const WARM_UP: Duration = Duration::from_secs(10);
/// Mean number of tokens that a request uses: two thirds of the mean of 550 charged.
const MEAN_USED_TOKENS: f64 = 550.0 * 2.0 / 3.0;

/// Order in which requests are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// The fair queue, which sheds by deadline.
    Fair,
    /// FIFO; nothing is shed.
    Plain,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Used tokens of requests that finished in time, divided by the upstream's capacity.
    pub(crate) in_time_share: f64,
    /// Used tokens of requests that finished late, divided by the upstream's capacity.
    pub(crate) late_share: f64,
    /// Smallest share, over the small workspaces, of a workspace's tokens that finished in time.
    pub(crate) least_served_share: f64,
    /// Share of the large workspace's tokens that finished in time.
    pub(crate) large_share: f64,
    /// Share of the refused and shed requests that were answered on arrival.
    pub(crate) immediate_share: f64,
    /// 99th percentile of the time until a refused or shed request was answered, in milliseconds.
    pub(crate) p99_answer_ms: f64,
    /// Share of urgent requests that finished in time.
    pub(crate) urgent_share: f64,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    workspace: usize,
    priority: Priority,
    used: u64,
    tokens: u64,
    since: Duration,
    deadline: Duration,
}

struct Upstream {
    order: Order,
    fair: Queue<u64>,
    plain: VecDeque<u64>,
    running: BTreeMap<(Duration, u64), u64>,
    jobs: Vec<Job>,
    done: BTreeMap<u64, Duration>,
    answers: Vec<Duration>,
}

impl Upstream {
    fn arrive(&mut self, now: Duration, key: u64) {
        if self.order == Order::Plain {
            self.plain.push_back(key);
            return;
        }
        let job = self.jobs[key as usize];
        let pushed = self.fair.push(
            now,
            Waiting {
                key,
                workspace: format!("w{}", job.workspace).into(),
                weight: 1,
                priority: job.priority,
                tokens: job.tokens,
                bytes: 0,
                deadline: job.deadline,
            },
        );
        match pushed {
            Pushed::Refused(refused) => self.give_up(now, &[refused]),
            Pushed::Queued { displaced, .. } => self.give_up(now, displaced.as_slice()),
            Pushed::Duplicate => {}
        }
    }

    fn give_up(&mut self, now: Duration, all: &[Shed<u64>]) {
        for shed in all {
            let since = self.jobs[*shed.proof.key() as usize].since;
            self.answers.push(now.saturating_sub(since));
        }
    }

    fn finish(&mut self, now: Duration) {
        while let Some(entry) = self.running.first_entry() {
            let (at, key) = *entry.key();
            if at > now {
                return;
            }
            entry.remove();
            self.done.insert(key, at);
            self.fair.finish(now, &key, self.jobs[key as usize].used);
            self.start(now);
        }
    }

    fn start(&mut self, now: Duration) {
        while self.running.len() < MAX_RUNNING {
            let next = match self.order {
                Order::Plain => self.plain.pop_front(),
                Order::Fair => {
                    let popped = self.fair.pop(now);
                    self.give_up(now, &popped.shed);
                    popped.started.map(|started| started.key)
                }
            };
            let Some(key) = next else {
                return;
            };
            let service_time = TOKEN_TIME * self.jobs[key as usize].used as u32;
            self.running.insert((now + service_time, key), key);
        }
    }
}

/// Simulates one upstream at `load` times its capacity.
pub(crate) fn run(seed: u64, order: Order, load: f64, wait_tolerance: f64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let settings = Settings::builder()
        .max_running(MAX_RUNNING)
        .wait_tolerance(wait_tolerance)
        .build();
    let mut upstream = Upstream {
        order,
        fair: Queue::new(settings),
        plain: VecDeque::new(),
        running: BTreeMap::new(),
        jobs: Vec::new(),
        done: BTreeMap::new(),
        answers: Vec::new(),
    };
    let capacity = MAX_RUNNING as f64 / TOKEN_TIME.as_secs_f64();
    let gap = MEAN_USED_TOKENS / (capacity * load);
    let mut next = 0.0;
    for millis in 0..SECONDS * 1_000 {
        let now = Duration::from_millis(millis);
        upstream.finish(now);
        while next <= now.as_secs_f64() {
            next += -gap * rng.random_range(f64::EPSILON..1.0).ln();
            let key = upstream.jobs.len() as u64;
            upstream.jobs.push(job(now, &mut rng));
            upstream.arrive(now, key);
        }
        upstream.start(now);
        if millis.is_multiple_of(50) {
            let late = upstream.fair.tick(now);
            upstream.give_up(now, &late);
        }
    }
    outcome(&upstream, capacity)
}

fn job(now: Duration, rng: &mut ChaCha8Rng) -> Job {
    let large = rng.random_bool(0.5);
    let tokens = rng.random_range(100..1_000);
    Job {
        workspace: if large {
            0
        } else {
            rng.random_range(1..WORKSPACES)
        },
        priority: match rng.random_range(0..10) {
            0 => Priority::Urgent,
            1..4 => Priority::Batch,
            _ => Priority::Normal,
        },
        used: rng.random_range(tokens / 3..=tokens),
        tokens,
        since: now,
        deadline: now + Duration::from_millis(rng.random_range(4_000..12_000)),
    }
}

fn outcome(upstream: &Upstream, capacity: f64) -> Outcome {
    let end = Duration::from_secs(SECONDS - 12);
    let mut asked = [0_u64; WORKSPACES];
    let mut served = [0_u64; WORKSPACES];
    let (mut useful, mut late, mut urgent, mut urgent_served) = (0, 0, 0_u32, 0_u32);
    for (key, job) in upstream.jobs.iter().enumerate() {
        let done = upstream.done.get(&(key as u64));
        let measured = done.is_some_and(|&at| at > WARM_UP && at <= end);
        let in_time = done.is_some_and(|&at| at <= job.deadline);
        if measured && in_time {
            useful += job.used;
        } else if measured {
            late += job.used;
        }
        if job.since > WARM_UP && job.since < end {
            asked[job.workspace] += job.used;
            served[job.workspace] += if in_time { job.used } else { 0 };
            let is_urgent = job.priority == Priority::Urgent;
            urgent += u32::from(is_urgent);
            urgent_served += u32::from(is_urgent && in_time);
        }
    }
    let capacity_tokens = capacity * (end.saturating_sub(WARM_UP)).as_secs_f64();
    let share = |index: usize| served[index] as f64 / (asked[index] as f64).max(1.0);
    let mut answers = upstream.answers.clone();
    answers.sort_unstable();
    let at_once = answers.iter().filter(|time| time.is_zero()).count();
    let answer = answers.get(answers.len() * 99 / 100).copied();
    Outcome {
        in_time_share: useful as f64 / capacity_tokens,
        late_share: late as f64 / capacity_tokens,
        least_served_share: (1..WORKSPACES).map(share).fold(1.0, f64::min),
        large_share: share(0),
        immediate_share: at_once as f64 / answers.len().max(1) as f64,
        p99_answer_ms: answer.unwrap_or_default().as_secs_f64() * 1_000.0,
        urgent_share: f64::from(urgent_served) / f64::from(urgent.max(1)),
    }
}
