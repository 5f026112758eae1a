//! State of the engine's stand-in and its steps.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use auburnline_core::expert::Map;
use auburnline_core::id::Fence;
use auburnline_core::id::Generation;
use auburnline_core::id::Step;
use auburnline_engine::Action;
use auburnline_engine::ExpertCounts;
use auburnline_engine::Generate;
use auburnline_engine::Order;
use auburnline_engine::Outcome;
use auburnline_engine::order::Entered;
use auburnline_engine::wire;
use auburnline_experts::order::Command;
use auburnline_experts::order::Refusal;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::effects::Effects;
use crate::effects::Event;
use crate::engine::batch::Batch;
use crate::engine::batch::Item;
use crate::engine::batch::Job;
use crate::engine::batch::Progress;
use crate::engine::batch::advance;
use crate::engine::batch::event;
use crate::engine::cache::Cache;
use crate::engine::config::Config;
use crate::engine::experts::Experts;
use crate::engine::fault::Fault;
use crate::engine::holdings::Held;
use crate::engine::pace::Pace;
use crate::engine::ranks::Ranks;

/// Blocks of a prompt that one step prefills.
const PREFILL_BLOCKS: usize = 8;
/// Status of a refusal for an older fencing number.
const STALE_FENCE: u16 = 409;
/// Status of a refusal by an instance that does not hold the first rank.
const NOT_FIRST: u16 = 421;
/// What the loop of steps does next.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Begin {
    /// Waits for a request or an order.
    Idle,
    /// Waits for the end of a stall.
    Held,
    /// Lets all ranks of the group enter this step.
    Enter(Step),
}

/// A stream that was admitted.
pub(crate) type Stream = (mpsc::UnboundedReceiver<Item>, Arc<AtomicBool>);

/// State of the engine.
#[derive(Debug)]
pub(crate) struct State {
    config: Config,
    batch: Batch,
    cache: Cache,
    ranks: Ranks,
    experts: Experts,
    pace: Pace,
    stalled: Instant,
    fence: Fence,
    pub(crate) held: Held,
    pub(crate) fault: Fault,
    pub(crate) effects: Effects,
}

impl State {
    pub(crate) fn new(config: Config) -> Self {
        let now = Instant::now();
        let map = Arc::new(Map::initial(
            config.group_ranks,
            config.experts,
            config.layers,
            config.places,
        ));
        let ranks = Ranks::new(
            config.first_rank,
            config.ranks,
            &map,
            config.checks_fence,
            config.load_time,
        );
        let mut state = Self {
            batch: Batch::default(),
            cache: Cache::new(config.cache_blocks, config.lag, config.seed),
            ranks,
            experts: Experts::new(config.layers, config.experts, config.seed),
            pace: Pace::new(config.step_time, config.lag, now),
            stalled: now,
            fence: 0,
            held: Held::new(&config.models, config.load_time, now),
            fault: Fault::default(),
            effects: Effects::default(),
            config,
        };
        state.pace();
        state
    }

    /// Puts a request among those that wait, or returns the status of the refusal.
    pub(crate) fn generate(&mut self, generate: Generate, now: Instant) -> Result<Stream, u16> {
        if let Some(status) = self.fault.refuse {
            return Err(status);
        }
        self.check_fence(generate.fence, &generate.id)?;
        if self.config.first_rank > 0 {
            return Err(NOT_FIRST);
        }
        if !self.held.serves(&generate.model, now) {
            return Err(404);
        }
        if self.batch.waiting.len() >= self.config.max_queue {
            return Err(503);
        }
        let (stream, items) = mpsc::unbounded_channel();
        let silent = Arc::new(AtomicBool::new(self.fault.silent));
        self.batch.waiting.push(Job {
            generate,
            prefill: 0,
            made: 0,
            stream,
            silent: Arc::clone(&silent),
        });
        self.measure(now);
        Ok((items, silent))
    }

    /// Ends the streams of an id; returns whether there were any.
    pub(crate) fn cancel(&mut self, id: &str, now: Instant) -> bool {
        let removed = self.batch.remove(id);
        for job in &removed {
            self.effects.push(Event::Cancelled, id, "");
            let _ = job.stream.send(event(&wire::Event::Error {
                error: "cancelled".to_owned(),
            }));
        }
        self.measure(now);
        !removed.is_empty()
    }

    /// Takes an order, or returns the status of the refusal.
    pub(crate) fn order(&mut self, order: &Order, now: Instant) -> Result<Outcome, u16> {
        let Action::Rank { rank, command } = &order.action else {
            self.check_fence(Some(order.fence), "")?;
            self.held.order(&order.action, now)?;
            self.note(order);
            return Ok(Outcome::Accepted);
        };
        let report = self.ranks.order(*rank, order.fence, command, now);
        let report = report.ok_or(404u16)?;
        match report.refusal {
            Some(Refusal::StaleFence(_)) => {
                self.effects
                    .push(Event::Fenced, "", order.fence.to_string());
            }
            None if *command != Command::Read => self.note(order),
            _ => {}
        }
        Ok(Outcome::Rank(report))
    }

