//! Agreement among gateways on which missing upstreams are gone.
//!
//! Entries may lapse while the store is unavailable, and live upstreams write theirs again soon
//! afterwards. A gateway that lost the store therefore keeps missing upstreams for a while. If only
//! this gateway lost it, no entry lapsed and the upstreams have left. Others that had the store all
//! the time can tell: each reports the revision up to which its list is settled. A majority of those
//! asked must agree, because a single one may not have noticed a short outage.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use auburnline_core::time::Monotonic;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::Gateway;
use crate::spread::Revision;
use crate::upstream::Change;

/// Gateways asked at once.
const MAX_ASKED: usize = 5;

/// Question up to which revision the receiver's list is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Sequence number assigned by the sender, returned in the [`Reply`].
    pub number: u64,
}

/// Reply to a [`Query`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Number of the query.
    pub number: u64,
    /// Revision up to which upstreams that are missing are gone; `None` if the sender lost the store
    /// itself or has known it for too short a time.
    pub settled: Option<Revision>,
}

/// Replies to the newest query, and what they agreed on so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Agreement {
    number: u64,
    asked: Vec<SocketAddr>,
    replies: BTreeMap<SocketAddr, Revision>,
    /// Revision up to which upstreams that are missing are gone.
    until: Option<Revision>,
}

impl Agreement {
    fn ask(&mut self, asked: Vec<SocketAddr>) -> Query {
        self.number += 1;
        self.asked = asked;
        self.replies.clear();
        Query {
            number: self.number,
        }
    }

    /// Applies a reply; returns the revision if a majority agrees on a newer one.
    fn apply(&mut self, reply: Reply, from: SocketAddr) -> Option<Revision> {
        if reply.number != self.number || !self.asked.contains(&from) {
            return None;
        }
        self.replies.insert(from, reply.settled?);
        let mut settled: Vec<Revision> = self.replies.values().copied().collect();
        settled.sort_unstable_by(|one, other| other.cmp(one));
        let majority = self.asked.len() / 2;
        let agreed = settled.get(majority).copied();
        let newer = agreed.filter(|agreed| Some(*agreed) > self.until)?;
        self.until = Some(newer);
        Some(newer)
    }
}

impl Gateway {
    /// Returns the question for other gateways if this one keeps missing upstreams, and whom to
    /// ask.
    pub fn ask_settled(
        &mut self,
        now: Monotonic,
        rng: &mut impl Rng,
    ) -> Option<(Query, Vec<SocketAddr>)> {
        if !self.pool.has_missing_after(self.agreement.until) {
            return None;
        }
        let asked = self.roster.sample(MAX_ASKED, now, rng);
        let query = self.agreement.ask(asked.clone());
        Some((query, asked))
    }

    /// Replies to another gateway's question.
    #[must_use]
    pub fn reply_settled(&self, query: Query, now: Monotonic) -> Reply {
        let is_settled = self.freshness.is_settled(now);
        Reply {
            number: query.number,
            settled: self.spread.revision().filter(|_| is_settled),
        }
    }

    /// Applies the reply of the gateway at `from`; returns the revision up to which missing
    /// upstreams are now known to be gone, if it is a newer one.
    pub fn apply_settled(&mut self, reply: Reply, from: SocketAddr) -> Option<Revision> {
        self.agreement.apply(reply, from)
    }

    /// Removes the upstreams that are missing from the list and gone: all of them, or while entries
    /// may have lapsed those on which other gateways agree.
    pub fn expire(&mut self, now: Monotonic) -> Vec<Change> {
        let may_lack_entries = self.freshness.may_lack_entries(now);
        let removed = if may_lack_entries {
            self.pool.expire_until(self.agreement.until)
        } else {
            self.pool.expire()
        };
        debug_assert!(
            may_lack_entries || !self.pool.has_missing_after(None),
            "upstream kept although it is missing and its entry did not lapse"
        );
        removed
    }
}
