//! A measure that is told with a lag.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Shortest time between two samples.
const INTERVAL: Duration = Duration::from_millis(5);

/// Samples of a measure, of which only those older than the lag are told.
#[derive(Debug)]
pub(crate) struct Lagging<T> {
    lag: Duration,
    samples: VecDeque<(Instant, T)>,
}

impl<T: Clone> Lagging<T> {
    pub(crate) fn new(lag: Duration, first: T, now: Instant) -> Self {
        Self {
            lag,
            samples: VecDeque::from([(now, first)]),
        }
    }

    pub(crate) fn push(&mut self, sample: T, now: Instant) {
        if let Some((at, last)) = self.samples.back_mut()
            && now.duration_since(*at) < INTERVAL
        {
            *last = sample;
        } else {
            self.samples.push_back((now, sample));
        }
        while self.samples.len() > 1 && self.samples[1].0 + self.lag <= now {
            self.samples.pop_front();
        }
    }

    /// Returns the newest sample that is as old as the lag, or the oldest, with its age.
    pub(crate) fn told(&self, now: Instant) -> Option<(T, Duration)> {
        let old = self
            .samples
            .iter()
            .rev()
            .find(|(at, _)| *at + self.lag <= now);
        let (at, sample) = old.or_else(|| self.samples.front())?;
        Some((sample.clone(), now.duration_since(*at)))
    }
}
