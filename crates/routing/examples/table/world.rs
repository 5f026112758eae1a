//! The simulation: entries, groups and the messages between them, in order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use auburnline_core::load::Load;
use auburnline_core::load::Report;
use auburnline_core::time::Monotonic;
use auburnline_routing::BLOCK_TOKENS;
use auburnline_routing::Event as CacheEvent;
use auburnline_routing::Prefix;
use auburnline_routing::Query;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::engine;
use crate::engine::Engine;
use crate::engine::Job;
use crate::policy::Choice;
use crate::policy::Policy;
use crate::scenario::DOMAINS;
use crate::scenario::SECOND;
use crate::scenario::Scenario;
use crate::score::Score;
use crate::trace;
use crate::trace::Arrival;
use crate::trace::Micros;

/// One-way network latency.
const NETWORK: Micros = 1_000;
/// Time between two load reports of a group.
const REPORT_EVERY: Micros = 100_000;
/// Time until entries detect that a group is lost.
const DETECTION: Micros = 300_000;
/// Delay of cache events.
const CACHE_LAG: Micros = 1_000_000;
/// Fraction of first tokens whose cache events reach the entry that sent the request.
const CACHE_KEPT: f64 = 0.3;
/// Mixed into the seed for the policies, so that their draws differ from those of the trace.
const CHOICE_SEED: u64 = 0x5eed;

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request reaches its entry, or is returned to it from a failed group.
    Arrive(usize),
    /// A request reaches a group.
    Reach(usize, usize),
    /// A group finishes a step.
    Step(usize),
    /// Groups measure their loads.
    Measure,
    /// The measurement with this index reaches the entries.
    Deliver(usize),
    /// The last failure domain is lost, or the first group slows down.
    Change,
    /// Entries detect the loss.
    Detect,
    /// Cache events of a request reach its entry.
    Cached(usize, usize),
}

struct World<'a> {
    scenario: &'a Scenario,
    arrivals: &'a [Arrival],
    prefixes: Vec<Prefix>,
    policies: Vec<Box<dyn Policy>>,
    engines: Vec<Engine>,
    measured: Vec<Vec<Load>>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    now: Micros,
    rng: ChaCha8Rng,
    /// Whether a request has had its first token or was cut off by a failure.
    answered: Vec<bool>,
    score: Score,
}

/// Runs one policy over one scenario.
pub(crate) fn run(scenario: &Scenario, choice: Choice, seed: u64) -> Score {
    let arrivals = trace::draw(scenario, seed);
    let prefixes = arrivals
        .iter()
        .map(|arrival| Prefix::from_blocks(&arrival.blocks));
    let policies = (0..scenario.entries).map(|entry| choice.build(scenario.groups, entry));
    let mut world = World {
        scenario,
        arrivals: &arrivals,
        prefixes: prefixes.collect(),
        policies: policies.collect(),
        engines: (0..scenario.groups).map(|_| Engine::new()).collect(),
        measured: Vec::new(),
        events: BinaryHeap::new(),
        sequence: 0,
        now: 0,
        rng: ChaCha8Rng::seed_from_u64(seed ^ CHOICE_SEED),
        answered: vec![false; arrivals.len()],
        score: Score::new(),
    };
    for (number, arrival) in arrivals.iter().enumerate() {
        world.schedule(arrival.at, Event::Arrive(number));
    }
    world.schedule(0, Event::Measure);
    world.schedule(scenario.change, Event::Change);
    world.run_events();
    world.score
}

