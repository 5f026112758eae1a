//! Messages between peers that carry a configuration.
//!
//! A process sends the digests of its sections and receives what it lacks: the manifest and only
//! the sections that changed, each as a delta against the requester's version if the responder
//! still has that version. The result is checked against the manifest's digests, so a wrong delta
//! can't be accepted.

use std::collections::BTreeMap;

use auburnline_core::hash::Digest;
use auburnline_core::hash::digest;
use auburnline_core::published::Manifest;
use auburnline_core::published::Section;

use crate::checked::Checked;
use crate::head::Head;
use crate::source::Source;
use crate::source::Value;

/// Number that matches an answer to its request; later requests have larger numbers.
pub type Ticket = u64;

/// Estimated framing overhead of a message in bytes, counted with its content.
const FRAME_BYTES: usize = 64;

/// Request to a peer for a newer configuration than the requester has in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Number that the answer returns.
    pub ticket: Ticket,
    /// Head that the requester has in force, if any.
    pub head: Option<Head>,
    /// Digests of the requester's sections, which can be bases of deltas.
    pub have: BTreeMap<Section, Digest>,
    /// Whether to send all sections whole, after deltas failed.
    pub whole: bool,
}

/// Answer to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parcel {
    /// Number of the request.
    pub ticket: Ticket,
    /// Head that the responder has in force, if any.
    pub head: Option<Head>,
    /// What the requester lacks.
    pub content: Content,
}

/// Content of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// The responder has no newer configuration.
    Nothing,
    /// The responder has used up its allowance of bytes; the requester should ask another peer.
    Busy,
    /// A newer configuration.
    Newer {
        /// Bytes of the manifest, always whole.
        manifest: Value,
        /// Sections that the requester lacks.
        pieces: BTreeMap<Section, Piece>,
    },
}

/// One section in an answer, whole or as a delta.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// All bytes of the section.
    Whole(Value),
    /// Difference from the requester's version of the section.
    Delta {
        /// Digest of the version that the delta applies to.
        base: Digest,
        /// Number of bytes kept from the start of the base.
        prefix: usize,
        /// Number of bytes kept from the end of the base.
        suffix: usize,
        /// New bytes between prefix and suffix.
        middle: Value,
    },
}

impl Piece {
    /// Returns the delta from `old`, whose digest is `base`, to `new`.
    #[must_use]
    pub fn delta(base: &Digest, old: &[u8], new: &[u8]) -> Self {
        let prefix = old.iter().zip(new).take_while(|(a, b)| a == b).count();
        let (old_rest, new_rest) = (&old[prefix..], &new[prefix..]);
        let ends = old_rest.iter().rev().zip(new_rest.iter().rev());
        let suffix = ends.take_while(|(a, b)| a == b).count();
        Piece::Delta {
            base: base.clone(),
            prefix,
            suffix,
            middle: new_rest[..new_rest.len() - suffix].into(),
        }
    }

    /// Returns the section's bytes; `None` if `old` isn't the base of the delta or is too short.
    #[must_use]
    pub fn unpack(&self, old: Option<(&Digest, &Value)>) -> Option<Value> {
        let (base, prefix, suffix, middle) = match self {
            Piece::Whole(bytes) => return Some(bytes.clone()),
            Piece::Delta {
                base,
                prefix,
                suffix,
                middle,
            } => (base, *prefix, *suffix, middle),
        };
        let (_, old) = old.filter(|(digest, _)| *digest == base)?;
        let kept = prefix.checked_add(suffix)?;
        if kept > old.len() {
            return None;
        }
        let mut bytes = Vec::with_capacity(kept + middle.len());
        bytes.extend_from_slice(&old[..prefix]);
        bytes.extend_from_slice(middle);
        bytes.extend_from_slice(&old[old.len() - suffix..]);
        Some(bytes.into())
    }

