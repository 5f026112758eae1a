//! Whether the configuration in force is the newest that any gateway has.
//!
//! A store that came back from a copy may hold an older configuration for a while than it acknowledged, and a gateway that
//! starts then knows no other one. So gateways tell each other which version they serve by; one that serves by an older one than
//! another gateway asks that one, and takes what the store says for up to date only once it has caught up. One that just started first
//! waits for the word of another one, if there may be any.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::gateway::Gateway;
use crate::knowledge;
use crate::neighbour::PERIOD;

/// Time after the start for which a gateway waits for the word of another one: two beats, of which one may be lost. Those that
/// live reply to the first one at once.
const INTRODUCTION: Duration = Duration::from_millis(600);
/// Time for which a gateway that is behind waits for the readers of the store, who tell most configurations sooner.
const TOLD_WITHIN: Duration = Duration::from_millis(900);

impl Gateway {
    /// Returns whom to ask for a newer configuration; none if no other gateway is ahead, or the store or its readers may still
    /// tell it. All gateways that start at once read the store at once, and a configuration is the longest message.
    pub fn catch_up(&mut self, now: Monotonic) -> Option<SocketAddr> {
        let Some(ahead) = self.ahead(now) else {
            self.behind_since = None;
            return None;
        };
        let since = *self.behind_since.get_or_insert(now);
        let waits_to_serve = self.knowledge.age(now).is_none() && self.unconfirmed.is_some();
        let is_told_late = now.saturating_sub(since) >= TOLD_WITHIN;
        let is_asked = self
            .asked_ahead
            .is_some_and(|at| now.saturating_sub(at) < PERIOD);
        if is_asked || !(waits_to_serve || is_told_late) {
            return None;
        }
        self.asked_ahead = Some(now);
        Some(ahead)
    }

    /// Returns the address of a gateway that serves by a newer version than this one.
    fn ahead(&self, now: Monotonic) -> Option<SocketAddr> {
        let (newest, address) = self.roster.newest(now)?;
        (Some(newest) > self.version()).then_some(address)
    }

    /// Takes that nothing of the store older than `known_at` is unknown. It counts once no other gateway is ahead.
    pub fn confirm(&mut self, known_at: Monotonic, now: Monotonic) -> knowledge::Change {
        self.unconfirmed = self.unconfirmed.max(Some(known_at));
        self.settle(now)
    }

    /// Takes what was confirmed and had to wait for the word of another gateway, if it need not any longer.
    pub fn settle(&mut self, now: Monotonic) -> knowledge::Change {
        if self.unconfirmed.is_none() || !self.is_introduced(now) || self.ahead(now).is_some() {
            return knowledge::Change::None;
        }
        let known_at = self.unconfirmed.take();
        known_at.map_or(knowledge::Change::None, |known_at| {
            self.knowledge.confirm(known_at, now)
        })
    }

    fn is_introduced(&self, now: Monotonic) -> bool {
        now >= INTRODUCTION || self.roster.has_heard() || !self.roster.has_seeds()
    }
}
