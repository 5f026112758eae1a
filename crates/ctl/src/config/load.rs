//! A configuration from files, each recognised by its content.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use auburnline_configuration::source::Source;
use auburnline_configuration::source::Value;
use auburnline_core::published::Section;
use serde_json::Map;

use crate::error::Error;
use crate::options::Options;

/// Field that only a manifest has.
const MANIFEST_FIELD: &str = "revision";
/// Ending of the files that are read from a folder.
const ENDING: &str = "json";

/// Parts of a configuration, with the files that they came from.
#[derive(Default)]
pub(crate) struct Parts {
    pub(crate) manifest: Option<Value>,
    pub(crate) sections: BTreeMap<Section, (PathBuf, Value)>,
}

/// Returns the field that only this section has.
const fn field(section: Section) -> &'static str {
    match section {
        Section::Fleet => "failure_domains",
        Section::Workspaces => "workspaces",
        Section::Services => "services",
        Section::Presets => "presets",
    }
}

/// Reads all files, and all JSON files in the folders among them.
pub(crate) fn parts(paths: &[PathBuf]) -> Result<Parts, Error> {
    let mut parts = Parts::default();
    for path in files(paths)? {
        let bytes = fs::read(&path).map_err(|error| Error::file(&path, error))?;
        let object: Map<String, serde_json::Value> =
            serde_json::from_slice(&bytes).map_err(|error| Error::file(&path, error))?;
        let value: Value = bytes.into();
        if object.contains_key(MANIFEST_FIELD) {
            if parts.manifest.replace(value).is_some() {
                return Err(Error::Twice("manifest"));
            }
            continue;
        }
        let section = Section::ALL
            .into_iter()
            .find(|&section| object.contains_key(field(section)))
            .ok_or_else(|| Error::UnknownForm(path.clone()))?;
        if parts.sections.insert(section, (path, value)).is_some() {
            return Err(Error::Twice(section.name()));
        }
    }
    Ok(parts)
}

fn files(paths: &[PathBuf]) -> Result<Vec<PathBuf>, Error> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            files.extend(folder(path)?);
        } else {
            files.push(path.clone());
        }
    }
    Ok(files)
}

fn folder(path: &Path) -> Result<Vec<PathBuf>, Error> {
    let entries = fs::read_dir(path).map_err(|error| Error::file(path, error))?;
    let mut files = Vec::new();
    for entry in entries {
        let file = entry.map_err(|error| Error::file(path, error))?.path();
        if file.extension().is_some_and(|ending| ending == ENDING) {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

impl Parts {
    /// Returns the published bytes; without a manifest, `options` must tell revision and preset.
    pub(crate) fn source(self, options: &Options) -> Result<Source, Error> {
        for section in Section::ALL {
            if !self.sections.contains_key(&section) {
                return Err(Error::Missing(section.name()));
            }
        }
        let sections = self.sections.into_iter();
        let sections = sections.map(|(section, (_, value))| (section, value));
        let sections = sections.collect();
        if let Some(manifest) = self.manifest {
            return Ok(Source { manifest, sections });
        }
        let (Some(revision), Some(preset)) = (options.revision()?, options.preset()) else {
            return Err(Error::Missing("manifest"));
        };
        Ok(Source::assemble(revision, &preset, sections))
    }
}
