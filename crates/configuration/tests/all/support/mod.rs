//! A small valid configuration, which the tests modify.

pub(crate) mod simulation;

use std::collections::BTreeMap;
use std::sync::Arc;

use auburnline_configuration::checked::Checked;
use auburnline_configuration::defect::Refusal;
use auburnline_configuration::source::Source;
use auburnline_configuration::source::Value;
use auburnline_core::published::Section;
use serde_json::json;

/// Unpublished configuration whose sections are JSON values that can be modified.
pub(crate) struct Draft {
    pub(crate) revision: u64,
    pub(crate) preset: String,
    pub(crate) sections: BTreeMap<Section, serde_json::Value>,
}

impl Default for Draft {
    fn default() -> Self {
        let fleet = json!({
            "failure_domains": {"kibera": "nairobi", "milimani": "nairobi"},
            "entries": {
                "e1": {"failure_domain": "kibera", "caller": "127.0.0.1:1", "peer": "127.0.0.1:2"},
                "e2": {"failure_domain": "milimani", "caller": "127.0.0.1:3", "peer": "127.0.0.1:4"},
            },
            "upstreams": {
                "u1": {"failure_domain": "kibera", "peer": "127.0.0.1:5", "checks_fence": true},
                "u2": {"failure_domain": "kibera", "peer": "127.0.0.1:6", "checks_fence": true},
                "u3": {"failure_domain": "milimani", "peer": "127.0.0.1:7", "checks_fence": false},
            },
            "pools": {
                "drafts": {"serves": "drafts", "minimum": 1, "groups": {
                    "g1": {"instances": ["u1", "u2"], "ranks_per_instance": 4},
                }},
                "records": {"serves": "calls", "minimum": 0, "groups": {
                    "r1": {"instances": ["u3"], "ranks_per_instance": 1},
                }},
            },
        });
        let preset = json!({
            "placements": {"g1": {"model": "plan", "version": "1"}},
            "drain_deadline_ms": 1000,
            "limit_factor": 0.5,
            "rebalance": {"skew_weight": 1.0, "move_weight": 2.0, "disruption_weight": 3.0},
        });
        let mut maintenance = preset.clone();
        maintenance["drain"] = json!(["u3"]);
        let sections = [
            (Section::Fleet, fleet),
            (
                Section::Workspaces,
                json!({"workspaces": {"w": {"tokens_per_second": 10, "burst_tokens": 5, "weight": 1}}}),
            ),
            (
                Section::Services,
                json!({"services": {"records": [
                    {"method": "GET", "path": "/cases", "idempotent": true},
                    {"method": "POST", "path": "/cases", "idempotent": false},
                    {"method": "GET", "path": "/cases/close", "idempotent": false},
                ]}}),
            ),
            (
                Section::Presets,
                json!({"presets": {"ordinary": preset, "maintenance": maintenance}}),
            ),
        ];
        Self {
            revision: 1,
            preset: "ordinary".to_owned(),
            sections: sections.into(),
        }
    }
}

impl Draft {
    /// Sets the field at `pointer` of `section`.
    pub(crate) fn set(mut self, section: Section, pointer: &str, value: serde_json::Value) -> Self {
        let (parent, field) = pointer.rsplit_once('/').expect("a pointer with a field");
        let section = self.sections.get_mut(&section).expect("all sections");
        let parent = section.pointer_mut(parent).expect("a parent");
        parent[field] = value;
        self
    }

    pub(crate) fn revision(mut self, revision: u64) -> Self {
        self.revision = revision;
        self
    }

    pub(crate) fn preset(mut self, preset: &str) -> Self {
        preset.clone_into(&mut self.preset);
        self
    }

    pub(crate) fn source(&self) -> Source {
        let bytes = self.sections.iter().map(|(&section, value)| {
            let bytes: Value = value.to_string().into_bytes().into();
            (section, bytes)
        });
        Source::assemble(self.revision, &self.preset, bytes.collect())
    }

    pub(crate) fn parse(&self) -> Result<Arc<Checked>, Refusal> {
        Checked::parse(self.source())
    }

    pub(crate) fn checked(&self) -> Arc<Checked> {
        self.parse().expect("a valid configuration")
    }
}
