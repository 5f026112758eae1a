//! Compact news of which gateways live.
//!
//! A heartbeat describes its sender in full, but there is no room in it for a whole fleet. What
//! changes all the time is only the number of each gateway's last heartbeat, so that is what is
//! passed on: a [`Record`] takes a few bytes, and several hundred reach each gateway per second. A
//! gateway that gets a record of one that it does not know, or whose state has changed, asks the
//! sender for the full [`Entry`].

use std::cmp::Reverse;

use auburnline_core::hash::stable;
use auburnline_core::time::Monotonic;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use super::Roster;
use super::Update;
use super::peer::Peer;
use crate::message::Entry;

/// Most records that go out with one heartbeat, so that these fit into one frame of a link.
const MAX_RECORDS: usize = 80;
/// Most entries that are asked for in reply to one message.
const MAX_REQUESTED: usize = 12;

/// Hash that identifies one incarnation of a gateway.
pub type Tag = [u8; 4];

/// News of one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Incarnation that the news is about.
    pub tag: Tag,
    /// Number of its last heartbeat.
    pub heartbeats: u64,
    /// Hash of the state that it reported.
    pub state: u8,
}

/// Returns the tag of an entry's incarnation.
pub(super) fn tag(entry: &Entry) -> Tag {
    let [one, two, three, four, ..] =
        stable(entry.incarnation, entry.instance.as_bytes()).to_le_bytes();
    [one, two, three, four]
}

/// Returns the hash of the fields that change within an incarnation.
pub(super) fn state(entry: &Entry) -> u8 {
    let flags = [
        u8::from(entry.is_ready),
        u8::from(entry.is_store_unreachable),
        u8::from(entry.version.is_some()),
    ];
    let version = entry.version.unwrap_or_default();
    let [hash, ..] = stable(version, &flags).to_le_bytes();
    hash
}

impl Roster {
    /// Returns news of live gateways, those first of which the latest news has just arrived.
    pub fn news(&self, now: Monotonic, rng: &mut impl Rng) -> Vec<Record> {
        let mut live: Vec<&Peer> = self.live_peers(now).collect();
        if live.len() > MAX_RECORDS {
            live.select_nth_unstable_by_key(MAX_RECORDS, |known| {
                Reverse((known.heard, rng.random::<u32>()))
            });
            live.truncate(MAX_RECORDS);
        }
        let records = live.into_iter().map(|known| Record {
            tag: known.tag,
            heartbeats: known.heartbeats,
            state: known.state,
        });
        records.collect()
    }

    /// Merges news; returns the gateways whose entries the sender has to be asked for.
    pub fn apply_news(&mut self, news: &[Record], now: Monotonic) -> Vec<Tag> {
        let mut requested = Vec::new();
        for record in news {
            let instance = self.tags.get(&record.tag);
            let known = instance.and_then(|instance| self.others.get_mut(instance));
            let Some(known) = known else {
                if record.tag != self.own_tag {
                    requested.push(record.tag);
                }
                continue;
            };
            // News of an earlier incarnation may still go around.
            if record.tag == known.tag && record.heartbeats > known.heartbeats {
                let gap = known.advance(record.heartbeats, now);
                self.gaps.add(gap);
                if record.state != known.state {
                    requested.push(record.tag);
                }
            }
        }
        requested.truncate(MAX_REQUESTED);
        requested
    }

    /// Returns the entries of the requested gateways that live.
    #[must_use]
    pub fn entries(&self, requested: &[Tag], now: Monotonic) -> Vec<Entry> {
        let known = requested.iter().take(MAX_REQUESTED);
        let known = known.filter_map(|tag| {
            let known = self.others.get(self.tags.get(tag)?)?;
            (known.tag == *tag && self.is_alive(known, now)).then_some(known)
        });
        known.map(|known| known.entry.clone()).collect()
    }

    /// Merges requested entries; returns which gateways are new, back, or have changed their
    /// readiness.
    pub fn apply_entries(&mut self, entries: &[Entry], now: Monotonic) -> Vec<Update> {
        let merged = entries.iter();
        merged
            .filter_map(|entry| self.merge(entry, false, now))
            .collect()
    }
}
