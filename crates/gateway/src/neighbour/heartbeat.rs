//! Which heartbeats a gateway sends, and to which others.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use rand::Rng;
use rand::seq::IteratorRandom as _;

use super::Roster;
use super::count;
use super::peer::Peer;
use crate::message::Entry;
use crate::message::Heartbeat;
use crate::upstream::Counts;

/// Receivers of one heartbeat; bounded so that a gateway's cost does not grow with the fleet.
const FANOUT: usize = 6;
/// Those of them in the gateway's own failure domain, if there are as many. Traffic between failure
/// domains costs more, and two links a gateway carry news between them fast enough.
const LOCAL_FANOUT: usize = 4;
/// Maximum other gateways that a heartbeat describes, so that it fits into one frame of a link.
const MAX_RELAYED: usize = 12;
/// Entries that a heartbeat describes at least, changed or not.
const MIN_RELAYED: usize = 2;
/// Time for which heartbeats describe a gateway after its state has changed; several of its
/// receivers pass the change on meanwhile.
const CHANGE_TIME: Duration = Duration::from_secs(2);
/// Heartbeats between two that also go to the seeds, which may have been down before.
const SEED_HEARTBEATS: u64 = 6;

impl Roster {
    /// Creates the next heartbeat, and removes gateways without news for a long time.
    pub fn next_heartbeat(
        &mut self,
        counts: Counts,
        now: Monotonic,
        rng: &mut impl Rng,
    ) -> Heartbeat {
        self.own_entry.heartbeats += 1;
        self.forget_silent(now);
        self.update_size(0, now);
        Heartbeat {
            others: self.relayed(now, rng),
            ..self.own_heartbeat(counts, now)
        }
    }

    /// Returns the last heartbeat without gossip about others, for a gateway that lends to this
    /// one.
    #[must_use]
    pub fn own_heartbeat(&self, counts: Counts, now: Monotonic) -> Heartbeat {
        Heartbeat {
            from: self.own_entry.clone(),
            counts,
            others: Vec::new(),
            members: count(self.members(now)),
        }
    }

    /// Returns the entries of some live gateways: those that have just changed, and a few others.
    fn relayed(&self, now: Monotonic, rng: &mut impl Rng) -> Vec<Entry> {
        let (changed, same): (Vec<&Peer>, Vec<&Peer>) = self
            .live_peers(now)
            .partition(|known| now.saturating_sub(known.changed) < CHANGE_TIME);
        let changed = changed.into_iter().choose_multiple(rng, MAX_RELAYED);
        let more = MIN_RELAYED.saturating_sub(changed.len());
        let same = same.into_iter().choose_multiple(rng, more);
        let relayed = changed.into_iter().chain(same);
        relayed.map(|known| known.entry.clone()).collect()
    }

    /// Returns the last heartbeat with gossip about some others, for a gateway that started or came
    /// back.
    pub fn join_reply(&self, now: Monotonic, rng: &mut impl Rng) -> Heartbeat {
        let relayed = self.live_peers(now).choose_multiple(rng, MAX_RELAYED);
        Heartbeat {
            others: relayed
                .into_iter()
                .map(|known| known.entry.clone())
                .collect(),
            ..self.own_heartbeat(Counts::new(), now)
        }
    }

    /// Returns the addresses to send the next heartbeat to.
    pub fn targets(&self, now: Monotonic, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let mut targets = self.sample_near(now, rng);
        let is_isolated = targets.len() < FANOUT / 2;
        if is_isolated || self.own_entry.heartbeats.is_multiple_of(SEED_HEARTBEATS) {
            targets.extend(self.other_seeds());
        }
        if is_isolated {
            // After a network partition the seeds may be gone while other known gateways are
            // reachable.
            let known = self.others.values().map(|known| known.entry.peers);
            targets.extend(known.choose_multiple(rng, FANOUT));
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Returns the peer addresses of [`FANOUT`] other live gateways, most of them in the own failure
    /// domain.
    fn sample_near(&self, now: Monotonic, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let (near, far): (Vec<&Peer>, Vec<&Peer>) = self
            .live_peers(now)
            .partition(|known| known.entry.failure_domain == self.own_entry.failure_domain);
        let far_count = far.len().min(FANOUT - LOCAL_FANOUT.min(near.len()));
        let near = near.into_iter().choose_multiple(rng, FANOUT - far_count);
        let far = far.into_iter().choose_multiple(rng, far_count);
        let targets = near.into_iter().chain(far);
        targets.map(|known| known.entry.peers).collect()
    }

    /// Returns the peer addresses of other live gateways, at most `most`, selected at random.
    pub(crate) fn sample(
        &self,
        most: usize,
        now: Monotonic,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let addresses = self.live_peers(now).map(|known| known.entry.peers);
        addresses.choose_multiple(rng, most)
    }
}
