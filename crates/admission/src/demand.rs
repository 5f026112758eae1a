//! Demand of the gateways, by which capacity is divided among them.

use std::time::Duration;

use auburnline_core::time::Monotonic;
use serde::Deserialize;
use serde::Serialize;

use crate::standing::Standing;
use crate::standing::Urgency;

/// Identifies a service to all gateways: a hash of its name.
pub type ServiceTag = u64;

/// Demand for one service at one gateway, as it tells others with its heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Service that the requests are for.
    pub service: ServiceTag,
    /// Requests that arrive per second, those that return included.
    pub rate: f32,
    /// Requests that wait for capacity.
    pub waiting: u32,
}

/// Time constant of the rate of arrivals: callers return after a refusal within about a second, and
/// a gateway with few callers needs some seconds for a mean.
pub const RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Time from the start within which the rate is taken from too few arrivals to be told.
const MIN_MEASURED: Duration = Duration::from_secs(1);
/// Urgencies that are told apart; those beyond count as the last of them.
pub const MAX_URGENCIES: usize = 4;

/// Returns the index of a standing among the urgencies that are told apart.
#[must_use]
pub fn index(urgency: Urgency) -> usize {
    usize::from(urgency).min(MAX_URGENCIES - 1)
}

/// Rate of arrivals of one service at one gateway.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    rates: [f64; MAX_URGENCIES],
    /// Start of the measurement, and the last arrival.
    seen: Option<(Monotonic, Monotonic)>,
}

impl Meter {
    /// Starts the measurement, unless it runs: a gateway without arrivals has a demand of zero.
    pub fn start(&mut self, now: Monotonic) {
        self.seen.get_or_insert((now, now));
    }

    /// Records that a request arrived.
    pub fn record(&mut self, standing: Standing, now: Monotonic) {
        let (first, last) = self.seen.unwrap_or((now, now));
        let kept = decay(now.saturating_sub(last));
        for rate in &mut self.rates {
            *rate *= kept;
        }
        self.rates[index(standing.urgency)] += 1.0 / RATE_TIME_CONSTANT.as_secs_f64();
        self.seen = Some((first, now));
    }

    /// Returns the arrivals per second; `None` while it was measured for too short a time.
    #[must_use]
    pub fn rate(&self, now: Monotonic) -> Option<f64> {
        let (first, last) = self.seen?;
        let measured = now.saturating_sub(first);
        let sum: f64 = self.rates.iter().sum();
        let seen = 1.0 - decay(measured);
        (measured >= MIN_MEASURED).then(|| sum * decay(now.saturating_sub(last)) / seen)
    }

    /// Returns the part of the arrivals that are of each urgency, from 0 to 1.
    #[must_use]
    pub fn parts(&self) -> [f64; MAX_URGENCIES] {
        let sum: f64 = self.rates.iter().sum();
        self.rates
            .map(|rate| if sum > 0.0 { rate / sum } else { 0.0 })
    }
}

/// Returns what is left of a rate after this time.
fn decay(time: Duration) -> f64 {
    (-time.as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64()).exp()
}
