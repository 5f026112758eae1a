//! What gateways tell each other of the forward passes of groups.
//!
//! A gateway with few streams of a group sees few of its passes, and two gateways that see
//! different ones fill the group differently. With each heartbeat a gateway tells some others what
//! it saw itself; see [`auburnline_admission::forecast`] and [`crate::pace`].

use auburnline_admission::feature::Feature;
use auburnline_admission::forecast::GroupTag;
use auburnline_admission::forecast::MAX_RECORDS;
use auburnline_admission::forecast::Record;
use auburnline_core::hash::stable;
use auburnline_core::time::Monotonic;
use rand::seq::IteratorRandom as _;

use crate::gateway::Gateway;

/// Number of records that were merged, and of those that said nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// Records that were taken into account.
    pub used: usize,
    /// Records of unknown groups, of passes before a group formed, and malformed ones.
    pub void: usize,
}

impl Gateway {
    /// Returns what this gateway saw of groups' passes, for a few of the groups; nothing unless
    /// forecasts are shared.
    pub fn forecasts(&mut self, now: Monotonic) -> Vec<Record> {
        if !self.features.contains(&Feature::SharedForecasts) {
            return Vec::new();
        }
        let mut records = Vec::new();
        for (group, pace) in &mut self.paces {
            if let Some(record) = pace.record(tag(group), now) {
                pace.hear(&record, now);
                records.push(record);
            }
        }
        records
            .into_iter()
            .choose_multiple(&mut self.rng, MAX_RECORDS)
    }

    /// Merges what another gateway saw of groups' passes.
    pub fn merge_forecasts(&mut self, records: &[Record], now: Monotonic) -> Merged {
        let mut merged = Merged::default();
        if !self.features.contains(&Feature::SharedForecasts) {
            return merged;
        }
        for record in records.iter().take(MAX_RECORDS) {
            let group = self.groups.names().find(|group| tag(group) == record.group);
            let is_used = group.cloned().is_some_and(|group| {
                let pace = self.paces.entry(group).or_default();
                pace.hear(record, now)
            });
            if is_used {
                merged.used += 1;
            } else {
                merged.void += 1;
            }
        }
        merged
    }
}

fn tag(group: &str) -> GroupTag {
    stable(0, group.as_bytes())
}
