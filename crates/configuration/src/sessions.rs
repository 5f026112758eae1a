//! Peers with a session up, and what each is known to have in force.
//!
//! A new configuration is announced in waves that double: a few peers at once, more with each tick.
//! Most peers of a later wave have it by then from others and say so, and get no announcement.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::acceptance::Acceptance;
use crate::head::Comparison;
use crate::head::Head;

/// Most sessions that are kept in mind.
const MAX_SESSIONS: usize = 1024;
/// Peers that a new configuration is announced to at once.
const FIRST_WAVE: usize = 16;
/// Most peers of one wave.
const MAX_WAVE: usize = 64;
/// Time between two announcements to a peer that still says it has an older one.
const ANNOUNCE_GAP: Duration = Duration::from_secs(1);
/// Time that a peer which was busy or silent is not asked.
const PEER_BACKOFF: Duration = Duration::from_millis(500);

#[derive(Clone, Debug, Default)]
struct Session {
    head: Option<Head>,
    heard: Option<Monotonic>,
    announced: Option<Monotonic>,
    backs_off_until: Monotonic,
}

/// All peers with a session up.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    peers: BTreeMap<InstanceId, Session>,
    wave: usize,
}

impl Sessions {
    pub(crate) fn up(&mut self, peer: InstanceId) {
        if self.peers.len() < MAX_SESSIONS {
            self.peers.entry(peer).or_default();
        }
    }

    pub(crate) fn down(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Records what a peer says it has.
    pub(crate) fn heard(&mut self, peer: &InstanceId, head: Option<Head>, now: Monotonic) {
        self.up(peer.clone());
        if let Some(session) = self.peers.get_mut(peer) {
            session.head = head;
            session.heard = Some(now);
        }
    }

    /// Forgets what peers said, as after a pause.
    pub(crate) fn reset(&mut self) {
        for session in self.peers.values_mut() {
            *session = Session::default();
        }
    }

    /// Returns whether any peer was heard within `bound`.
    pub(crate) fn any_heard(&self, now: Monotonic, bound: Duration) -> bool {
        let mut sessions = self.peers.values();
        sessions.any(|session| {
            let heard = session.heard.map(|heard| heard + bound);
            heard.is_some_and(|until| until > now)
        })
    }

    pub(crate) fn back_off(&mut self, peer: &str, now: Monotonic) {
        if let Some(session) = self.peers.get_mut(peer) {
            session.backs_off_until = now + PEER_BACKOFF;
        }
    }

    /// Returns a peer that says it has a newer configuration worth fetching.
    pub(crate) fn ahead(
        &self,
        acceptance: &Acceptance,
        now: Monotonic,
        rng: &mut impl Rng,
    ) -> Option<InstanceId> {
        let ahead = self.peers.iter().filter(|(_, session)| {
            let wanted = session.head.as_ref().map(|head| acceptance.wants(head));
            wanted == Some(true) && session.backs_off_until <= now
        });
        ahead.map(|(peer, _)| peer.clone()).choose(rng)
    }

    /// Returns whether any peer says it has a newer configuration worth fetching.
    pub(crate) fn any_ahead(&self, acceptance: &Acceptance) -> bool {
        let mut heads = self
            .peers
            .values()
            .filter_map(|session| session.head.as_ref());
        heads.any(|head| acceptance.wants(head))
    }

    /// Returns any peer that does not rest.
    pub(crate) fn any_available(&self, now: Monotonic, rng: &mut impl Rng) -> Option<InstanceId> {
        let available = self
            .peers
            .iter()
            .filter(|(_, session)| session.backs_off_until <= now);
        available.map(|(peer, _)| peer.clone()).choose(rng)
    }

    /// Starts the waves for a configuration that has just come into force.
    pub(crate) fn start_waves(&mut self) {
        self.wave = FIRST_WAVE;
        for session in self.peers.values_mut() {
            session.announced = None;
        }
    }

    /// Returns the peers of the next wave: some that are not known to have `head`.
    pub(crate) fn next_wave(
        &mut self,
        head: &Head,
        now: Monotonic,
        rng: &mut impl Rng,
    ) -> Vec<InstanceId> {
        if self.wave == 0 {
            return Vec::new();
        }
        let behind = self.peers.iter().filter(|(_, session)| {
            let behind = session
                .head
                .as_ref()
                .is_none_or(|known| head.compare(Some(known)) == Comparison::Newer);
            behind && session.announced.is_none()
        });
        let names = behind.map(|(peer, _)| peer.clone());
        let chosen = names.choose_multiple(rng, self.wave);
        for peer in &chosen {
            if let Some(session) = self.peers.get_mut(peer) {
                session.announced = Some(now);
            }
        }
        let is_last = chosen.len() < self.wave;
        self.wave = if is_last {
            0
        } else {
            (self.wave * 2).min(MAX_WAVE)
        };
        chosen
    }

    /// Returns whether a peer that has just said it is behind should be told now.
    pub(crate) fn try_announce(&mut self, peer: &str, now: Monotonic) -> bool {
        let Some(session) = self.peers.get_mut(peer) else {
            return false;
        };
        let recent = session.announced.map(|at| at + ANNOUNCE_GAP);
        if recent.is_some_and(|until| until > now) {
            return false;
        }
        session.announced = Some(now);
        true
    }
}
