//! Which parts are held, given the evidence on all of them.
//!
//! Each crash has one cause, but many parts are there when it happens, and some are in every prompt of a route. So the part
//! with the strongest grounds is held first, and the crashes under it no longer count against others.
//!
//! Parts of one prompt that were only there together can't be told apart. A request is held if it has all of them, so that
//! requests with some of them show which are sound. Parts of different prompts with the same crashes are all held, since one
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
use crate::quarantine::part::PromptHash;

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
    /// Crashes that no other part explains, with one prompt at each.
    crashes: BTreeMap<StartTag, PromptHash>,
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
            crashes: left.map(|crash| (crash.upstream, crash.prompt)).collect(),
            part,
        })
    }

    fn upstreams(&self) -> BTreeSet<StartTag> {
        self.crashes.keys().copied().collect()
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
        let mut groups: BTreeMap<_, Vec<Part>> = BTreeMap::new();
        for rival in candidates.iter().filter(|other| strongest.is_rival(other)) {
            groups.entry(&rival.crashes).or_default().push(rival.part);
        }
        let crashes = strongest.upstreams();
        let is_ambiguous = groups.len() > 1;
        holds.extend(groups.into_values().map(|parts| Hold {
            parts,
            crashes: crashes.clone(),
            is_ambiguous,
        }));
        explained.extend(crashes);
    }
}
