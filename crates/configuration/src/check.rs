//! Consistency checks across the fields and sections of one configuration.

mod fleet;
mod preset;

use std::collections::BTreeSet;

use auburnline_core::published::Fleet;
use auburnline_core::published::Manifest;
use auburnline_core::published::Presets;
use auburnline_core::published::Serves;
use auburnline_core::published::Services;
use auburnline_core::published::Workspaces;

use crate::defect::Cause;
use crate::defect::Defect;
use crate::defect::MAX_DEFECTS;
use crate::defect::Subject;

/// Largest rate, burst or weight; it fits 32 bits, so the conversion to `f64` is exact.
const MAX_TOKENS: u64 = u32::MAX as u64;

/// Defects of one configuration; those beyond [`MAX_DEFECTS`] are dropped.
#[derive(Default)]
pub(crate) struct Findings(Vec<Defect>);

impl Findings {
    pub(crate) fn add(&mut self, path: impl Into<String>, cause: Cause) {
        if self.0.len() < MAX_DEFECTS {
            self.0.push(Defect::new(path, cause));
        }
    }

    pub(crate) fn unknown(&mut self, path: impl Into<String>, subject: Subject, name: &str) {
        let name = name.to_owned();
        self.add(path, Cause::Unknown { subject, name });
    }

    fn positive(&mut self, path: String, number: u64) {
        if number == 0 {
            self.add(path, Cause::NotPositive);
        } else if number > MAX_TOKENS {
            self.add(path, Cause::TooBig { limit: MAX_TOKENS });
        }
    }

    fn name(&mut self, path: &str, name: &str) {
        if name.is_empty() {
            self.add(path, Cause::Empty);
        }
    }

    pub(crate) fn into_defects(self) -> Vec<Defect> {
        self.0
    }
}

/// Manifest and parsed sections of one configuration.
pub(crate) struct Parts<'a> {
    pub(crate) manifest: &'a Manifest,
    pub(crate) fleet: &'a Fleet,
    pub(crate) workspaces: &'a Workspaces,
    pub(crate) services: &'a Services,
    pub(crate) presets: &'a Presets,
}

/// Adds the defects that parsing one section alone can't detect to `findings`.
pub(crate) fn check(parts: &Parts<'_>, findings: &mut Findings) {
    if parts.manifest.revision == 0 {
        findings.add("revision", Cause::NotPositive);
    }
    let preset = &parts.manifest.preset;
    if !parts.presets.presets.contains_key(preset) {
        findings.unknown("preset", Subject::Preset, preset);
    }
    fleet::check(parts.fleet, findings);
    workspaces(parts.workspaces, findings);
    services(parts.fleet, parts.services, findings);
    for (name, preset) in &parts.presets.presets {
        findings.name("presets", name);
        preset::check(parts.fleet, name, preset, findings);
    }
}

fn workspaces(section: &Workspaces, findings: &mut Findings) {
    for (name, workspace) in &section.workspaces {
        let path = format!("workspaces.{name}");
        findings.name("workspaces", name);
        findings.positive(
            format!("{path}.tokens_per_second"),
            workspace.tokens_per_second,
        );
        findings.positive(format!("{path}.burst_tokens"), workspace.burst_tokens);
        findings.positive(format!("{path}.weight"), u64::from(workspace.weight));
    }
}

fn services(fleet: &Fleet, section: &Services, findings: &mut Findings) {
    for (name, calls) in &section.services {
        let path = format!("services.{name}");
        match fleet.pools.get(name) {
            None => findings.unknown(&path, Subject::Pool, name),
            Some(pool) if pool.serves != Serves::Calls => findings.add(&path, Cause::WrongPool),
            Some(_) => {}
        }
        let mut seen = BTreeSet::new();
        for (index, call) in calls.iter().enumerate() {
            let path = format!("{path}[{index}]");
            let method = &call.method;
            if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
                findings.add(format!("{path}.method"), Cause::BadMethod);
            }
            if !call.path.starts_with('/') {
                findings.add(format!("{path}.path"), Cause::BadPath);
            }
            if !seen.insert((method, &call.path)) {
                let cause = Cause::Repeated {
                    name: format!("{method} {}", call.path),
                    other: format!("services.{name}"),
                };
                findings.add(path, cause);
            }
        }
    }
}
