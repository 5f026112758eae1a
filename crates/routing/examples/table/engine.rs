//! Model of a group: continuous batching with chunked prefill and a bounded prefix cache.

use std::collections::VecDeque;
use std::time::Duration;

use auburnline_core::hash::stable;
use auburnline_core::load::Load;
use auburnline_core::request::Priority;
use auburnline_routing::BLOCK_TOKENS;

use crate::cache::Cache;
use crate::trace::MAX_TOKENS;
use crate::trace::Micros;

/// Maximum number of running requests.
const MAX_BATCH: usize = 256;
/// Maximum number of tokens prefilled in a step.
const CHUNK_TOKENS: u64 = 1024;
/// Time of an empty step.
const STEP_BASE: Micros = 10_000;
/// Time that each running request adds to a step.
const STEP_REQUEST: Micros = 40;
/// Time that each prefilled token adds to a step.
const STEP_TOKEN: Micros = 6;
/// Steps over which the reported step time is smoothed.
const MEAN_STEPS: u64 = 32;
/// Capacity of the prefix cache in blocks.
const CACHE_BLOCKS: usize = 4_000;

/// A request at a group.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) number: usize,
    pub(crate) chain: Vec<u64>,
    pub(crate) priority: Priority,
    pub(crate) prefill: u64,
    pub(crate) left: u64,
    pub(crate) generated: u64,
}

/// Requests that made progress in a step.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// Requests whose first token was generated.
    pub(crate) first: Vec<usize>,
    /// Finished requests.
    pub(crate) done: Vec<usize>,
    /// Number of requests with a further token.
    pub(crate) decoded: u64,
}

/// A modelled group.
#[derive(Debug)]
pub(crate) struct Engine {
    cache: Cache,
    waiting: VecDeque<Job>,
    running: Vec<Job>,
    /// Tokens that the current step prefills, by index in `running`.
    plan: Vec<u64>,
    pub(crate) step_percent: u64,
    pub(crate) stepping: bool,
    pub(crate) failed: bool,
    pub(crate) step_time: Micros,
    /// Exponential moving average of step times.
    mean_step: Micros,
    pub(crate) prompt_tokens: u64,
    pub(crate) hit_tokens: u64,
}

/// Returns the chained hashes of `blocks`.
pub(crate) fn chain(blocks: &[u64]) -> Vec<u64> {
    let next = |last: &mut u64, block: &u64| {
        *last = stable(*last, &block.to_le_bytes());
        Some(*last)
    };
    blocks.iter().scan(7, next).collect()
}

impl Engine {
    pub(crate) fn new() -> Self {
        Engine {
            cache: Cache::new(CACHE_BLOCKS),
            waiting: VecDeque::new(),
            running: Vec::new(),
            plan: Vec::new(),
            step_percent: 100,
            stepping: false,
            failed: false,
            step_time: STEP_BASE,
            mean_step: STEP_BASE,
            prompt_tokens: 0,
            hit_tokens: 0,
        }
    }

    /// Queues a request behind those of the same or a higher priority.
    pub(crate) fn push(&mut self, job: Job) {
        let place = self
            .waiting
            .partition_point(|other| other.priority >= job.priority);
        self.waiting.insert(place, job);
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Fails the group: drops all requests and returns their numbers.
    pub(crate) fn fail(&mut self) -> Vec<usize> {
        self.failed = true;
        self.plan.clear();
        let waiting = self.waiting.drain(..).map(|job| job.number);
        let running = self.running.drain(..).map(|job| job.number);
        waiting.chain(running).collect()
    }

    /// Starts a step and returns its duration; `counted` adds its prompts to the hit rate.
    pub(crate) fn begin(&mut self, counted: bool) -> Micros {
        self.admit(counted);
        let mut budget = CHUNK_TOKENS;
        self.plan.clear();
        for job in &self.running {
            let tokens = job.prefill.min(budget);
            budget -= tokens;
            self.plan.push(tokens);
        }
        let requests = self.running.len() as u64;
        let time = STEP_BASE + STEP_REQUEST * requests + STEP_TOKEN * (CHUNK_TOKENS - budget);
        self.step_time = time * self.step_percent / 100;
        self.mean_step = (self.mean_step * (MEAN_STEPS - 1) + self.step_time) / MEAN_STEPS;
        self.stepping = true;
        self.step_time
    }

    fn admit(&mut self, counted: bool) {
        while self.running.len() < MAX_BATCH {
            let Some(mut job) = self.waiting.pop_front() else {
                break;
            };
            let hit = self.cache.hit(&job.chain) as u64 * BLOCK_TOKENS;
            if counted {
                self.prompt_tokens += job.prefill;
                self.hit_tokens += hit;
            }
            // The last prompt token is always computed.
            job.prefill = job.prefill.saturating_sub(hit).max(1);
            self.running.push(job);
        }
    }

    /// Finishes the current step.
    pub(crate) fn end(&mut self) -> Outcome {
        self.stepping = false;
        let mut outcome = Outcome::default();
        for (job, &tokens) in self.running.iter_mut().zip(&self.plan) {
            if job.prefill > 0 {
                job.prefill -= tokens;
                if job.prefill > 0 {
                    continue;
                }
                outcome.first.push(job.number);
                self.cache.store(&job.chain);
            } else {
                outcome.decoded += 1;
            }
            job.left -= 1;
            job.generated += 1;
            if job.left == 0 {
                outcome.done.push(job.number);
            }
        }
        self.running.retain(|job| job.left > 0);
        outcome
    }

    /// Returns the queued tokens as the group can tell them: the length of answers is not known.
    pub(crate) fn backlog(&self) -> u64 {
        let all = self.waiting.iter().chain(&self.running);
        all.map(|job| job.prefill + MAX_TOKENS - job.generated)
            .sum()
    }

    pub(crate) fn load(&self) -> Load {
        Load {
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            backlog_tokens: self.backlog(),
            step_time: Duration::from_micros(self.mean_step),
            skew: if self.step_percent > 100 { 2.0 } else { 1.05 },
        }
    }
}
