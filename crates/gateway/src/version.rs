//! Detects that another gateway has a newer configuration in force than this one.
//!
//! A store restored from a backup may for a while hold an older configuration than one it had
//! acknowledged. A gateway that starts then knows no other, and one that was suspended or
//! disconnected has missed the writes that the store lost. Therefore gateways gossip the version
//! that each has in force. A gateway that is behind requests the newer configuration from one that
//! has it, and treats the state read from the store as current only once it has caught up. A
//! gateway that just started or came back first waits for a message of another one, if there may be
//! any.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use rand::Rng;

use crate::freshness;
use crate::gateway::Gateway;
use crate::message::Heartbeat;
use crate::neighbour::HEARTBEAT_PERIOD;
use crate::neighbour::NEWS_TIMEOUT;

/// Time that a starting or returning gateway waits for a message of another one: two heartbeats, of
/// which one may be lost. Receivers of its own first heartbeat reply immediately.
const PEER_WAIT: Duration = Duration::from_millis(600);
/// Time that a gateway which is behind waits for a reader of the store to send the configuration,
/// as usually happens.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(900);

/// Time after its start for which a gateway waits for the configuration that comes with the list.
const START_WAIT: Duration = Duration::from_millis(50);

/// Whether and since when this gateway may be behind others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lag {
    /// As of when the state is known, while that is not confirmed since another gateway may be
    /// ahead.
    unconfirmed: Option<Monotonic>,
    /// As of when the state was last known, confirmed or not.
    known_at: Option<Monotonic>,
    /// Since when no other gateway has reported its version.
    uninformed_since: Option<Monotonic>,
    /// Since when another gateway has been ahead.
    behind_since: Option<Monotonic>,
    /// When a gateway that is ahead was last asked.
    asked_ahead: Option<Monotonic>,
}

impl Lag {
    /// Returns the time as of which the state is known, confirmed or not.
    pub(crate) const fn known_at(&self) -> Option<Monotonic> {
        self.known_at
    }
}

impl Default for Lag {
    /// Returns the state of a gateway that just started.
    fn default() -> Lag {
        Lag {
            unconfirmed: None,
            known_at: None,
            uninformed_since: Some(Monotonic::ZERO),
            behind_since: None,
            asked_ahead: None,
        }
    }
}

impl Gateway {
    /// Returns the gateway to request a newer configuration from; `None` if no other one is ahead,
    /// or the store or its readers may still send it. A gateway that awaits the list from others
    /// requests it soon, because those that have it may stop meanwhile.
    pub fn catch_up(&mut self, now: Monotonic) -> Option<SocketAddr> {
        let Some(ahead) = self.ahead(now) else {
            self.lag.behind_since = None;
            return None;
        };
        let since = *self.lag.behind_since.get_or_insert(now);
        let is_late = now.saturating_sub(since) >= CONFIGURATION_WAIT;
        let asked = self.lag.asked_ahead;
        let is_asked = asked.is_some_and(|at| now.saturating_sub(at) < HEARTBEAT_PERIOD);
        let is_starting = self.version().is_none() && self.awaits_transfer(now);
        let is_start_late = is_starting && now >= START_WAIT;
        if is_asked || !(is_start_late || self.awaits_peers(now) || is_late) {
            return None;
        }
        self.lag.asked_ahead = Some(now);
        Some(ahead)
    }

    /// Returns whether this gateway has read the store and doesn't serve yet because another one
    /// may be ahead.
    #[must_use]
    pub fn awaits_peers(&self, now: Monotonic) -> bool {
        self.lag.unconfirmed.is_some() && !self.freshness.is_fresh(now)
    }

    /// Returns the reply to the heartbeat of a gateway that started or came back. It reports this
    /// gateway as not ready if its knowledge is outdated: after a suspension the roster may still
    /// say ready.
    #[must_use]
    pub fn join_reply(&self, now: Monotonic, rng: &mut impl Rng) -> Heartbeat {
        let mut heartbeat = self.roster.join_reply(now, rng);
        heartbeat.from.is_ready &= self.can_serve(now);
        heartbeat
    }

    /// Returns the address of a gateway whose version is newer than this one's.
    fn ahead(&self, now: Monotonic) -> Option<SocketAddr> {
        let (newest, address) = self.roster.newest_version(now)?;
        (Some(newest) > self.version()).then_some(address)
    }

    /// Records that the state of the store is known as of `known_at`. It takes effect once no other
    /// gateway is ahead; that the store answers counts at once.
    pub fn confirm(&mut self, known_at: Monotonic, now: Monotonic) -> freshness::Change {
        let before = self.lag.known_at;
        // Messages received before a gap, or queued in the socket during it, don't show which
        // version others have in force now.
        if before.is_some_and(|before| known_at.saturating_sub(before) >= NEWS_TIMEOUT) {
            self.roster.ignore_until(now);
            self.freshness.record_gap(now);
            self.lag.uninformed_since = None;
        }
        self.lag.known_at = before.max(Some(known_at));
        self.lag.unconfirmed = self.lag.unconfirmed.max(Some(known_at));
        let change = self.freshness.record_answer(known_at, now);
        self.confirm_pending(now);
        change
    }

    /// Confirms the recorded knowledge once it no longer has to wait for other gateways.
    pub fn confirm_pending(&mut self, now: Monotonic) {
        let Some(known_at) = self.lag.unconfirmed else {
            return;
        };
        if !self.has_heard_peers(now) || self.ahead(now).is_some() {
            return;
        }
        self.lag.unconfirmed = None;
        self.freshness.record_success(known_at, now);
    }

    /// Returns whether another gateway has reported its version, or the time to wait for that has
    /// passed.
    fn has_heard_peers(&mut self, now: Monotonic) -> bool {
        if self.roster.is_view_current(now) {
            self.lag.uninformed_since = None;
            return true;
        }
        let since = *self.lag.uninformed_since.get_or_insert(now);
        now.saturating_sub(since) >= PEER_WAIT
    }
}
