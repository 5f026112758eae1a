//! What operators see of a process, beyond what [`Board`] does by itself.

use std::time::Duration;

use auburnline_configuration::checked::Checked;
pub use auburnline_operator::Board;
pub use auburnline_operator::Snapshot;
use auburnline_operator::shape;

use crate::exchange::Exchange;

/// Describes what is in force.
#[must_use]
pub fn configuration(instance: &str, exchange: &Exchange) -> shape::Configuration {
    let counts = exchange.spread().acceptance().counts();
    let mut told = shape::Configuration {
        instance: instance.to_owned(),
        refused: counts.refused,
        last_refusal: exchange.last_refusal().map(str::to_owned),
        ..shape::Configuration::default()
    };
    if let Some(checked) = exchange.in_force() {
        fill(&mut told, checked);
    }
    told
}

fn fill(told: &mut shape::Configuration, checked: &Checked) {
    let manifest = checked.manifest();
    told.revision = Some(manifest.revision);
    told.digest = Some(checked.digest().clone());
    told.preset = Some(manifest.preset.to_string());
    let sections = manifest.sections.iter();
    told.sections = sections
        .map(|(section, digest)| (section.name().to_owned(), digest.clone()))
        .collect();
}

/// Returns a time in whole milliseconds.
#[must_use]
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
