//! Time of each rank in a step, and the load that follows from it.

use std::time::Duration;

use auburnline_core::id::Rank;
use auburnline_engine::wire::Load;
use tokio::time::Instant;

use crate::engine::batch::Batch;
use crate::engine::batch::Job;
use crate::engine::experts::slow_factor;
use crate::engine::fault::Fault;
use crate::engine::lag::Lagging;

/// Time of each rank of the group, and the load that is told.
#[derive(Debug)]
pub(crate) struct Pace {
    even: Duration,
    times: Vec<Duration>,
    load: Lagging<Load>,
}

impl Pace {
    pub(crate) fn new(even: Duration, lag: Duration, now: Instant) -> Self {
        let first = Load {
            queued: 0,
            running: 0,
            backlog_tokens: 0,
            step_time_us: micros(even),
            skew: 1.0,
            age_ms: 0,
        };
        Self {
            even,
            times: Vec::new(),
            load: Lagging::new(lag, first, now),
        }
    }

    /// Sets the times of all ranks from their work.
    pub(crate) fn set(&mut self, work: &[f64], fault: &Fault) {
        let ranks = (0..).zip(work);
        self.times = ranks
            .map(|(rank, work)| work * slow_factor(fault, rank))
            .map(|factor| self.even.mul_f64(factor))
            .collect();
    }

    /// Sets the time of one rank, in microseconds, as its own instance tells it.
    pub(crate) fn set_time(&mut self, rank: Rank, time: u64) {
        if let Some(place) = self.times.get_mut(usize::from(rank)) {
            *place = Duration::from_micros(time);
        }
    }

    /// Returns the time of one rank, in microseconds.
    pub(crate) fn time(&self, rank: Rank) -> u64 {
        let time = self.times.get(usize::from(rank)).copied();
        micros(time.unwrap_or_default())
    }

    /// Returns the times of all ranks, in microseconds.
    pub(crate) fn times(&self) -> Vec<u64> {
        self.times.iter().copied().map(micros).collect()
    }

    /// Returns the time of a step: that of its slowest rank.
    pub(crate) fn step_time(&self) -> Duration {
        self.times.iter().max().copied().unwrap_or_default()
    }

    /// Takes a sample of the load.
    pub(crate) fn measure(&mut self, batch: &Batch, now: Instant) {
        let count = |jobs: &Vec<Job>| u32::try_from(jobs.len()).unwrap_or(u32::MAX);
        let sum: Duration = self.times.iter().sum();
        let ranks = u32::try_from(self.times.len()).unwrap_or(u32::MAX);
        let mean = sum / ranks.max(1);
        let load = Load {
            queued: count(&batch.waiting),
            running: count(&batch.running),
            backlog_tokens: batch.backlog(),
            step_time_us: micros(self.step_time()),
            skew: self.step_time().as_secs_f32() / mean.as_secs_f32().max(f32::MIN_POSITIVE),
            age_ms: 0,
        };
        self.load.push(load, now);
    }

    /// Returns the load, late.
    pub(crate) fn load(&self, now: Instant) -> Option<Load> {
        let (load, age) = self.load.told(now)?;
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        Some(Load { age_ms, ..load })
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
