//! Shares of the weight store's rate, over all groups, without shared state.
//!
//! Each published group owns an equal share of the rate, so that the sum is right by construction.
//! A group that loads nothing lends its share to the broker, one slot by rendezvous order, for a term;
//! the broker grants what it was lent to groups that load, and no longer than the loans run. A group
//! lends to one broker at a time and leaves its share alone until the loan has run out on its own
//! clock, so neither a second broker, nor a partition, nor a restart raises the sum. What is lent to a
//! broker that dies lies idle for a term.
//!
//! The broker asks for loans and borrowers ask for leases; whoever asks counts the term from its
//! question, whoever answers from its answer. So a term ends first where it is used, however long
//! messages take. A borrower lets go of its lease when it asks for the next one.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::id::GroupId;
use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;

/// Time for which a share is lent.
pub const TERM: Duration = Duration::from_secs(4);
/// Time that the lender adds for clocks of unlike speed.
pub const MARGIN: Duration = Duration::from_millis(200);
/// Most loans and grants that a broker keeps.
pub const MAX_LOANS: usize = 1_024;

/// Bytes a second.
pub type Rate = u64;

/// Returns one group's own share of `rate`.
#[must_use]
pub const fn equal_share(rate: Rate, groups: usize) -> Rate {
    match groups as u64 {
        0 => 0,
        groups => rate / groups,
    }
}

/// One incarnation of a broker; its successor has none of the loans.
pub type Broker = (InstanceId, Incarnation);

/// A group's own share: in use by itself, or lent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    lent_until: Monotonic,
    broker: Option<Broker>,
}

impl Share {
    /// Returns a share after a start at `now`: an earlier incarnation may have lent it.
    #[must_use]
    pub fn new(now: Monotonic) -> Share {
        Share {
            lent_until: now + TERM + MARGIN,
            broker: None,
        }
    }

    /// Whether the group may use its own share itself.
    #[must_use]
    pub fn is_free(&self, now: Monotonic) -> bool {
        now >= self.lent_until
    }

    /// Lends the share to `broker`, which has requested_at; returns whether it may be sent.
    ///
    /// A loan that still runs can only be renewed with the same broker.
    pub fn lend(&mut self, broker: &Broker, now: Monotonic) -> bool {
        if !self.is_free(now) && self.broker.as_ref() != Some(broker) {
            return false;
        }
        self.lent_until = now + TERM + MARGIN;
        self.broker = Some(broker.clone());
        true
    }
}

/// What the broker was lent, and to whom it granted it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    loans: BTreeMap<GroupId, Monotonic>,
    grants: BTreeMap<GroupId, Grant>,
}

/// A part of the lent shares, in the hands of one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Grant {
    shares: usize,
    until: Monotonic,
    sequence: u64,
}

/// The broker's answer to a group that loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Shares beside the group's own.
    pub shares: usize,
    /// Time from the group's question for which they hold.
    pub term: Duration,
}

impl Pool {
    /// Takes a loan that the broker requested_at for at `requested_at`.
    pub fn add_loan(&mut self, group: GroupId, requested_at: Monotonic, now: Monotonic) {
        self.expire(now);
        if self.loans.len() < MAX_LOANS || self.loans.contains_key(&group) {
            let until = requested_at + TERM;
            let held = self.loans.get(&group).copied().unwrap_or_default();
            self.loans.insert(group, until.max(held));
        }
    }

    /// Grants `group` an even part of the lent shares among all that ask.
    ///
    /// `sequence` grows with each question of a group. `None` answers a late or doubled question,
    /// or one too many.
    pub fn request_lease(
        &mut self,
        group: GroupId,
        sequence: u64,
        now: Monotonic,
    ) -> Option<Lease> {
        self.expire(now);
        match self.grants.get(&group) {
            Some(held) if held.sequence >= sequence => return None,
            None if self.grants.len() >= MAX_LOANS => return None,
            _ => self.grants.remove(&group),
        };
        let askers = self.grants.len() + 1;
        let granted: usize = self.grants.values().map(|grant| grant.shares).sum();
        let free = self.loans.len().saturating_sub(granted);
        let shares = free.min(self.loans.len().div_ceil(askers));
        let until = self.term_of(shares + granted).unwrap_or(now);
        let grant = Grant {
            shares,
            until,
            sequence,
        };
        self.grants.insert(group, grant);
        let term = until.saturating_sub(now);
        Some(Lease { shares, term })
    }

    /// Returns when fewer than `shares` loans will be left: the end of all grants up to then.
    fn term_of(&self, shares: usize) -> Option<Monotonic> {
        let mut ends: Vec<Monotonic> = self.loans.values().copied().collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(shares.checked_sub(1)?).copied()
    }

    fn expire(&mut self, now: Monotonic) {
        self.loans.retain(|_, until| *until > now);
        self.grants.retain(|_, grant| grant.until > now);
    }
}
