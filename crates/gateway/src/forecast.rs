//! What gateways tell each other of the forward passes of groups.
//!
//! A gateway with few streams of a group sees few of its passes, and two gateways that see
//! different ones fill the group differently. With each heartbeat a gateway tells some others what
//! it saw itself; see [`auburnline_admission::forecast`] and [`crate::pace`].

use std::time::Duration;

use auburnline_admission::feature::Feature;
use auburnline_admission::forecast::GroupTag;
use auburnline_admission::forecast::MAX_RECORDS;
use auburnline_admission::forecast::Record;
use auburnline_core::hash::stable;
use auburnline_core::id::GroupId;
use auburnline_core::time::Monotonic;
use rand::seq::IteratorRandom as _;

use crate::gateway::Gateway;
use crate::pace;
use crate::pace::Load;
use crate::route::Engine;

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
        let groups: Vec<GroupId> = self.paces.keys().cloned().collect();
        for group in groups {
            let Some(state) = self.state(&group) else {
                continue;
            };
            let Some(pace) = self.paces.get_mut(&group) else {
                continue;
            };
            pace.refresh(now);
            let cost = pace::cost(&state.engine, state.longest, state.load);
            if let Some(record) = pace.record(tag(&group), &cost, now) {
                pace.hear(&record, &state.engine, state.longest, state.load, now);
                records.push(record);
            }
        }
        records
            .into_iter()
            .choose_multiple(&mut self.rng, MAX_RECORDS)
    }

    /// Returns the number of groups that are filled only as far as passes after a shift of demand
    /// allow.
    #[must_use]
    pub fn cautious_groups(&self) -> usize {
        let paces = self.paces.values();
        paces.filter(|pace| pace.is_cautious()).count()
    }

    /// Merges what another gateway saw of groups' passes.
    pub fn merge_forecasts(&mut self, records: &[Record], now: Monotonic) -> Merged {
        let mut merged = Merged::default();
        if !self.features.contains(&Feature::SharedForecasts) {
            return merged;
        }
        for record in records.iter().take(MAX_RECORDS) {
            let group = self.groups.names().find(|group| tag(group) == record.group);
            let group = group.cloned();
            let state = group.as_deref().and_then(|group| self.state(group));
            let is_used = group.zip(state).is_some_and(|(group, state)| {
                let pace = self.paces.entry(group).or_default();
                pace.hear(record, &state.engine, state.longest, state.load, now)
            });
            if is_used {
                merged.used += 1;
            } else {
                merged.void += 1;
            }
        }
        merged
    }

    /// Returns what a group's leader reported last and the terms of its service; none if that is
    /// unknown.
    fn state(&self, group: &str) -> Option<State> {
        let digest = self.groups.report(group)?;
        let longest = self.table()?.longest_pause(&digest.service)?;
        let load = Load {
            ranks: u32::try_from(digest.engines.len()).ok()?,
            in_flight: digest.engines.iter().map(|engine| engine.requests).sum(),
            ..Load::default()
        };
        Some(State {
            engine: self.engine(&digest.service)?,
            longest,
            load,
        })
    }
}

/// A group as its leader reported it, and the terms of its service.
struct State {
    engine: Engine,
    longest: Duration,
    load: Load,
}

fn tag(group: &str) -> GroupTag {
    stable(0, group.as_bytes())
}
