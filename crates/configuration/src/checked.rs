//! A configuration that passed every check, with the lookups that the daemons need.
//!
//! [`Checked`] is immutable. Daemons hold it in an `Arc` and replace the `Arc` when a newer one is
//! accepted, so that a request sees the same revision from its start to its end.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use auburnline_core::hash::Digest;
use auburnline_core::hash::digest;
use auburnline_core::id::FailureDomainId;
use auburnline_core::id::GroupId;
use auburnline_core::id::InstanceId;
use auburnline_core::id::ModelId;
use auburnline_core::id::PoolId;
use auburnline_core::id::PresetId;
use auburnline_core::id::Revision;
use auburnline_core::published::Fleet;
use auburnline_core::published::Manifest;
use auburnline_core::published::Preset;
use auburnline_core::published::Presets;
use auburnline_core::published::Section;
use auburnline_core::published::Services;
use auburnline_core::published::Workspaces;
use serde::de::DeserializeOwned;

use crate::check;
use crate::check::Findings;
use crate::check::Parts;
use crate::defect::Cause;
use crate::defect::Refusal;
use crate::parse;
use crate::source::Source;

pub use crate::lookup::Limits;
pub use crate::lookup::Role;
pub use crate::lookup::Slot;

/// A valid configuration, whether in force or not.
#[derive(Debug)]
pub struct Checked {
    pub(crate) source: Source,
    pub(crate) digest: Digest,
    pub(crate) manifest: Manifest,
    pub(crate) fleet: Fleet,
    pub(crate) workspaces: Workspaces,
    pub(crate) services: Services,
    pub(crate) presets: Presets,
    pub(crate) index: Index,
}

/// Indexes over the sections, so that lookups don't have to scan them.
#[derive(Debug, Default)]
pub(crate) struct Index {
    pub(crate) drains: BTreeSet<InstanceId>,
    pub(crate) pool_of_group: BTreeMap<GroupId, PoolId>,
    pub(crate) group_of_instance: BTreeMap<InstanceId, GroupId>,
    pub(crate) pool_of_model: BTreeMap<ModelId, PoolId>,
    pub(crate) entries_of_domain: BTreeMap<FailureDomainId, Vec<InstanceId>>,
}

impl Checked {
    /// Parses and checks published bytes. The result depends on the bytes only, so all processes
    /// agree on it.
    ///
    /// # Errors
    ///
    /// Returns the defects found, at most [`crate::defect::MAX_DEFECTS`], with the paths of their
    /// fields.
    pub fn parse(source: Source) -> Result<Arc<Self>, Refusal> {
        let manifest = parse::manifest(&source.manifest).map_err(|defect| Refusal {
            defects: vec![defect],
        })?;
        let mut findings = Findings::default();
        let fleet = section(&manifest, &source, Section::Fleet, &mut findings);
        let workspaces = section(&manifest, &source, Section::Workspaces, &mut findings);
        let services = section(&manifest, &source, Section::Services, &mut findings);
        let presets = section(&manifest, &source, Section::Presets, &mut findings);
        let (Some(fleet), Some(workspaces), Some(services), Some(presets)) =
            (fleet, workspaces, services, presets)
        else {
            return Err(refusal(findings));
        };
        let parts = Parts {
            manifest: &manifest,
            fleet: &fleet,
            workspaces: &workspaces,
            services: &services,
            presets: &presets,
        };
        check::check(&parts, &mut findings);
        let Some(preset) = presets.presets.get(&manifest.preset) else {
            return Err(refusal(findings));
        };
        let refused = refusal(findings);
        if !refused.defects.is_empty() {
            return Err(refused);
        }
        let index = index(&fleet, preset);
        Ok(Arc::new(Self {
            digest: digest(&source.manifest),
            source,
            manifest,
            fleet,
            workspaces,
            services,
            presets,
            index,
        }))
    }

    /// Returns the revision, which is above zero.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.manifest.revision
    }

    /// Returns the digest of the manifest's bytes.
    #[must_use]
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Returns the manifest, which names the sections' digests and the preset in force.
    #[must_use]
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Returns the published bytes, which are sent to peers unchanged.
    #[must_use]
    pub fn source(&self) -> &Source {
        &self.source
    }

    /// Returns the fleet section: failure domains, instances and pools.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the workspaces as published; [`Checked::limits`] applies the preset's
    /// `limit_factor`.
    #[must_use]
    pub fn workspaces(&self) -> &Workspaces {
        &self.workspaces
    }

    /// Returns the published calls of plain services, by pool.
    #[must_use]
    pub fn services(&self) -> &Services {
        &self.services
    }

    /// Returns all published presets, the one in force among them.
    #[must_use]
    pub fn presets(&self) -> &Presets {
        &self.presets
    }

    /// Returns the name of the preset in force.
    #[must_use]
    pub fn preset_name(&self) -> &PresetId {
        &self.manifest.preset
    }

    /// Returns the preset in force.
    ///
    /// # Panics
    ///
    /// Never: the check refuses a manifest whose preset is not published.
    #[must_use]
    pub fn preset(&self) -> &Preset {
        &self.presets.presets[&self.manifest.preset]
    }
}

fn refusal(findings: Findings) -> Refusal {
    Refusal {
        defects: findings.into_defects(),
    }
}

fn section<T: DeserializeOwned>(
    manifest: &Manifest,
    source: &Source,
    section: Section,
    findings: &mut Findings,
) -> Option<T> {
    let expected = manifest.sections.get(&section);
    let bytes = source.sections.get(&section);
    let (Some(expected), Some(bytes)) = (expected, bytes) else {
        let path = format!("sections.{}", section.name());
        findings.add(path, Cause::MissingSection);
        return None;
    };
    match parse::section(section, expected, bytes) {
        Ok(parsed) => Some(parsed),
        Err(defect) => {
            findings.add(defect.path, defect.cause);
            None
        }
    }
}

fn index(fleet: &Fleet, preset: &Preset) -> Index {
    let mut index = Index {
        drains: preset.drain.iter().cloned().collect(),
        ..Index::default()
    };
    for (pool, published) in &fleet.pools {
        for (name, group) in &published.groups {
            index.pool_of_group.insert(name.clone(), pool.clone());
            for instance in &group.instances {
                let instance = instance.clone();
                index.group_of_instance.insert(instance, name.clone());
            }
        }
    }
    for (group, placement) in &preset.placements {
        let pool = index.pool_of_group[group].clone();
        index.pool_of_model.insert(placement.model.clone(), pool);
    }
    for (name, entry) in &fleet.entries {
        let domain = entry.failure_domain.clone();
        let entries = index.entries_of_domain.entry(domain).or_default();
        entries.push(name.clone());
    }
    index
}
