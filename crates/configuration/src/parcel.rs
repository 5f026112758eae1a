//! Messages between peers that carry a configuration.
//!
//! A process asks with what it has and gets what it lacks: the manifest and only the sections that
//! changed, each as a delta against the asker's where the answerer still has that one. What comes
//! out is checked against the manifest's digests, so a wrong delta can't be accepted.

use std::collections::BTreeMap;

use auburnline_core::hash::Digest;
use auburnline_core::hash::digest;
use auburnline_core::published::Manifest;
use auburnline_core::published::Section;

use crate::checked::Checked;
use crate::head::Head;
use crate::source::Source;
use crate::source::Value;

/// Number that ties an answer to its question; larger is later.
pub type Ticket = u64;

/// Bytes that frame a message, for the account of control bytes.
const FRAME_BYTES: usize = 64;

/// A question to a peer: what do you have that I lack?
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Number to be returned in the answer.
    pub ticket: Ticket,
    /// What the asker has in force.
    pub head: Option<Head>,
    /// Digests of the asker's sections.
    pub have: BTreeMap<Section, Digest>,
    /// Whether deltas failed, so that whole sections are needed.
    pub whole: bool,
}

/// An answer to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parcel {
    /// Number of the question.
    pub ticket: Ticket,
    /// What the answerer has in force.
    pub head: Option<Head>,
    /// What the asker lacks.
    pub content: Content,
}

/// What an answer brings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// The asker lacks nothing that the answerer has.
    Nothing,
    /// The answerer has sent enough for now; ask another.
    Busy,
    /// A newer configuration.
    Newer {
        /// Bytes of the manifest.
        manifest: Value,
        /// Sections that the asker lacks.
        pieces: BTreeMap<Section, Piece>,
    },
}

/// One section on its way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// All bytes.
    Whole(Value),
    /// What differs from a section that the asker has.
    Delta {
        /// Digest of the section that the delta changes.
        base: Digest,
        /// Bytes kept at the start.
        prefix: usize,
        /// Bytes kept at the end.
        suffix: usize,
        /// Bytes between them.
        middle: Value,
    },
}

impl Piece {
    /// Returns what turns `old` into `new`.
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

    /// Returns the section's bytes; `None` if the delta does not fit `old`.
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

    /// Returns the bytes that travel.
    #[must_use]
    pub fn len(&self) -> usize {
        match self {
            Piece::Whole(bytes) => bytes.len(),
            Piece::Delta { base, middle, .. } => base.len() + 2 * size_of::<u64>() + middle.len(),
        }
    }

    /// Returns whether nothing travels.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Ask {
    /// Returns the bytes that travel, about.
    #[must_use]
    pub fn len(&self) -> usize {
        FRAME_BYTES + self.have.values().map(String::len).sum::<usize>()
    }

    /// Returns whether nothing travels, which never holds.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Parcel {
    /// Returns the bytes that travel, about.
    #[must_use]
    pub fn len(&self) -> usize {
        let Content::Newer { manifest, pieces } = &self.content else {
            return FRAME_BYTES;
        };
        let pieces: usize = pieces.values().map(Piece::len).sum();
        FRAME_BYTES + manifest.len() + pieces
    }

    /// Returns whether nothing travels, which never holds.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Sections in force and those just before, for deltas in both directions.
#[derive(Clone, Debug, Default)]
pub(crate) struct Versions {
    previous: BTreeMap<Section, (Digest, Value)>,
}

impl Versions {
    /// Keeps the sections of `old` that `new` changes.
    pub(crate) fn advance(&mut self, old: Option<&Checked>, new: &Checked) {
        let Some(old) = old else { return };
        for (&section, digest) in &old.manifest().sections {
            if new.manifest().sections.get(&section) != Some(digest) {
                let bytes = old.source().sections[&section].clone();
                self.previous.insert(section, (digest.clone(), bytes));
            }
        }
    }

    /// Returns what an asker lacks of `checked`.
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

/// Puts a newer configuration together from pieces and what is in force.
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

/// Returns the sections in force that `manifest` names too.
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

/// Returns whether `bytes` are the section that `manifest` names.
pub(crate) fn matches_manifest(manifest: &Manifest, section: Section, bytes: &[u8]) -> bool {
    manifest.sections.get(&section) == Some(&digest(bytes))
}
