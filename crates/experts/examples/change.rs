//! Measures the cost of a change of map for a group: hold time, steps held and messages.
//!
//! The change is simulated with the coordinator, members and ranks of this crate over a network with
//! random delays. The baselines are computed from the same delays and load times, for the rounds of
//! messages that each of them needs.
//! `cargo run --release -p auburnline-experts --example change [-- --csv]`

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::env;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::expert::Map;
use auburnline_core::id::Rank;
use auburnline_experts::coordinator::Action;
use auburnline_experts::coordinator::Choice;
use auburnline_experts::coordinator::Coordinator;
use auburnline_experts::coordinator::Event;
use auburnline_experts::coordinator::Settings;
use auburnline_experts::member::Member;
use auburnline_experts::order::Command;
use auburnline_experts::order::Order;
use auburnline_experts::order::Report;
use auburnline_experts::rank::Entry;
use auburnline_experts::rank::State;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 1;
const TRIALS: u64 = 50;
const RANKS_PER_MEMBER: Rank = 4;
const STEP: Duration = Duration::from_millis(5);
const LOAD: Duration = Duration::from_secs(2);
const TICK: Duration = Duration::from_millis(5);
/// Upper limit of the steps that the longest stream still has to run when a drain begins.
const DRAIN_STEPS: u32 = 400;
const DELAYS_US: [u64; 4] = [100, 500, 1_000, 2_000];
const SIZES: [Rank; 5] = [4, 8, 16, 32, 64];

/// Event that the simulation schedules.
enum SimulationEvent {
    Tick,
    Boundary,
    Order(Order),
    Report(Report),
    Loaded(usize),
}

#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    hold: Duration,
    steps_held: u32,
    messages: u32,
    /// Time from the last decision to arm until every rank has reported its switch to the coordinator; for
    /// the baselines, the hold time.
    switch: Duration,
}

struct Simulation {
    rng: ChaCha8Rng,
    delay: Duration,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, usize)>>,
    events: BTreeMap<usize, SimulationEvent>,
    event_count: usize,
    coordinator: Coordinator,
    members: Vec<Member>,
    ranks: Vec<State>,
    entered: Vec<bool>,
    step: u64,
    held_since: Option<Duration>,
    armed_at: Duration,
    cost: Cost,
}

fn map(ranks: Rank, generation: u64) -> Arc<Map> {
    let mut map = Map::initial(ranks, ranks, 1, 1);
    map.generation = generation;
    Arc::new(map)
}

fn delayed(rng: &mut ChaCha8Rng, delay: Duration) -> Duration {
    delay.mul_f64(rng.random_range(0.5..1.5))
}

