//! Merging of what others report about gateways into the roster.

use std::time::Duration;

use auburnline_core::time::Monotonic;

use super::Roster;
use super::Update;
use super::news;
use super::peer::Peer;
use crate::message::Entry;
use crate::message::Heartbeat;

/// Time without news after which a gateway is removed.
const REMOVAL_TIMEOUT: Duration = Duration::from_mins(1);
/// Past incarnations that are remembered beyond as many as there are gateways.
const MIN_PAST_TAGS: usize = 64;
/// Number of the first heartbeat of a process.
const FIRST_HEARTBEAT: u64 = 1;

impl Update {
    fn of(entry: &Entry) -> Update {
        Update {
            instance: entry.instance.clone(),
            is_ready: entry.is_ready,
        }
    }
}

impl Roster {
    /// Merges a heartbeat; returns which gateways are new, back, or have changed their readiness.
    pub fn receive(&mut self, heartbeat: &Heartbeat, now: Monotonic) -> Vec<Update> {
        let mut updates = Vec::new();
        updates.extend(self.merge(&heartbeat.from, true, now));
        for entry in &heartbeat.others {
            updates.extend(self.merge(entry, false, now));
        }
        // In a fleet of hundreds a single gateway knows only some of the members, and each knows
        // different ones.
        let reported = usize::try_from(heartbeat.members).unwrap_or(0);
        self.update_size(reported, now);
        updates
    }

    pub(super) fn merge(
        &mut self,
        entry: &Entry,
        is_direct: bool,
        now: Monotonic,
    ) -> Option<Update> {
        if entry.instance == self.own_entry.instance {
            return None;
        }
        let timeout = self.gaps.timeout();
        let known = match self.others.get_mut(&entry.instance) {
            Some(known) if known.entry.incarnation == entry.incarnation => known,
            // Incarnations have no order, and others may still relay the previous one.
            Some(known) if !is_direct && known.is_alive(timeout, now) => return None,
            _ => return self.add(entry, is_direct, now),
        };
        if is_direct && entry.heartbeats >= known.entry.heartbeats {
            known.heard_directly = Some(now);
        }
        if entry.heartbeats <= known.entry.heartbeats {
            return None;
        }
        let was_alive = known.is_alive(timeout, now);
        if entry.heartbeats > known.heartbeats {
            let gap = known.advance(entry.heartbeats, now);
            self.gaps.add(gap);
        }
        let is_changed = known.entry.is_ready != entry.is_ready;
        let state = news::state(entry);
        if known.state != state {
            known.state = state;
            known.changed = now;
        }
        known.entry = entry.clone();
        (is_changed || !was_alive).then(|| Update::of(entry))
    }

    /// Adds a gateway or replaces its previous incarnation.
    fn add(&mut self, entry: &Entry, is_direct: bool, now: Monotonic) -> Option<Update> {
        let mut peer = Peer::new(entry.clone(), now);
        peer.heard_directly = is_direct.then_some(now);
        self.tags.insert(peer.tag, entry.instance.clone());
        let before = self.others.insert(entry.instance.clone(), peer);
        self.forget_past_tags();
        let before = before.filter(|known| self.is_alive(known, now));
        let is_same = before.is_some_and(|known| known.entry.is_ready == entry.is_ready);
        (!is_same).then(|| Update::of(entry))
    }

    /// Drops the tags of past incarnations once they outnumber the gateways, which may restart any
    /// number of times.
    fn forget_past_tags(&mut self) {
        if self.tags.len() > MIN_PAST_TAGS + 2 * self.others.len() {
            self.tags = self
                .others
                .iter()
                .map(|(instance, known)| (known.tag, instance.clone()))
                .collect();
        }
    }

    /// Returns whether the sender of a heartbeat just started or was considered failed, so that the
    /// others send it nothing.
    #[must_use]
    pub fn needs_join_reply(&self, heartbeat: &Heartbeat, now: Monotonic) -> bool {
        let known = self.others.get(&heartbeat.from.instance);
        heartbeat.from.heartbeats == FIRST_HEARTBEAT
            || known.is_none_or(|known| !self.is_alive(known, now))
    }

    /// Extends all timeouts by the time for which this process was suspended and received nothing.
    pub fn extend_timeouts(&mut self, pause: Duration) {
        for known in self.others.values_mut() {
            known.heard = known.heard.saturating_add(pause);
        }
    }

    /// Removes gateways without news for a long time.
    pub(super) fn forget_silent(&mut self, now: Monotonic) {
        let before = self.others.len();
        self.others
            .retain(|_, known| now.saturating_sub(known.heard) < REMOVAL_TIMEOUT);
        if self.others.len() < before {
            self.tags
                .retain(|_, instance| self.others.contains_key(instance));
        }
    }
}
