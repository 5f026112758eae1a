//! Which parts are held, given the evidence on all of them.
//!
//! Each crash has one cause, but many parts are there when it happens, and some are in every prompt of a route. So the part
//! with the strongest grounds is held first, and the crashes under it no longer count against others.
//!
//! Parts of one prompt that were there together at the same crashes can't be told apart. A request is held if it has all of
//! them, so that requests with some of them show which are sound. Parts of different prompts with the same crashes are all held, since one
//! more crash takes a whole group from all callers. Single requests are let through to tell them apart.
//!
//! Crashes at one moment may have a common cause that is none of the parts, such as a loss of power. They suffice only for a part
//! that was at all of them, and only if no part of other prompts was at the same ones.
//!
//! All gateways with the same evidence reach the same verdict.

use std::cell::LazyCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::prompt::Part;
use crate::quarantine::StartTag;
use crate::quarantine::Timestamp;
use crate::quarantine::evidence::Crash;
use crate::quarantine::evidence::MAX_CRASHES;
use crate::quarantine::evidence::Record;
use crate::quarantine::evidence::UNKNOWN_LIMIT;
use crate::quarantine::evidence::Weight;
use crate::quarantine::evidence::is_one_moment;
use crate::quarantine::part::Prompts;

/// Crashes, with the time of each.
type Times = BTreeMap<StartTag, Timestamp>;

/// Parts that are held together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Hold {
    /// A request is held if its prompt has all of them.
    pub(super) parts: Vec<Part>,
    /// Crashes that they explain.
    pub(super) crashes: BTreeSet<StartTag>,
    /// Whether parts of other prompts explain the same crashes as well.
    pub(super) is_ambiguous: bool,
}

/// What speaks for holding one part.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    weight: Weight,
    /// Crashes that no other part explains, with prompts at each.
    crashes: BTreeMap<StartTag, Prompts>,
    part: Part,
}

impl Candidate {
    /// Returns what speaks for holding a part; `None` if that does not suffice. `all` has the time of each crash.
    fn new(
        part: Part,
        record: &Record,
        explained: &BTreeSet<StartTag>,
        all: &LazyCell<Times, impl FnOnce() -> Times>,
    ) -> Option<Candidate> {
        let is_left = |crash: &&Crash| !explained.contains(&crash.upstream);
        let left = || record.crashes.iter().filter(is_left);
        if left().count() < UNKNOWN_LIMIT {
            return None;
        }
        let times = left().map(|crash| all[&crash.upstream]).collect();
        let weight = record.weight(times)?;
        Some(Candidate {
            weight,
            crashes: left()
                .map(|crash| (crash.upstream, crash.prompts))
                .collect(),
            part,
        })
    }

    fn upstreams(&self) -> BTreeSet<StartTag> {
        self.crashes.keys().copied().collect()
    }

    /// Returns how many prompts are known with the part.
    fn prompts(&self) -> usize {
        self.crashes.values().map(Prompts::len).sum()
    }

    /// Returns whether another part with the same crashes was in one prompt with this one at each of them.
    fn is_beside(&self, other: &Candidate) -> bool {
        let mut pairs = self.crashes.values().zip(other.crashes.values());
        pairs.all(|(own, other)| own.overlaps(other))
    }

    /// Returns whether the part was at all crashes at the moments of its own, or at most if not all of them are kept.
    fn is_at_all(&self, all: &Times) -> bool {
        let own: Vec<Timestamp> = self
            .crashes
            .keys()
            .filter_map(|upstream| all.get(upstream).copied())
            .collect();
        let is_beside = |at: &&Timestamp| own.iter().any(|own| is_one_moment(*own, **at));
        let beside = all.values().filter(is_beside).count();
        own.len() == beside || own.len() == MAX_CRASHES && 2 * own.len() > beside
    }

    /// Returns whether the same crashes speak as strongly for another part.
    fn is_rival(&self, other: &Candidate) -> bool {
        self.weight == other.weight && self.crashes.keys().eq(other.crashes.keys())
    }
}

/// Returns what is held. `is_one_request` tells whether all of these crashes happened under one and the same request, which is
/// then held itself.
pub(super) fn judge(
    records: &BTreeMap<Part, Record>,
    is_one_request: impl Fn(&BTreeSet<StartTag>) -> bool,
) -> Vec<Hold> {
    let all = LazyCell::new(|| crashes(records));
    let mut explained = BTreeSet::new();
    let mut holds: Vec<Hold> = Vec::new();
    loop {
        let candidates = records
            .iter()
            .filter_map(|(part, record)| Candidate::new(*part, record, &explained, &all))
            .filter(|candidate| candidate.weight.is_spread || candidate.is_at_all(&all))
            .filter(|candidate| !is_one_request(&candidate.upstreams()));
        let candidates: Vec<_> = candidates.collect();
        let Some(strongest) = candidates.iter().max() else {
            return holds;
        };
        let rivals = candidates.iter().filter(|other| strongest.is_rival(other));
        let groups = group(rivals.collect());
        let crashes = strongest.upstreams();
        let is_ambiguous = groups.len() > 1;
        // What was everywhere at one moment speaks for a common cause.
        if strongest.weight.is_spread || !is_ambiguous {
            holds.extend(groups.into_iter().map(|parts| Hold {
                parts,
                crashes: crashes.clone(),
                is_ambiguous,
            }));
        }
        explained.extend(crashes);
    }
}

/// Returns the time of each crash: the earliest one at which any request that was there showed it. Others show it later, by a
/// connection that is not read at once or by a probe.
fn crashes(records: &BTreeMap<Part, Record>) -> Times {
    let mut all = BTreeMap::new();
    for crash in records.values().flat_map(|record| &record.crashes) {
        let at = all.entry(crash.upstream).or_insert(crash.at);
        *at = crash.at.min(*at);
    }
    all
}

/// Returns the parts in groups that were in one prompt at each crash. Parts in few prompts are grouped first: those of sound
/// requests, which have more, may have been beside several.
fn group(mut rivals: Vec<&Candidate>) -> Vec<Vec<Part>> {
    rivals.sort_by_key(|rival| (rival.prompts(), rival.part));
    let mut groups = Vec::new();
    while let Some(first) = rivals.first().copied() {
        let beside = rivals.iter().filter(|rival| first.is_beside(rival));
        let mut parts: Vec<Part> = beside.map(|rival| rival.part).collect();
        parts.sort_unstable();
        rivals.retain(|rival| !first.is_beside(rival));
        groups.push(parts);
    }
    groups
}