impl Simulation {
    fn new(seed: u64, ranks: Rank, delay: Duration, margin: u64) -> Simulation {
        let members = ranks / RANKS_PER_MEMBER;
        let layout = (0..members)
            .map(|member| (member * RANKS_PER_MEMBER..(member + 1) * RANKS_PER_MEMBER).collect())
            .collect();
        let settings = Settings::builder().margin(margin).build();
        let first = map(ranks, 1);
        Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            delay,
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            event_count: 0,
            coordinator: Coordinator::new(layout, 1, 1, Arc::clone(&first), settings),
            members: (0..usize::from(members))
                .map(|index| Member::new(index, 1, 1))
                .collect(),
            ranks: vec![State::serving(true, 0, first); usize::from(ranks)],
            entered: vec![false; usize::from(ranks)],
            step: 0,
            held_since: None,
            armed_at: Duration::ZERO,
            cost: Cost::default(),
        }
    }

    fn schedule(&mut self, wait: Duration, event: SimulationEvent) {
        self.event_count += 1;
        self.events.insert(self.event_count, event);
        self.queue
            .push(Reverse((self.now + wait, self.event_count)));
    }

    fn handle_event(&mut self, event: Event) {
        for action in self.coordinator.handle(event, self.now) {
            match action {
                Action::Send(order) => {
                    let wait = delayed(&mut self.rng, self.delay);
                    self.cost.messages += 1;
                    self.schedule(wait, SimulationEvent::Order(order));
                }
                Action::Log(decision) if matches!(decision.choice, Choice::Arm(..)) => {
                    self.armed_at = self.now;
                }
                Action::Log(_) => {}
            }
        }
    }

    fn order(&mut self, order: &Order) {
        let refusal = self.members[order.member].accept(order).err();
        let mut statuses = BTreeMap::new();
        let mut maps = Vec::new();
        let first = order.member * usize::from(RANKS_PER_MEMBER);
        for rank in first..first + usize::from(RANKS_PER_MEMBER) {
            let state = &mut self.ranks[rank];
            let was_loading = state.map_to_load().is_some();
            let _ = state.order(order.stamp.fence, &order.command);
            let starts = !was_loading && state.map_to_load().is_some();
            statuses.insert(Rank::try_from(rank).unwrap_or(Rank::MAX), state.status());
            if order.command == Command::Read {
                maps.extend(state.maps().cloned());
            }
            if starts {
                let load = delayed(&mut self.rng, LOAD);
                self.schedule(load, SimulationEvent::Loaded(rank));
            }
        }
        let report = self.members[order.member].report(order, refusal, statuses, maps);
        let wait = delayed(&mut self.rng, self.delay);
        self.cost.messages += 1;
        self.schedule(wait, SimulationEvent::Report(report));
    }

    /// Makes all ranks that wait at the step boundary try to enter the step.
    fn enter(&mut self) {
        for (state, entered) in self.ranks.iter_mut().zip(&mut self.entered) {
            *entered = *entered || state.enter(self.step) != Entry::Hold;
        }
        if !self.entered.iter().all(|entered| *entered) {
            self.held_since.get_or_insert(self.now);
            return;
        }
        if let Some(since) = self.held_since.take() {
            self.cost.hold += self.now.saturating_sub(since);
            self.cost.steps_held += 1;
        }
        self.entered.fill(false);
        self.step += 1;
        self.schedule(STEP, SimulationEvent::Boundary);
    }

    /// Runs until all ranks have settled in `generation`.
    fn run_to(&mut self, generation: u64) {
        while self.coordinator.settled_generation() != Some(generation) {
            let Some(Reverse((at, index))) = self.queue.pop() else {
                return;
            };
            self.now = at;
            match self.events.remove(&index) {
                Some(SimulationEvent::Tick) => {
                    self.handle_event(Event::Tick);
                    self.schedule(TICK, SimulationEvent::Tick);
                }
                Some(SimulationEvent::Boundary) => self.enter(),
                Some(SimulationEvent::Order(order)) => {
                    self.order(&order);
                    if self.held_since.is_some() {
                        self.enter();
                    }
                }
                Some(SimulationEvent::Report(report)) => self.handle_event(Event::Report(report)),
                Some(SimulationEvent::Loaded(rank)) => self.ranks[rank].finish_loading(),
                None => {}
            }
        }
    }
}

fn change(seed: u64, ranks: Rank, delay: Duration, margin: u64) -> Cost {
    let mut simulation = Simulation::new(seed, ranks, delay, margin);
    simulation.schedule(Duration::ZERO, SimulationEvent::Tick);
    simulation.schedule(Duration::ZERO, SimulationEvent::Boundary);
    simulation.run_to(1);
    simulation.cost = Cost::default();
    simulation.handle_event(Event::Start(map(ranks, 2)));
    simulation.run_to(2);
    Cost {
        switch: simulation.now.saturating_sub(simulation.armed_at),
        ..simulation.cost
    }
}