    /// Returns the size on the wire in bytes, without framing.
    #[must_use]
    pub fn len(&self) -> usize {
        match self {
            Piece::Whole(bytes) => bytes.len(),
            Piece::Delta { base, middle, .. } => base.len() + 2 * size_of::<u64>() + middle.len(),
        }
    }

    /// Returns whether the size on the wire is zero, as for an empty whole section.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Ask {
    /// Returns the approximate size on the wire in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        FRAME_BYTES + self.have.values().map(String::len).sum::<usize>()
    }

    /// Returns `false`: every message has framing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Parcel {
    /// Returns the approximate size on the wire in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        let Content::Newer { manifest, pieces } = &self.content else {
            return FRAME_BYTES;
        };
        let pieces: usize = pieces.values().map(Piece::len).sum();
        FRAME_BYTES + manifest.len() + pieces
    }

    /// Returns `false`: every message has framing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The last replaced version of each section, as a base of deltas for peers that still have it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Versions {
    previous: BTreeMap<Section, (Digest, Value)>,
}

impl Versions {
    /// Keeps the sections of `old` that differ in `new`.
    pub(crate) fn advance(&mut self, old: Option<&Checked>, new: &Checked) {
        let Some(old) = old else { return };
        for (&section, digest) in &old.manifest().sections {
            if new.manifest().sections.get(&section) != Some(digest) {
                let bytes = old.source().sections[&section].clone();
                self.previous.insert(section, (digest.clone(), bytes));
            }
        }
    }

    /// Returns the manifest of `checked` and the sections that the requester lacks.
    pub(crate) fn pack(&self, checked: &Checked, ask: &Ask) -> Content {
        let mut pieces = BTreeMap::new();
        for (&section, digest) in &checked.manifest().sections {
            let had = ask.have.get(&section).filter(|_| !ask.whole);
            if had == Some(digest) {
                continue;
            }
            let bytes = &checked.source().sections[&section];
            let base = had.zip(self.previous.get(&section));
            let piece = match base {
                Some((had, (base, old))) if had == base => Piece::delta(base, old, bytes),
                _ => Piece::Whole(bytes.clone()),
            };
            pieces.insert(section, piece);
        }
        Content::Newer {
            manifest: checked.source().manifest.clone(),
            pieces,
        }
    }
}

/// Assembles a newer configuration from received pieces and the sections in force.
///
/// A piece that can't be unpacked leaves its section missing, which the check refuses.
pub(crate) fn unpack(
    manifest: &Value,
    pieces: &BTreeMap<Section, Piece>,
    in_force: Option<&Checked>,
) -> Source {
    let mut source = in_force.map_or_else(Source::default, |checked| {
        unchanged_sections(manifest, checked)
    });
    source.manifest = manifest.clone();
    for (&section, piece) in pieces {
        let old = in_force.and_then(|checked| {
            let digest = checked.manifest().sections.get(&section)?;
            let bytes = checked.source().sections.get(&section)?;
            Some((digest, bytes))
        });
        if let Some(bytes) = piece.unpack(old) {
            source.sections.insert(section, bytes);
        }
    }
    source
}

/// Returns the sections in force whose digests `manifest` also names, without the manifest.
pub(crate) fn unchanged_sections(manifest: &[u8], checked: &Checked) -> Source {
    let mut source = Source::default();
    let Ok(manifest) = serde_json::from_slice::<Manifest>(manifest) else {
        return source;
    };
    for (section, digest) in &manifest.sections {
        if checked.manifest().sections.get(section) == Some(digest) {
            let bytes = checked.source().sections[section].clone();
            source.sections.insert(*section, bytes);
        }
    }
    source
}

/// Returns whether `bytes` have the digest that `manifest` names for `section`.
pub(crate) fn matches_manifest(manifest: &Manifest, section: Section, bytes: &[u8]) -> bool {
    manifest.sections.get(&section) == Some(&digest(bytes))
}
