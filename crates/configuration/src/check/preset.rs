//! Checks of one preset against the fleet.

use std::collections::BTreeMap;

use auburnline_core::published::Fleet;
use auburnline_core::published::Preset;
use auburnline_core::published::Serves;

use crate::check::Findings;
use crate::defect::Cause;
use crate::defect::Subject;

pub(super) fn check(fleet: &Fleet, name: &str, preset: &Preset, findings: &mut Findings) {
    let path = format!("presets.{name}");
    placements(fleet, &path, preset, findings);
    for (index, instance) in preset.drain.iter().enumerate() {
        let known = fleet.entries.contains_key(instance) || fleet.upstreams.contains_key(instance);
        if !known {
            findings.unknown(
                format!("{path}.drain[{index}]"),
                Subject::Instance,
                instance,
            );
        }
    }
    if preset.drain_deadline_ms == 0 {
        findings.add(format!("{path}.drain_deadline_ms"), Cause::NotPositive);
    }
    if preset.changing_groups == 0 {
        findings.add(format!("{path}.changing_groups"), Cause::NotPositive);
    }
    factor(
        &format!("{path}.limit_factor"),
        preset.limit_factor,
        findings,
    );
    let rebalance = &preset.rebalance;
    let weights = [
        ("skew_weight", rebalance.skew_weight),
        ("move_weight", rebalance.move_weight),
        ("disruption_weight", rebalance.disruption_weight),
    ];
    for (field, number) in weights {
        weight(&format!("{path}.rebalance.{field}"), number, findings);
    }
}

fn placements(fleet: &Fleet, path: &str, preset: &Preset, findings: &mut Findings) {
    let mut pools = BTreeMap::new();
    for (group, placement) in &preset.placements {
        let path = format!("{path}.placements.{group}");
        if placement.model.is_empty() {
            findings.add(format!("{path}.model"), Cause::Empty);
        }
        if placement.version.is_empty() {
            findings.add(format!("{path}.version"), Cause::Empty);
        }
        let mut all = fleet.pools.iter();
        let Some((name, pool)) = all.find(|(_, pool)| pool.groups.contains_key(group)) else {
            findings.unknown(path, Subject::Group, group);
            continue;
        };
        if pool.serves != Serves::Drafts {
            findings.add(&path, Cause::WrongPool);
        }
        let first = *pools.entry(&placement.model).or_insert(name);
        if first != name {
            let cause = Cause::TwoPools {
                model: placement.model.to_string(),
                other: first.to_string(),
            };
            findings.add(format!("{path}.model"), cause);
        }
    }
}

fn factor(path: &str, number: f64, findings: &mut Findings) {
    if !number.is_finite() {
        findings.add(path, Cause::NotFinite);
    } else if number <= 0.0 {
        findings.add(path, Cause::NotPositive);
    }
}

fn weight(path: &str, number: f64, findings: &mut Findings) {
    if !number.is_finite() {
        findings.add(path, Cause::NotFinite);
    } else if number < 0.0 {
        findings.add(path, Cause::Negative);
    }
}
