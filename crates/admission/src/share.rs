//! A gateway's share of what the whole fleet may use, by its part of the demand.
//!
//! With equal shares, the part of a gateway that has few callers is unused while one with many
//! refuses them. A gateway's share follows its own demand relative to the mean of the fleet, which
//! it estimates from the reports that it heard of late, so that all shares together stay the whole
//! in the mean. No gateway needs to hear all others.
//!
//! - Most heartbeats come from the gateway's own failure domain, so the mean is taken of that and of
//!   the others apart, each counted by its live gateways.
//! - Others are heard late. Own demand is compared as of the times at which theirs was heard, or
//!   every gateway would take too much while demand grows everywhere.
//! - Where a gateway gets few arrivals in the time that rates are measured over, its rate says little,
//!   and more of the whole is divided evenly.
//! - The mean of a sample varies, and its inverse is too large in the mean; the estimate is raised
//!   by as much.

use std::collections::VecDeque;
use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::demand::RATE_TIME_CONSTANT;

/// Least fraction of what is shared that is divided evenly, so that a gateway whose callers come back
/// soon has something left for them.
const MIN_EVEN_FRACTION: f64 = 0.1;
/// Age from which a report no longer counts: by then a sender that lives has sent six more.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Reports that are kept, one of each sender: more than arrive within [`MAX_AGE`] in any fleet.
const MAX_SAMPLES: usize = 64;
/// Fewest gateways that must be heard for a mean, or half of the others if the fleet has fewer.
const MIN_SAMPLES: usize = 12;
/// Own reports that are kept: those of [`MAX_AGE`], at a heartbeat each 0.3 s, and one before.
const MAX_OWN: usize = 8;

/// Identifies the sender of a report.
pub type Sender = u64;

/// Live gateways, this one included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Those in the failure domain of this gateway.
    pub near: usize,
    /// Those elsewhere.
    pub far: usize,
}

impl Fleet {
    /// Returns the number of all.
    #[must_use]
    pub const fn size(self) -> usize {
        self.near + self.far
    }
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    sender: Sender,
    is_near: bool,
    demand: f64,
    heard: Monotonic,
}

/// Demand of this gateway and the mean of all, as they were compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grounds {
    /// Demand of this gateway, in requests per second.
    pub own: f64,
    /// Mean demand of a gateway.
    pub mean: f64,
}

impl Grounds {
    /// Returns the share of this gateway relative to an equal one.
    #[must_use]
    pub fn weight(self) -> f64 {
        if self.mean <= 0.0 {
            return 1.0;
        }
        // One arrival in the time that rates are measured over says little of the next one.
        let measured = self.mean * RATE_TIME_CONSTANT.as_secs_f64();
        let even = (1.0 / (1.0 + measured)).max(MIN_EVEN_FRACTION);
        (1.0 - even) * self.own / self.mean + even
    }
}

/// Latest reports of some gateways on their demand for one service.
#[derive(Clone, Debug, Default)]
pub struct Window {
    samples: VecDeque<Sample>,
    own: VecDeque<(Monotonic, f64)>,
}

impl Window {
    /// Records what another gateway told; it replaces what the same one told before.
    pub fn record(&mut self, sender: Sender, is_near: bool, demand: f64, now: Monotonic) {
        if !demand.is_finite() || demand < 0.0 {
            return;
        }
        self.samples
            .retain(|sample| sample.sender != sender && is_fresh(sample.heard, now));
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            sender,
            is_near,
            demand,
            heard: now,
        });
    }

    /// Records what this gateway tells the others.
    pub fn tell(&mut self, demand: f64, now: Monotonic) {
        if self.own.len() >= MAX_OWN {
            self.own.pop_front();
        }
        self.own.push_back((now, demand));
    }

    /// Returns the demand by which this gateway's share is set; `None` if too little was heard of
    /// late.
    #[must_use]
    pub fn grounds(&self, fleet: Fleet, now: Monotonic) -> Option<Grounds> {
        let others = fleet.size().saturating_sub(1);
        let fresh = self.samples.iter();
        let fresh: Vec<&Sample> = fresh.filter(|one| is_fresh(one.heard, now)).collect();
        let newest = self.own.back().filter(|(told, _)| is_fresh(*told, now));
        if others == 0 || fresh.len() < MIN_SAMPLES.min(others.div_ceil(2)) || newest.is_none() {
            return None;
        }
        let then = fresh.iter().map(|sample| self.own_at(sample.heard));
        let own = then.sum::<f64>() / real(fresh.len());
        let near = Mean::of(&fresh, true);
        let far = Mean::of(&fresh, false);
        let (near_count, far_count) = (real(fleet.near.saturating_sub(1)), real(fleet.far));
        let near_value = near.or(far)?;
        let far_value = far.or(near)?;
        let sum = own + near_value.value * near_count + far_value.value * far_count;
        let mean = sum / real(fleet.size());
        let variance = near_value.error(near_count) + far_value.error(far_count);
        let variance = variance / (real(fleet.size()) * real(fleet.size()));
        let excess = if mean > 0.0 { variance / mean } else { 0.0 };
        Some(Grounds {
            own,
            mean: mean + excess,
        })
    }

    /// Returns what this gateway told last before `at`, or first of all.
    fn own_at(&self, at: Monotonic) -> f64 {
        let before = self.own.iter().rev().find(|(told, _)| *told <= at);
        let told = before.or_else(|| self.own.front());
        told.map_or(0.0, |(_, demand)| *demand)
    }
}

/// Mean of the samples of some gateways.
#[derive(Clone, Copy, Debug)]
struct Mean {
    value: f64,
    /// Variance of one sample.
    variance: f64,
    count: f64,
}

impl Mean {
    fn of(samples: &[&Sample], is_near: bool) -> Option<Mean> {
        let some = samples.iter().filter(|sample| sample.is_near == is_near);
        let demands: Vec<f64> = some.map(|sample| sample.demand).collect();
        if demands.is_empty() {
            return None;
        }
        let count = real(demands.len());
        let value = demands.iter().sum::<f64>() / count;
        let squares = demands.iter().map(|demand| (demand - value).powi(2));
        Some(Mean {
            value,
            variance: squares.sum::<f64>() / (count - 1.0).max(1.0),
            count,
        })
    }

    /// Returns the variance of the sum that this mean gives for `all` gateways; none if all were
    /// heard.
    fn error(self, all: f64) -> f64 {
        let unheard = (1.0 - self.count / all.max(1.0)).max(0.0);
        all * all * self.variance / self.count * unheard
    }
}

fn is_fresh(heard: Monotonic, now: Monotonic) -> bool {
    now.saturating_sub(heard) < MAX_AGE
}

#[expect(clippy::cast_precision_loss, reason = "counts of gateways")]
const fn real(count: usize) -> f64 {
    count as f64
}
