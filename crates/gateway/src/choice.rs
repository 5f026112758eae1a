//! The choice among upstreams that may take a request.
//!
//! It counts what this gateway and its neighbours have in flight at each upstream, and what its last answers showed:
//! failures that are fresh, and times longer than its peers'.

use std::sync::Arc;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_lockstep::sight::slowness;
use auburnline_quota::Rate;
use rand::Rng;
use rand::seq::IteratorRandom as _;

use crate::member::Member;
use crate::upstream::Pool;
use crate::upstream::Upstream;

/// Requests in flight that one fresh failure weighs as much as, in parts of an upstream's places.
const FAILURE_WEIGHT: f64 = 0.75;
/// Advantage of the own failure domain, in requests: less than one, so that it only breaks ties.
const NEAR_ADVANTAGE: f64 = 0.25;

/// Ranks drawn by chance among which the least loaded is chosen: more than one, so that loads count, and few of all, so
/// that gateways differ.
const DRAWN: usize = 3;

/// How upstreams of a service are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preference {
    /// Ranks in lock-step: all are as slow as the slowest, so only what is in flight counts.
    EvenLoad,
    /// Upstreams by themselves: the time to the answer counts.
    ShortestTime,
}

/// Why an upstream was chosen, for the log.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Upstream.
    pub upstream: Arc<Upstream>,
    /// Its score; the least wins.
    pub score: f64,
    /// Requests in flight there from all gateways.
    pub in_flight: u32,
    /// Age of its group's word that tells them; none if this gateway's and its neighbours' counts do.
    pub told: Option<Duration>,
    /// Upstreams that could have been chosen.
    pub candidates: usize,
    /// Rate limit that the upstream named.
    pub limit: Option<Rate>,
}

impl Pool {
    /// Chooses an upstream of `service` among those that `may_take` the request.
    pub fn choose(
        &self,
        service: &str,
        preference: Preference,
        near: &str,
        may_take: impl Fn(&Upstream) -> bool,
        now: Monotonic,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let candidates: Vec<&Member> = self
            .of(service)
            .filter(|member| may_take(&member.upstream))
            .collect();
        let usual = least_mean(&candidates);
        let candidates = match preference {
            Preference::EvenLoad => some(candidates, rng),
            Preference::ShortestTime => candidates,
        };
        let scored = candidates.iter().map(|member| {
            let mut score = self.score(member, preference, usual, now);
            if *member.upstream.failure_domain == *near {
                score -= NEAR_ADVANTAGE;
            }
            (score + rng.random::<f64>() * NEAR_ADVANTAGE, *member)
        });
        let (score, member) = scored.min_by(|one, other| one.0.total_cmp(&other.0))?;
        let usage = self.usage(member, now);
        Some(Choice {
            upstream: Arc::clone(&member.upstream),
            score,
            in_flight: usage.requests,
            told: usage.told.map(|load| load.age),
            candidates: candidates.len(),
            limit: None,
        })
    }

    /// Returns the score in requests: those before a new one, and what failures and slowness weigh.
    fn score(
        &self,
        member: &Member,
        preference: Preference,
        usual: Option<f64>,
        now: Monotonic,
    ) -> f64 {
        let slots = f64::from(member.upstream.slots.max(1));
        let usage = self.usage(member, now);
        let load = f64::from(usage.requests);
        let failures = member.failures(now) * FAILURE_WEIGHT * slots;
        match preference {
            Preference::EvenLoad => {
                // Its own part of a pass is longer even before it runs anything, and all others wait for it.
                let slowness = usage.told.map_or(1.0, |load| slowness(load.pace));
                load * slowness + (slowness - 1.0) * slots + failures
            }
            Preference::ShortestTime => (load + 1.0) * member.slowness(usual, now) + failures,
        }
    }
}

/// Returns a few of the candidates, drawn by chance.
///
/// All gateways see the same loads some hundred milliseconds late; if each took the least loaded rank of all, that
/// one would be flooded.
fn some<'a>(candidates: Vec<&'a Member>, rng: &mut impl Rng) -> Vec<&'a Member> {
    candidates.into_iter().choose_multiple(rng, DRAWN)
}

fn least_mean(candidates: &[&Member]) -> Option<f64> {
    let means = candidates.iter().filter_map(|member| member.mean_seconds);
    means.min_by(f64::total_cmp)
}
