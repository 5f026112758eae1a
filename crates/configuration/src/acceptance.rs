//! Acceptance of configurations: the highest valid revision wins and is never left.
//!
//! One value decides for a process, so no vote is needed: whatever way the bytes came, they end
//! here. The same revision with another digest keeps what is in force. An invalid configuration is
//! refused whole and its digest is remembered, so that it isn't fetched again.

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

/// Most refused or conflicting digests that are remembered.
const MAX_REMEMBERED_DIGESTS: usize = 16;

/// Counts since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Configurations taken into force.
    pub accepted: u64,
    /// Invalid configurations refused.
    pub refused: u64,
    /// Sightings of another digest under the revision in force.
    pub conflicts: u64,
    /// Sightings of an older revision.
    pub stale: u64,
}

/// What became of offered bytes.
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
    /// Invalid; refused whole.
    Refused(Refusal),
}

/// The configuration in force and what was turned away.
#[derive(Debug, Default)]
pub struct Acceptance {
    in_force: Option<Arc<Checked>>,
    head: Option<Head>,
    refused: VecDeque<Digest>,
    conflicting: VecDeque<Digest>,
    counts: Counts,
}

impl Acceptance {
    /// Returns the configuration in force.
    #[must_use]
    pub fn in_force(&self) -> Option<&Arc<Checked>> {
        self.in_force.as_ref()
    }

    /// Returns the head of the configuration in force.
    #[must_use]
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Returns the counts.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns whether the configuration of `head` is worth fetching.
    #[must_use]
    pub fn wants(&self, head: &Head) -> bool {
        let newer = head.compare(self.head.as_ref()) == Comparison::Newer;
        newer && !contains(&self.refused, &head.digest)
    }

    /// Counts a sighting of `head`; returns `true` for a conflict that is seen first.
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

    /// Takes the offered bytes into force if they are valid and newer.
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

    /// Asserts that what comes into force is newer than all that was.
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
