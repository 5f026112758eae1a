//! Which parts are held, given the evidence on all of them.
//!
//! Each crash has one cause, but many parts are there when it happens, and some are in every prompt of a route. So the part
//! with the strongest grounds is held first, and the crashes under it no longer count against others.
//!
//! Parts of one prompt that were there together at the same crashes can't be told apart. A request is held if it has all of
//! them, so that requests with some of them show which are sound. Parts of different prompts with the same crashes are all held, since one
//! more crash takes a whole group from all callers. Single requests are let through to tell them apart.
//!
//! All gateways with the same evidence reach the same verdict.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::prompt::Part;
use crate::quarantine::StartTag;
use crate::quarantine::evidence::Crash;
use crate::quarantine::evidence::Record;
use crate::quarantine::evidence::Weight;
use crate::quarantine::part::Prompts;

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
    /// Returns what speaks for holding a part; `None` if that does not suffice.
    fn new(part: Part, record: &Record, explained: &BTreeSet<StartTag>) -> Option<Candidate> {
        let is_explained = |crash: &Crash| explained.contains(&crash.upstream);
        let weight = record.weight(is_explained)?;
        let left = record.crashes.iter().filter(|crash| !is_explained(crash));
        Some(Candidate {
            weight,
            crashes: left.map(|crash| (crash.upstream, crash.prompts)).collect(),
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
    let mut explained = BTreeSet::new();
    let mut holds: Vec<Hold> = Vec::new();
    loop {
        let candidates = records
            .iter()
            .filter_map(|(part, record)| Candidate::new(*part, record, &explained))
            .filter(|candidate| !is_one_request(&candidate.upstreams()));
        let candidates: Vec<_> = candidates.collect();
        let Some(strongest) = candidates.iter().max() else {
            return holds;
        };
        let rivals = candidates.iter().filter(|other| strongest.is_rival(other));
        let groups = group(rivals.collect());
        let crashes = strongest.upstreams();
        let is_ambiguous = groups.len() > 1;
        holds.extend(groups.into_iter().map(|parts| Hold {
            parts,
            crashes: crashes.clone(),
            is_ambiguous,
        }));
        explained.extend(crashes);
    }
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
