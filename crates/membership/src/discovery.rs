//! Selection of the entries that a caller should use.
//!
//! A caller gets several addresses, those of its own failure domain first, with a short lifetime.
//! A leaving entry is never offered. Callers are distributed by weighted rendezvous hashing of a
//! seed of their own: a caller that asks again gets much the same answer and two callers get
//! different ones, without coordination between the entries.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::hash::rendezvous;
use auburnline_core::hash::stable;
use auburnline_core::id::FailureDomainId;
use auburnline_core::id::InstanceId;

/// Maximum number of addresses in one answer.
pub const MAX_ADDRESSES: usize = 4;
/// Maximum number of addresses in the caller's failure domain that go first, so that others remain
/// if it fails; more of them only fill free places.
pub const MAX_NEAR: usize = 2;
/// Mean lifetime of an answer.
pub const LIFETIME: Duration = Duration::from_secs(5);

/// Number of steps of the lifetime jitter.
const JITTER_STEPS: u64 = 1000;

/// An entry that could be offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the entry, which its rendezvous score depends on.
    pub instance: InstanceId,
    /// Address at which callers reach it.
    pub address: SocketAddr,
    /// Failure domain; entries in the caller's own are preferred.
    pub failure_domain: FailureDomainId,
    /// Share of callers relative to other entries; zero excludes it, above [`MAX_DRAWS`] is capped.
    pub weight: u32,
    /// Whether it is known to be up: a session to it is up, or it is this process.
    pub is_up: bool,
    /// Whether it is considered alive, which does not need a session.
    pub is_live: bool,
    /// Whether any source marks it as leaving.
    pub is_leaving: bool,
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Entries to use, best first; empty if none is known.
    pub entries: Vec<Candidate>,
    /// Time after which the caller should ask again.
    pub lifetime: Duration,
}

/// Sort key of a candidate; the smallest is preferred.
type Rank = (bool, Reverse<u64>);

/// Returns the entries that a caller in `domain` should use; `seed` identifies the caller.
#[must_use]
pub fn offer(candidates: &[Candidate], domain: Option<&str>, seed: u64) -> Offer {
    let usable = candidates.iter().filter(|candidate| is_usable(candidate));
    let mut ranked: Vec<&Candidate> = usable.collect();
    ranked.sort_by_cached_key(|candidate| (rank(candidate, seed), candidate.instance.clone()));
    let (near, far): (Vec<&Candidate>, Vec<&Candidate>) = ranked
        .into_iter()
        .partition(|candidate| domain == Some(&*candidate.failure_domain));
    let mut entries: Vec<Candidate> = near.iter().take(MAX_NEAR).copied().cloned().collect();
    spread(&far, &mut entries);
    for candidate in near.into_iter().skip(MAX_NEAR).chain(far) {
        let is_new = !entries.contains(candidate);
        if is_new && entries.len() < MAX_ADDRESSES {
            entries.push(candidate.clone());
        }
    }
    invariant_none_leaves(&entries);
    Offer {
        entries,
        lifetime: lifetime(seed),
    }
}

/// Adds the best candidate of each failure domain that is not in `entries` yet.
fn spread(candidates: &[&Candidate], entries: &mut Vec<Candidate>) {
    for candidate in candidates {
        let domain = &candidate.failure_domain;
        let is_seen = entries.iter().any(|entry| entry.failure_domain == *domain);
        if !is_seen && entries.len() < MAX_ADDRESSES {
            entries.push((*candidate).clone());
        }
    }
}

fn is_usable(candidate: &Candidate) -> bool {
    candidate.is_live && !candidate.is_leaving && candidate.weight > 0
}

/// Returns the sort key: entries that are up go first, then the higher score.
fn rank(candidate: &Candidate, seed: u64) -> Rank {
    let score = score(seed, &candidate.instance, candidate.weight);
    (!candidate.is_up, Reverse(score))
}

/// Returns the weighted rendezvous score: the highest of `weight` hashes, at most [`MAX_DRAWS`].
///
/// The chance that a candidate has the highest score is proportional to its weight. The score uses
/// integers only, so that the order is the same on every processor.
fn score(seed: u64, instance: &str, weight: u32) -> u64 {
    let draws =
        (0..weight.min(MAX_DRAWS)).map(|draw| rendezvous(&format!("{seed}/{draw}"), instance));
    draws.max().unwrap_or(0)
}

/// Maximum number of hashes per candidate; a higher weight counts as this.
pub const MAX_DRAWS: u32 = 16;

/// Returns the lifetime, up to a fifth shorter or longer than [`LIFETIME`] depending on `seed`.
fn lifetime(seed: u64) -> Duration {
    let step = stable(seed, b"lifetime") % JITTER_STEPS;
    let step = u32::try_from(step).unwrap_or(0);
    let spread = LIFETIME * 2 / 5;
    LIFETIME * 4 / 5 + spread * step / u32::try_from(JITTER_STEPS).unwrap_or(1)
}

/// Asserts that no leaving entry is offered.
fn invariant_none_leaves(entries: &[Candidate]) {
    assert!(
        entries.iter().all(|entry| !entry.is_leaving),
        "a leaving entry is offered"
    );
}
