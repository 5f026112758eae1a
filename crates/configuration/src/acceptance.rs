//! Acceptance of configurations: the highest valid revision wins, and no process reverts to a lower
//! one.
//!
//! Bytes from the configuration service and from peers are all offered to the one [`Acceptance`] of
//! the process, so processes need no vote. The same revision with another digest doesn't replace
//! the configuration in force. An invalid configuration is refused as a whole and its digest is
//! remembered, so that it isn't fetched again.

use std::collections::VecDeque;
use std::sync::Arc;

use auburnline_core::hash::Digest;
use auburnline_core::hash::digest;

use crate::checked::Checked;
use crate::defect::Refusal;
use crate::head::Comparison;
use crate::head::Head;
use crate::head::digests_match;
use crate::parse;
use crate::source::Source;

/// Maximum number of refused digests, and of conflicting ones, that are remembered.
const MAX_REMEMBERED_DIGESTS: usize = 16;

/// Counters since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Configurations put in force.
    pub accepted: u64,
    /// Invalid configurations refused.
    pub refused: u64,
    /// Heads observed that have the revision in force but another digest.
    pub conflicts: u64,
    /// Heads observed that have an older revision.
    pub stale: u64,
}

/// Result of [`Acceptance::offer`].
#[derive(Clone, Debug)]
pub enum Verdict {
    /// Now in force.
    Accepted(Arc<Checked>),
    /// Already in force.
    Same,
    /// Older than what is in force; ignored.
    Older,
    /// The revision in force with another digest; ignored and counted.
    Conflict,
    /// Invalid; refused as a whole.
    Refused(Refusal),
}

/// The configuration in force, and the digests of those refused or conflicting with it.
#[derive(Debug, Default)]
pub struct Acceptance {
    in_force: Option<Arc<Checked>>,
    head: Option<Head>,
    refused: VecDeque<Digest>,
    conflicting: VecDeque<Digest>,
    counts: Counts,
}

impl Acceptance {
    /// Returns the configuration in force, `None` until the first is accepted.
    #[must_use]
    pub fn in_force(&self) -> Option<&Arc<Checked>> {
        self.in_force.as_ref()
    }

    /// Returns the head of the configuration in force, `None` until the first is accepted.
    #[must_use]
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Returns the counters since the process started.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns whether `head` is newer than what is in force and hasn't been refused.
    #[must_use]
    pub fn wants(&self, head: &Head) -> bool {
        let newer = head.compare(self.head.as_ref()) == Comparison::Newer;
        newer && !contains(&self.refused, &head.digest)
    }

    /// Counts `head` if it is stale or conflicting; returns `true` the first time that a
    /// conflicting digest is observed.
    pub fn observe(&mut self, head: &Head) -> bool {
        match head.compare(self.head.as_ref()) {
            Comparison::Newer | Comparison::Same => false,
            Comparison::Older => {
                self.counts.stale += 1;
                false
            }
            Comparison::Conflict => {
                self.counts.conflicts += 1;
                let first = !contains(&self.conflicting, &head.digest);
                if first {
                    remember(&mut self.conflicting, head.digest.clone());
                }
                first
            }
        }
    }

    /// Puts the offered configuration in force if it is valid and newer.
    pub fn offer(&mut self, source: Source) -> Verdict {
        let found = digest(&source.manifest);
        let head = match parse::manifest(&source.manifest) {
            Ok(manifest) => Head {
                revision: manifest.revision,
                digest: found,
            },
            Err(defect) => {
                let defects = vec![defect];
                return self.refuse(found, Refusal { defects });
            }
        };
        match head.compare(self.head.as_ref()) {
            Comparison::Newer => {}
            Comparison::Same => return Verdict::Same,
            Comparison::Older => return Verdict::Older,
            Comparison::Conflict => return Verdict::Conflict,
        }
        match Checked::parse(source) {
            Ok(checked) => self.install(checked, head),
            Err(refusal) => self.refuse(head.digest, refusal),
        }
    }

    fn install(&mut self, checked: Arc<Checked>, head: Head) -> Verdict {
        self.invariant_never_back(&head);
        self.in_force = Some(Arc::clone(&checked));
        self.head = Some(head);
        self.conflicting.clear();
        self.counts.accepted += 1;
        Verdict::Accepted(checked)
    }

    /// Asserts that a configuration has a higher revision than the one that it replaces.
    fn invariant_never_back(&self, head: &Head) {
        let before = self.head.as_ref().map_or(0, |head| head.revision);
        assert!(
            head.revision > before,
            "revision {} would replace {before}",
            head.revision
        );
    }

    fn refuse(&mut self, digest: Digest, refusal: Refusal) -> Verdict {
        self.counts.refused += 1;
        if refusal.is_final() {
            remember(&mut self.refused, digest);
        }
        Verdict::Refused(refusal)
    }
}

fn contains(digests: &VecDeque<Digest>, digest: &str) -> bool {
    digests.iter().any(|known| digests_match(known, digest))
}

fn remember(digests: &mut VecDeque<Digest>, digest: Digest) {
    if contains(digests, &digest) {
        return;
    }
    if digests.len() == MAX_REMEMBERED_DIGESTS {
        digests.pop_front();
    }
    digests.push_back(digest);
}
