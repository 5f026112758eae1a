//! Scores the upstreams that may take a request and chooses one.
//!
//! A score counts what this gateway and its neighbours have in flight at an upstream, and what its
//! latest answers showed: recent failures, and response times longer than those of its peers.

use std::sync::Arc;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_lockstep::rank::slowdown;
use auburnline_quota::Rate;
use rand::Rng;
use rand::seq::IteratorRandom as _;

use crate::member::Member;
use crate::upstream::Pool;
use crate::upstream::Upstream;

/// Score of one fresh failure, as a fraction of an upstream's slots.
const FAILURE_WEIGHT: f64 = 0.75;
/// Score advantage of an upstream in the gateway's own failure domain, in requests: less than one,
/// so that it only breaks ties.
const LOCAL_ADVANTAGE: f64 = 0.25;

/// Ranks sampled at random, of which the least loaded is chosen: more than one, so that load
/// counts, and few of all, so that gateways differ.
const SAMPLE_SIZE: usize = 3;

/// How upstreams of a service are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preference {
    /// Ranks in lock-step: all are as slow as the slowest one, so only requests in flight count.
    EvenLoad,
    /// Independent upstreams: the response time counts.
    ShortestTime,
}

/// A chosen upstream and what decided it, for the log.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Upstream that the request goes to.
    pub upstream: Arc<Upstream>,
    /// Score in requests; the lowest wins.
    pub score: f64,
    /// Requests in flight there from all gateways, without this one.
    pub in_flight: u32,
    /// Age of the leader's report that `in_flight` comes from; none if it is the sum of this
    /// gateway's and its neighbours' counts.
    pub report_age: Option<Duration>,
    /// Number of upstreams that were compared.
    pub candidates: usize,
    /// Whether its entry is missing from the published list, as the store may lack it.
    pub is_missing: bool,
    /// Rate limit that the upstream named, in requests per second from all gateways together.
    pub limit: Option<Rate>,
}

impl Pool {
    /// Chooses an upstream of `service` among those that `may_take` the request, with an advantage
    /// for the failure domain `local_domain`.
    pub fn choose(
        &self,
        service: &str,
        preference: Preference,
        local_domain: &str,
        may_take: impl Fn(&Upstream) -> bool,
        now: Monotonic,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let candidates: Vec<&Member> = self
            .ready_members(service)
            .filter(|member| may_take(&member.upstream))
            .collect();
        let shortest = shortest_mean(&candidates);
        let candidates = match preference {
            Preference::EvenLoad => sample(candidates, rng),
            Preference::ShortestTime => candidates,
        };
        let scored = candidates.iter().map(|member| {
            let mut score = self.score(member, preference, shortest, now);
            if *member.upstream.failure_domain == *local_domain {
                score -= LOCAL_ADVANTAGE;
            }
            (score + rng.random::<f64>() * LOCAL_ADVANTAGE, *member)
        });
        let (score, member) = scored.min_by(|one, other| one.0.total_cmp(&other.0))?;
        let usage = self.usage(member, now);
        Some(Choice {
            upstream: Arc::clone(&member.upstream),
            score,
            in_flight: usage.requests,
            report_age: usage.reported.map(|load| load.age),
            candidates: candidates.len(),
            is_missing: member.missing_as_of.is_some(),
            limit: None,
        })
    }

    /// Returns the score in requests: those ahead of a new one, and the weight of failures and
    /// slowness.
    fn score(
        &self,
        member: &Member,
        preference: Preference,
        shortest: Option<f64>,
        now: Monotonic,
    ) -> f64 {
        let slots = f64::from(member.upstream.slots.max(1));
        let usage = self.usage(member, now);
        let load = f64::from(usage.requests);
        let failures = member.failures(now) * FAILURE_WEIGHT * slots;
        match preference {
            Preference::EvenLoad => {
                // A slow rank's part of a pass is longer even before it runs anything, and all
                // other ranks wait for it.
                let slowness = usage.reported.map_or(1.0, |load| slowdown(load.pace));
                load * slowness + (slowness - 1.0) * slots + failures
            }
            Preference::ShortestTime => (load + 1.0) * member.slowness(shortest, now) + failures,
        }
    }
}

/// Returns a few of the candidates, sampled at random.
///
/// All gateways see the same loads a few hundred milliseconds late; if each took the least loaded
/// of all ranks, that rank would be flooded.
fn sample<'a>(candidates: Vec<&'a Member>, rng: &mut impl Rng) -> Vec<&'a Member> {
    candidates.into_iter().choose_multiple(rng, SAMPLE_SIZE)
}

fn shortest_mean(candidates: &[&Member]) -> Option<f64> {
    let means = candidates.iter().filter_map(|member| member.mean_seconds);
    means.min_by(f64::total_cmp)
}