/// Returns the longest wait of any member, which is the sum of `messages` message delays and, with
/// `load`, the longest load time of the member's ranks.
fn longest(
    rng: &mut ChaCha8Rng,
    members: u32,
    messages: u32,
    delay: Duration,
    load: bool,
) -> Duration {
    let wait = |rng: &mut ChaCha8Rng| {
        let delays: Duration = (0..messages).map(|_| delayed(rng, delay)).sum();
        let loads = if load { u32::from(RANKS_PER_MEMBER) } else { 0 };
        let load = (0..loads).map(|_| delayed(rng, LOAD)).max();
        delays + load.unwrap_or_default()
    };
    (0..members).map(|_| wait(rng)).max().unwrap_or_default()
}

/// Baseline that holds all ranks, loads while held and releases: no step runs from the first hold to
/// the last release.
fn hold_at_once(seed: u64, ranks: Rank, delay: Duration) -> Cost {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let members = u32::from(ranks / RANKS_PER_MEMBER);
    let loaded = longest(&mut rng, members, 2, delay, true);
    let hold = loaded + longest(&mut rng, members, 1, delay, false);
    Cost {
        hold,
        steps_held: 1,
        messages: members * 4,
        switch: hold,
    }
}

/// Baseline that finishes all streams without admitting new ones, then loads and resumes; the drain
/// counts as hold time.
fn drain_and_switch(seed: u64, ranks: Rank, delay: Duration) -> Cost {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let drain = STEP * rng.random_range(DRAIN_STEPS / 2..DRAIN_STEPS);
    let held = hold_at_once(seed, ranks, delay);
    Cost {
        hold: drain + held.hold,
        steps_held: u32::try_from(drain.as_micros() / STEP.as_micros()).unwrap_or(u32::MAX),
        messages: held.messages,
        switch: drain + held.hold,
    }
}

fn mean(costs: &[Cost]) -> [f64; 5] {
    let count = f64::from(u32::try_from(costs.len()).unwrap_or(u32::MAX));
    let hold: f64 = costs.iter().map(|cost| cost.hold.as_secs_f64()).sum();
    let max = costs.iter().map(|cost| cost.hold).max().unwrap_or_default();
    let steps: u32 = costs.iter().map(|cost| cost.steps_held).sum();
    let messages: u32 = costs.iter().map(|cost| cost.messages).sum();
    let switch: f64 = costs.iter().map(|cost| cost.switch.as_secs_f64()).sum();
    [
        hold * 1e3 / count,
        max.as_secs_f64() * 1e3,
        f64::from(steps) / count,
        f64::from(messages) / count,
        switch * 1e3 / count,
    ]
}

fn main() {
    let csv = env::args().any(|argument| argument == "--csv");
    let titles = [
        "ranks",
        "delay_us",
        "way",
        "hold_ms",
        "hold_max_ms",
        "steps_held",
        "messages",
        "settled_ms",
    ];
    if csv {
        println!("{}", titles.join(","));
    } else {
        println!("seeds {SEED}..={TRIALS}");
        println!("{}", titles.map(|title| format!("{title:>14}")).concat());
    }
    for ranks in SIZES {
        for delay_us in DELAYS_US {
            let delay = Duration::from_micros(delay_us);
            let methods: [(&str, &dyn Fn(u64) -> Cost); 4] = [
                ("arm margin 2", &|seed| change(seed, ranks, delay, 2)),
                ("arm margin 0", &|seed| change(seed, ranks, delay, 0)),
                ("hold at once", &|seed| hold_at_once(seed, ranks, delay)),
                ("drain", &|seed| drain_and_switch(seed, ranks, delay)),
            ];
            for (name, run) in methods {
                let costs: Vec<Cost> = (SEED..=TRIALS).map(run).collect();
                let [hold, max, steps, messages, switch] = mean(&costs);
                if csv {
                    println!(
                        "{ranks},{delay_us},{name},{hold:.3},{max:.3},{steps:.2},{messages:.1},{switch:.2}"
                    );
                } else {
                    println!(
                        "{ranks:>14}{delay_us:>14}{name:>14}{hold:>14.3}{max:>14.3}{steps:>14.2}{messages:>14.1}{switch:>14.2}"
                    );
                }
            }
        }
    }
}