    fn note(&mut self, order: &Order) {
        let detail = serde_json::to_string(order).unwrap_or_default();
        self.effects.push(Event::Ordered, "", detail);
    }

    fn check_fence(&mut self, fence: Option<Fence>, id: &str) -> Result<(), u16> {
        let Some(fence) = fence else {
            return Ok(());
        };
        if self.config.checks_fence && fence < self.fence {
            self.effects.push(Event::Fenced, id, fence.to_string());
            return Err(STALE_FENCE);
        }
        self.fence = self.fence.max(fence);
        Ok(())
    }

    /// Replaces the faults.
    pub(crate) fn set_fault(&mut self, fault: Fault, now: Instant) {
        self.stalled = now + Duration::from_millis(fault.stall_ms);
        self.experts.set(&fault);
        for &rank in &fault.replace {
            self.ranks.replace(rank);
        }
        if fault.silent {
            for job in self.batch.running.iter().chain(&self.batch.waiting) {
                job.silent.store(true, Ordering::Relaxed);
            }
        }
        self.fault = fault;
        self.pace();
    }

    /// Returns whether a step is to begin.
    pub(crate) fn begin(&self, now: Instant) -> Begin {
        let idle = self.batch.is_empty() && !self.ranks.changing();
        if idle || self.config.first_rank > 0 {
            return Begin::Idle;
        }
        if now < self.stalled {
            return Begin::Held;
        }
        Begin::Enter(self.ranks.next())
    }

    /// Lets the ranks of this instance enter a step.
    pub(crate) fn enter(&mut self, step: Step, now: Instant) -> Entered {
        let held = now < self.stalled;
        let entered = self.ranks.enter(step, now).filter(|_| !held);
        self.pace();
        let ranks = entered
            .iter()
            .flatten()
            .map(|&(rank, generation)| (rank, generation, self.pace.time(rank)));
        Entered {
            hold: entered.is_none(),
            ranks: ranks.collect(),
        }
    }

    /// Runs a step that all ranks of the group have entered; returns how long it lasts.
    pub(crate) fn step(&mut self, step: Step, entered: &[Entered], now: Instant) -> Duration {
        let ranks = || entered.iter().flat_map(|entered| &entered.ranks);
        let mut generations: Vec<Generation> = ranks().map(|rank| rank.1).collect();
        generations.sort_unstable();
        generations.dedup();
        if generations.len() > 1 {
            let detail = format!("step {step} ran under generations {generations:?}");
            self.effects.push(Event::Violated, "", detail);
        }
        for &(rank, _, time) in ranks() {
            self.pace.set_time(rank, time);
        }
        self.admit(now);
        self.measure(now);
        self.pace.step_time()
    }

    fn admit(&mut self, now: Instant) {
        let count = self.batch.admit(self.config.max_batch);
        let start = self.batch.running.len() - count;
        for job in &mut self.batch.running[start..] {
            let prefixes = wire::prefixes(&job.generate.prompt);
            let missed = prefixes.len() - self.cache.admit(&prefixes, now);
            job.prefill = u32::try_from(missed.div_ceil(PREFILL_BLOCKS)).unwrap_or(u32::MAX);
            let detail = &*job.generate.model;
            self.effects.push(Event::Started, &job.generate.id, detail);
        }
    }

    /// Ends the step: each request of the batch gets a token or a part of its prefill.
    pub(crate) fn finish(&mut self, now: Instant) {
        let step = self.ranks.next();
        self.ranks.finish();
        let mut tokens = 0;
        let mut left = Vec::new();
        for mut job in std::mem::take(&mut self.batch.running) {
            tokens += 1;
            match advance(&mut job, &self.fault) {
                Progress::Goes => left.push(job),
                Progress::Ended(event) => self.effects.push(event, &job.generate.id, ""),
            }
        }
        self.batch.running = left;
        self.experts.count(tokens, step);
        self.measure(now);
    }

    /// Works out the time of each rank in a step.
    fn pace(&mut self) {
        if let Some(map) = self.ranks.map() {
            let work = self.experts.work(map);
            self.pace.set(&work, &self.fault);
        }
    }

    fn measure(&mut self, now: Instant) {
        self.pace.measure(&self.batch, now);
    }

    /// Returns the load, late.
    pub(crate) fn load(&self, now: Instant) -> Option<wire::Load> {
        self.pace.load(now)
    }

    /// Returns the cache events after a sequence number, late.
    pub(crate) fn cache_events(&self, after: u64, now: Instant) -> wire::CacheEvents {
        self.cache.events(after, now)
    }

    /// Returns the counts of experts, none if no step has passed since `after`.
    pub(crate) fn expert_counts(&self, after: u64) -> ExpertCounts {
        let step = self.ranks.next() - 1;
        let mut counts = self.experts.told(step, self.pace.times());
        if step == after {
            counts.layers.clear();
        }
        counts
    }
}
