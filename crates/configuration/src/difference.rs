//! Differences between two configurations, as text for operators.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::fmt::Display;
use std::fmt::Formatter;

use auburnline_core::hash::Digest;
use auburnline_core::published::Placement;
use serde::Serialize;

use crate::checked::Checked;

/// Part of a configuration that a change is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The revision number.
    Revision,
    /// The choice of the preset in force.
    Preset,
    /// An instance, pool or failure domain.
    Fleet,
    /// Whether an instance drains.
    Drain,
    /// The model, version or adapters of a group.
    Placement,
    /// The limits of a workspace, with the preset's factor applied.
    Limit,
    /// The published calls of a plain service.
    Service,
    /// Another setting of the preset in force, or a preset that isn't in force.
    Setting,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Change {
    /// Part of the configuration that changes.
    pub kind: Kind,
    /// Name of the changed object, within its kind.
    pub name: String,
    /// Old value, empty if the object is new.
    pub old: String,
    /// New value, empty if the object is removed.
    pub new: String,
}

/// Effect that publishing a manifest would have on a running fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Preview {
    /// Revision in force, which the new one would replace.
    pub revision: u64,
    /// Whether a process that has the old configuration in force accepts the new one.
    pub accepted: bool,
    /// Why the new configuration isn't accepted, empty if it is.
    pub reason: String,
    /// Digest of the new manifest.
    pub digest: Digest,
    /// Changes against the configuration in force, also if the new one isn't accepted.
    pub changes: Vec<Change>,
}

impl Display for Change {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        let kind = format!("{:?}", self.kind).to_lowercase();
        let Change { name, old, new, .. } = self;
        match (old.is_empty(), new.is_empty()) {
            (true, _) => write!(f, "{kind} {name}: new, {new}"),
            (_, true) => write!(f, "{kind} {name}: gone, was {old}"),
            _ => write!(f, "{kind} {name}: {old} -> {new}"),
        }
    }
}

/// Returns the changes from `old` to `new`.
#[must_use]
pub fn diff(old: &Checked, new: &Checked) -> Vec<Change> {
    let mut changes = Vec::new();
    let revisions = (old.revision().to_string(), new.revision().to_string());
    push_change(&mut changes, Kind::Revision, "manifest", revisions);
    let presets = (old.preset_name().to_string(), new.preset_name().to_string());
    push_change(&mut changes, Kind::Preset, "in force", presets);
    let (before, after) = (fleet(old), fleet(new));
    push_map_changes(&mut changes, Kind::Fleet, (&before, &after));
    drains(old, new, &mut changes);
    let (before, after) = (placements(old), placements(new));
    push_map_changes(&mut changes, Kind::Placement, (&before, &after));
    let (before, after) = (limits(old), limits(new));
    push_map_changes(&mut changes, Kind::Limit, (&before, &after));
    let (before, after) = (services(old), services(new));
    push_map_changes(&mut changes, Kind::Service, (&before, &after));
    let (before, after) = (settings(old), settings(new));
    push_map_changes(&mut changes, Kind::Setting, (&before, &after));
    changes
}

/// Returns the effect of publishing `new` to a fleet that has `old` in force.
#[must_use]
pub fn preview(old: &Checked, new: &Checked) -> Preview {
    let reason = if new.revision() < old.revision() {
        format!(
            "revision {} is older than {}",
            new.revision(),
            old.revision()
        )
    } else if new.revision() == old.revision() && new.digest() != old.digest() {
        format!(
            "revision {} is in force with another digest",
            old.revision()
        )
    } else {
        String::new()
    };
    Preview {
        revision: old.revision(),
        accepted: reason.is_empty(),
        reason,
        digest: new.digest().clone(),
        changes: diff(old, new),
    }
}

type Descriptions = BTreeMap<String, String>;

fn describe<K: Display, V>(
    prefix: &str,
    map: &BTreeMap<K, V>,
    text: impl Fn(&V) -> String,
) -> Descriptions {
    map.iter()
        .map(|(name, value)| (format!("{prefix}{name}"), text(value)))
        .collect()
}

/// Returns a value as compact JSON, the format that operators publish.
fn text<T: Serialize + Debug>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_else(|_| format!("{value:?}"))
}

fn push_change(changes: &mut Vec<Change>, kind: Kind, name: &str, (old, new): (String, String)) {
    if old != new {
        let name = name.to_owned();
        changes.push(Change {
            kind,
            name,
            old,
            new,
        });
    }
}

fn push_map_changes(
    changes: &mut Vec<Change>,
    kind: Kind,
    (old, new): (&Descriptions, &Descriptions),
) {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for name in names {
        let pair =
            |descriptions: &Descriptions| descriptions.get(name).cloned().unwrap_or_default();
        push_change(changes, kind, name, (pair(old), pair(new)));
    }
}

fn fleet(checked: &Checked) -> Descriptions {
    let fleet = checked.fleet();
    let mut all = describe("failure domain ", &fleet.failure_domains, text);
    all.extend(describe("entry ", &fleet.entries, text));
    all.extend(describe("upstream ", &fleet.upstreams, text));
    all.extend(describe("pool ", &fleet.pools, text));
    all
}

fn placements(checked: &Checked) -> Descriptions {
    describe("", &checked.preset().placements, |placement| {
        let adapters = placement.adapters.join("+");
        let separator = if adapters.is_empty() { "" } else { " with " };
        let Placement { model, version, .. } = placement;
        format!("{model} {version}{separator}{adapters}")
    })
}

fn services(checked: &Checked) -> Descriptions {
    describe("", &checked.services().services, text)
}

fn drains(old: &Checked, new: &Checked, changes: &mut Vec<Change>) {
    let names: BTreeSet<_> = old.instances().chain(new.instances()).collect();
    let state = |checked: &Checked, name: &str| {
        let word = if checked.drains(name) {
            "drains"
        } else {
            "serves"
        };
        word.to_owned()
    };
    for name in names {
        let known = old.role(name).is_some() && new.role(name).is_some();
        if known || new.drains(name) {
            push_change(
                changes,
                Kind::Drain,
                name,
                (state(old, name), state(new, name)),
            );
        }
    }
}

fn limits(checked: &Checked) -> Descriptions {
    let names = checked.workspaces().workspaces.keys();
    names
        .filter_map(|name| {
            let limits = checked.limits(name)?;
            let rate = limits.tokens_per_second;
            let burst = limits.burst_tokens;
            let description = format!("{rate} tokens/s, burst {burst}, weight {}", limits.weight);
            Some((name.to_string(), description))
        })
        .collect()
}

/// Returns the settings of the preset in force one by one, and each other preset as one value.
fn settings(checked: &Checked) -> Descriptions {
    let mut all = describe("", &checked.presets().presets, text);
    all.remove(&**checked.preset_name());
    let preset = checked.preset();
    let fields = [
        ("drain_deadline_ms", preset.drain_deadline_ms.to_string()),
        ("limit_factor", preset.limit_factor.to_string()),
        ("changing_groups", preset.changing_groups.to_string()),
        ("rebalance", text(&preset.rebalance)),
    ];
    let named = fields.map(|(name, value)| (format!("in force: {name}"), value));
    all.extend(named);
    all
}
