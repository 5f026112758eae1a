//! The interface of routing policies.

use std::time::Duration;

use auburnline_core::id::GroupId;
use auburnline_core::load::Report;
use auburnline_core::time::Monotonic;
use auburnline_routing::Event;
use auburnline_routing::Query;
use rand_chacha::ChaCha8Rng;

use crate::baseline::Affinity;
use crate::baseline::LeastLoaded;
use crate::baseline::Random;
use crate::baseline::RoundRobin;
use crate::ours::Ours;
use crate::ours::Variant;

/// A routing policy with the state of one entry.
pub(crate) trait Policy {
    /// Chooses a group and records the request as sent to it.
    fn choose(
        &mut self,
        number: usize,
        query: &Query,
        now: Monotonic,
        rng: &mut ChaCha8Rng,
    ) -> usize;
    fn report(&mut self, _group: usize, _report: Report, _now: Monotonic) {}
    /// Records that a request has ended.
    fn finished(&mut self, _number: usize) {}
    fn cache_event(&mut self, _group: usize, _event: Event, _age: Duration, _now: Monotonic) {}
    /// Removes a lost group.
    fn lost(&mut self, group: usize);
}

/// Selects a policy of the comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    Random,
    RoundRobin,
    LeastLoaded,
    Affinity,
    Ours(Variant),
}

impl Choice {
    pub(crate) const ALL: [Choice; 5] = [
        Choice::Random,
        Choice::RoundRobin,
        Choice::LeastLoaded,
        Choice::Affinity,
        Choice::Ours(Variant::Full),
    ];
    pub(crate) const ABLATION: [Choice; 4] = [
        Choice::Ours(Variant::Full),
        Choice::Ours(Variant::NoRing),
        Choice::Ours(Variant::NoBound),
        Choice::Ours(Variant::OneDraw),
    ];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Choice::Random => "random",
            Choice::RoundRobin => "round-robin",
            Choice::LeastLoaded => "least-loaded",
            Choice::Affinity => "affinity",
            Choice::Ours(variant) => variant.name(),
        }
    }

    /// Builds the policy for one entry.
    pub(crate) fn build(self, groups: usize, entry: usize) -> Box<dyn Policy> {
        match self {
            Choice::Random => Box::new(Random::new(groups)),
            Choice::RoundRobin => Box::new(RoundRobin::new(groups, entry)),
            Choice::LeastLoaded => Box::new(LeastLoaded::new(groups)),
            Choice::Affinity => Box::new(Affinity::new(groups)),
            Choice::Ours(variant) => Box::new(Ours::new(variant, groups, entry)),
        }
    }
}

pub(crate) fn group_id(number: usize) -> GroupId {
    format!("group-{number}").into()
}
