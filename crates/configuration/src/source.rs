//! Published bytes as they were read, kept so that they can be sent to peers unchanged.

use std::collections::BTreeMap;
use std::sync::Arc;

use auburnline_core::hash::Digest;
use auburnline_core::hash::digest;
use auburnline_core::published::Manifest;
use auburnline_core::published::Section;

/// Bytes of one published value, shared without copies.
pub type Value = Arc<[u8]>;

/// Bytes of a manifest and of its sections.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Source {
    /// Manifest; its digest is the digest of the configuration.
    pub manifest: Value,
    /// Sections that have been read or received so far.
    pub sections: BTreeMap<Section, Value>,
}

impl Source {
    /// Returns a source of these sections and of a new manifest with their digests.
    ///
    /// For operators' tools and tests; daemons keep the bytes as they were published.
    #[must_use]
    pub fn assemble(revision: u64, preset: &str, sections: BTreeMap<Section, Value>) -> Self {
        let digests: BTreeMap<Section, Digest> = sections
            .iter()
            .map(|(&section, bytes)| (section, digest(bytes)))
            .collect();
        let manifest = Manifest {
            revision,
            preset: preset.into(),
            sections: digests,
        };
        let bytes = serde_json::to_vec(&manifest).unwrap_or_default();
        Self {
            manifest: bytes.into(),
            sections,
        }
    }
}