impl World<'_> {
    fn schedule(&mut self, time: Micros, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn monotonic_now(&self) -> Monotonic {
        Duration::from_micros(self.now)
    }

    fn run_events(&mut self) {
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            // Stops 60 s after the end of arrivals; the time that the remaining requests have
            // waited counts as their time to the first token.
            if time > self.scenario.length + 60 * SECOND {
                break;
            }
            self.handle(event);
        }
        self.count_unanswered();
        for engine in &self.engines {
            self.score.prompt_tokens += engine.prompt_tokens;
            self.score.hit_tokens += engine.hit_tokens;
        }
    }

    fn count_unanswered(&mut self) {
        let pairs = self.arrivals.iter().zip(&self.answered);
        for (arrival, _) in
            pairs.filter(|&(arrival, &answered)| !answered && arrival.at >= self.scenario.warm_up)
        {
            let time = self.now.saturating_sub(arrival.at);
            self.score.ttft.record(time).expect("a time in range");
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(number) => self.arrive(number),
            Event::Reach(number, group) => self.reach(number, group),
            Event::Step(group) => self.step(group),
            Event::Measure => self.measure(),
            Event::Deliver(number) => self.deliver(number),
            Event::Change => self.change(),
            Event::Detect => self.detect(),
            Event::Cached(number, group) => self.cached(number, group),
        }
    }

    fn arrive(&mut self, number: usize) {
        let arrival = &self.arrivals[number];
        let query = Query {
            pool: "drafts".into(),
            model: Some("model".into()),
            prefix: self.prefixes[number].clone(),
            prompt_tokens: arrival.blocks.len() as u64 * BLOCK_TOKENS,
            max_tokens: trace::MAX_TOKENS,
            priority: arrival.priority,
            deadline: Duration::from_secs(30),
            excluded: Vec::new(),
        };
        let now = self.monotonic_now();
        let policy = &mut self.policies[arrival.entry];
        let group = policy.choose(number, &query, now, &mut self.rng);
        self.schedule(self.now + NETWORK, Event::Reach(number, group));
    }

    fn reach(&mut self, number: usize, group: usize) {
        if self.engines[group].failed {
            let known = self.scenario.change + DETECTION;
            self.policies[self.arrivals[number].entry].finished(number);
            self.schedule(known.max(self.now) + NETWORK, Event::Arrive(number));
            return;
        }
        let arrival = &self.arrivals[number];
        self.engines[group].push(Job {
            number,
            chain: engine::chain(&arrival.blocks),
            priority: arrival.priority,
            prefill: arrival.blocks.len() as u64 * BLOCK_TOKENS,
            left: arrival.output,
            generated: 0,
        });
        self.start(group);
    }

    fn start(&mut self, group: usize) {
        let counted = self.now >= self.scenario.warm_up;
        let engine = &mut self.engines[group];
        if !engine.stepping && !engine.is_idle() {
            let time = engine.begin(counted);
            self.schedule(self.now + time, Event::Step(group));
        }
    }

    fn step(&mut self, group: usize) {
        if self.engines[group].failed {
            return;
        }
        let outcome = self.engines[group].end();
        let counted = self.now >= self.scenario.warm_up;
        if counted && outcome.decoded > 0 {
            let time = self.engines[group].step_time;
            self.score
                .tbt
                .record_n(time, outcome.decoded)
                .expect("a time in range");
        }
        for &number in &outcome.first {
            self.answered[number] = true;
            let arrival = &self.arrivals[number];
            if arrival.at >= self.scenario.warm_up {
                let time = self.now + NETWORK - arrival.at;
                self.score.ttft.record(time).expect("a time in range");
            }
            if self.rng.random_bool(CACHE_KEPT) {
                self.schedule(self.now + CACHE_LAG, Event::Cached(number, group));
            }
        }
        for &number in &outcome.done {
            self.policies[self.arrivals[number].entry].finished(number);
        }
        self.start(group);
    }

    fn measure(&mut self) {
        let loads = self.engines.iter().map(Engine::load).collect();
        self.measured.push(loads);
        if self.now >= self.scenario.warm_up && self.now < self.scenario.length {
            let live = self.engines.iter().filter(|engine| !engine.failed);
            let backlogs: Vec<u64> = live.map(Engine::backlog).collect();
            self.score.sample(&backlogs);
        }
        let lag = Micros::try_from(self.scenario.lag.as_micros()).unwrap_or(0);
        self.schedule(self.now + lag, Event::Deliver(self.measured.len() - 1));
        if self.now < self.scenario.length {
            self.schedule(self.now + REPORT_EVERY, Event::Measure);
        }
    }

    fn deliver(&mut self, number: usize) {
        let loads = std::mem::take(&mut self.measured[number]);
        let now = self.monotonic_now();
        for (group, load) in loads.into_iter().enumerate() {
            let report = Report {
                load,
                age: self.scenario.lag,
            };
            for policy in &mut self.policies {
                policy.report(group, report, now);
            }
        }
    }

    fn change(&mut self) {
        self.engines[0].step_percent = self.scenario.slow_percent;
        if !self.scenario.domain_lost {
            return;
        }
        for group in self.lost() {
            for number in self.engines[group].fail() {
                self.policies[self.arrivals[number].entry].finished(number);
                self.answered[number] = true;
                self.score.cut += 1;
            }
        }
        self.schedule(self.now + DETECTION, Event::Detect);
    }

    fn lost(&self) -> impl Iterator<Item = usize> + use<> {
        (0..self.scenario.groups).filter(|group| group % DOMAINS == DOMAINS - 1)
    }

    fn detect(&mut self) {
        for group in self.lost() {
            for policy in &mut self.policies {
                policy.lost(group);
            }
        }
    }

    fn cached(&mut self, number: usize, group: usize) {
        let now = self.monotonic_now();
        let age = Duration::from_micros(CACHE_LAG);
        let policy = &mut self.policies[self.arrivals[number].entry];
        for (_, key) in self.prefixes[number].keys() {
            policy.cache_event(group, CacheEvent::Stored(key), age, now);
        }
    }
}
