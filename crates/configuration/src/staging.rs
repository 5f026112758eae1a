//! Staging of a configuration while its sections are read from the configuration service.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::published::Manifest;
use auburnline_core::published::Section;
use auburnline_core::time::Monotonic;
use rand::Rng;

use crate::checked::Checked;
use crate::head::Head;
use crate::parcel;
use crate::source::Source;
use crate::source::Value;

/// Time after which a staged configuration with missing sections is given up.
const STAGING_TIMEOUT: Duration = Duration::from_secs(3);

/// Mean delay before a failed read of a section is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Manifest that was read, and the sections read so far.
#[derive(Debug)]
pub(crate) struct Staging {
    pub(crate) head: Head,
    manifest: Manifest,
    source: Source,
    deadline: Monotonic,
    /// Sections whose read failed, with the time of the next read.
    retries: BTreeMap<Section, Monotonic>,
}

impl Staging {
    /// Starts from a manifest; sections that are the same as in force aren't read.
    pub(crate) fn new(
        head: Head,
        manifest: Manifest,
        bytes: &Value,
        in_force: Option<&Checked>,
        now: Monotonic,
    ) -> Self {
        let mut source = in_force.map_or_else(Source::default, |checked| {
            parcel::unchanged_sections(bytes, checked)
        });
        source.manifest = bytes.clone();
        Self {
            head,
            manifest,
            source,
            deadline: now + STAGING_TIMEOUT,
            retries: BTreeMap::new(),
        }
    }

    /// Returns the sections that have not been read yet, with their keys.
    pub(crate) fn missing(&self) -> Vec<(Section, String)> {
        let wanted = self.manifest.sections.iter();
        wanted
            .filter(|(section, _)| !self.source.sections.contains_key(section))
            .map(|(section, digest)| (*section, section.key(digest)))
            .collect()
    }

    /// Adds a section if its bytes match the manifest's digest; returns whether they do.
    pub(crate) fn add(&mut self, section: Section, bytes: Value) -> bool {
        let matches = parcel::matches_manifest(&self.manifest, section, &bytes);
        if matches {
            self.source.sections.insert(section, bytes);
        }
        matches
    }

    /// Schedules another read of a section; the sections read so far are kept.
    pub(crate) fn retry_later(&mut self, section: Section, now: Monotonic, rng: &mut impl Rng) {
        let delay = RETRY_DELAY.mul_f64(rng.random_range(0.5..1.5));
        self.retries.insert(section, now + delay);
    }

    /// Returns the sections that are due to be read again, with their keys.
    pub(crate) fn due(&mut self, now: Monotonic) -> Vec<(Section, String)> {
        let mut missing = self.missing();
        let retries = &mut self.retries;
        missing.retain(|(section, _)| retries.get(section).is_some_and(|&due| due <= now));
        for (section, _) in &missing {
            retries.remove(section);
        }
        missing
    }

    pub(crate) fn is_late(&self, now: Monotonic) -> bool {
        now >= self.deadline
    }

    pub(crate) fn into_source(self) -> Source {
        self.source
    }
}
