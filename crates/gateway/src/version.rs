//! Whether the configuration in force is the newest that any gateway has.
//!
//! A store that came back from a copy may hold an older configuration for a while than it acknowledged. A gateway that
//! starts then knows no other one, and one that stood still or was cut off missed what the store lost. So gateways tell each other
//! which version they serve by; one that serves by an older one than another gateway asks that one, and takes what the store says for up to
//! date only once it has caught up. One that just started or came back first waits for the word of another one, if there may be any.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use rand::Rng;

use crate::gateway::Gateway;
use crate::knowledge;
use crate::message::Beat;
use crate::neighbour::LIFE;
use crate::neighbour::PERIOD;

/// Time for which a gateway that starts or comes back waits for the word of another one: two beats, of which one may be lost. Whoever
/// hears the first one replies at once.
const INTRODUCTION: Duration = Duration::from_millis(600);
/// Time for which a gateway that is behind waits for the readers of the store, who tell most configurations sooner.
const TOLD_WITHIN: Duration = Duration::from_millis(900);

/// How far this gateway may be behind others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lag {
    /// As of when all is known once no other gateway is ahead.
    unconfirmed: Option<Monotonic>,
    /// As of when all was known last, confirmed or not.
    known_at: Option<Monotonic>,
    /// Since when nobody tells what others serve by.
    uninformed_since: Option<Monotonic>,
    /// Since when another gateway is ahead.
    behind_since: Option<Monotonic>,
    /// When one that is ahead was asked last.
    asked_ahead: Option<Monotonic>,
}

impl Default for Lag {
    /// Returns that of a gateway that just started.
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
    /// Returns whom to ask for a newer configuration; none if no other gateway is ahead, or the store or its readers may still
    /// tell it. All gateways that start at once read the store at once, and a configuration is the longest message.
    pub fn catch_up(&mut self, now: Monotonic) -> Option<SocketAddr> {
        let Some(ahead) = self.ahead(now) else {
            self.lag.behind_since = None;
            return None;
        };
        let since = *self.lag.behind_since.get_or_insert(now);
        let is_told_late = now.saturating_sub(since) >= TOLD_WITHIN;
        let asked = self.lag.asked_ahead;
        let is_asked = asked.is_some_and(|at| now.saturating_sub(at) < PERIOD);
        if is_asked || !(self.waits_to_serve(now) || is_told_late) {
            return None;
        }
        self.lag.asked_ahead = Some(now);
        Some(ahead)
    }

    /// Returns whether this gateway has read the store and does not serve, since another one may be ahead.
    #[must_use]
    pub fn waits_to_serve(&self, now: Monotonic) -> bool {
        self.lag.unconfirmed.is_some() && !self.knowledge.is_fresh(now)
    }

    /// Returns what a gateway that is back is told. One that stood still itself may not know yet that it serves no longer.
    #[must_use]
    pub fn introduction(&self, now: Monotonic, rng: &mut impl Rng) -> Beat {
        let mut beat = self.roster.introduction(now, rng);
        beat.from.is_ready &= self.is_able(now);
        beat
    }

    /// Returns the address of a gateway that serves by a newer version than this one.
    fn ahead(&self, now: Monotonic) -> Option<SocketAddr> {
        let (newest, address) = self.roster.newest_version(now)?;
        (Some(newest) > self.version()).then_some(address)
    }

    /// Takes that nothing of the store older than `known_at` is unknown. It counts once no other gateway is ahead.
    pub fn confirm(&mut self, known_at: Monotonic, now: Monotonic) -> knowledge::Change {
        let before = self.lag.known_at;
        // What was heard before a gap, or waited in the socket during it, tells nothing of what others serve by now.
        if before.is_some_and(|before| known_at.saturating_sub(before) >= LIFE) {
            self.roster.ignore_until(now);
            self.lag.uninformed_since = None;
        }
        self.lag.known_at = before.max(Some(known_at));
        self.lag.unconfirmed = self.lag.unconfirmed.max(Some(known_at));
        self.settle(now)
    }

    /// Takes what was confirmed and had to wait for the word of another gateway, if it need not any longer.
    pub fn settle(&mut self, now: Monotonic) -> knowledge::Change {
        let Some(known_at) = self.lag.unconfirmed else {
            return knowledge::Change::None;
        };
        if !self.is_introduced(now) || self.ahead(now).is_some() {
            return knowledge::Change::None;
        }
        self.lag.unconfirmed = None;
        self.knowledge.confirm(known_at, now)
    }

    /// Returns whether another gateway told what it serves by, or there was time enough for that.
    fn is_introduced(&mut self, now: Monotonic) -> bool {
        if self.roster.is_view_current(now) {
            self.lag.uninformed_since = None;
            return true;
        }
        let since = *self.lag.uninformed_since.get_or_insert(now);
        now.saturating_sub(since) >= INTRODUCTION
    }
}
