//! Peers with a session up, and the head that each is known to have in force.
//!
//! A new configuration is announced in waves of doubling size: some peers at once, more with each
//! tick. By the time of a later wave, most of the remaining peers have received it from others and
//! reported its head, and get no announcement.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::acceptance::Acceptance;
use crate::head::Comparison;
use crate::head::Head;

/// Maximum number of sessions that are tracked.
const MAX_SESSIONS: usize = 1024;
/// Number of peers to which a new configuration is announced at once.
const FIRST_WAVE: usize = 16;
/// Maximum number of peers in one wave.
const MAX_WAVE: usize = 64;
/// Shortest time between two announcements to a peer that still reports an older configuration.
const ANNOUNCE_GAP: Duration = Duration::from_secs(1);
/// Time for which a peer that was busy or did not answer isn't asked again.
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

    /// Records the head that a peer reports, and that the peer was heard from.
    pub(crate) fn heard(&mut self, peer: &InstanceId, head: Option<Head>, now: Monotonic) {
        self.up(peer.clone());
        if let Some(session) = self.peers.get_mut(peer) {
            session.head = head;
            session.heard = Some(now);
        }
    }

    /// Discards what is known of the peers, which may be outdated after a pause; the sessions stay.
    pub(crate) fn reset(&mut self) {
        for session in self.peers.values_mut() {
            *session = Session::default();
        }
    }

    /// Returns whether any peer was heard from within the last `bound`.
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

    /// Returns a random peer that reports a configuration worth fetching and isn't backed off from.
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

    /// Returns whether any peer reports a configuration worth fetching.
    pub(crate) fn any_ahead(&self, acceptance: &Acceptance) -> bool {
        let mut heads = self
            .peers
            .values()
            .filter_map(|session| session.head.as_ref());
        heads.any(|head| acceptance.wants(head))
    }

    /// Returns a random peer that isn't backed off from.
    pub(crate) fn any_available(&self, now: Monotonic, rng: &mut impl Rng) -> Option<InstanceId> {
        let available = self
            .peers
            .iter()
            .filter(|(_, session)| session.backs_off_until <= now);
        available.map(|(peer, _)| peer.clone()).choose(rng)
    }

    /// Starts the announcements of a configuration that has just been put in force.
    pub(crate) fn start_waves(&mut self) {
        self.wave = FIRST_WAVE;
        for session in self.peers.values_mut() {
            session.announced = None;
        }
    }

    /// Returns the peers of the next wave: a random choice of those not known to have `head`.
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

    /// Returns whether to send an announcement to a peer that has just reported an older head; if
    /// so, records it as sent.
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
