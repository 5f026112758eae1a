//! Sharing of the weight store's rate limit among all groups, without shared state.
//!
//! Each published group owns an equal share of the rate, so the sum never exceeds the rate. A group
//! that loads no weights lends its share for a term to the broker, one slot chosen by rendezvous
//! hashing. The broker grants the shares lent to it to groups that load, for no longer than the loans
//! last. A group lends to one broker at a time and does not use its share until the loan has expired
//! by its own clock, so neither a second broker, nor a partition, nor a restart raises the sum. Shares
//! lent to a broker that dies stay unused for a term.
//!
//! The broker requests loans, and borrowers request leases. The requester counts the term from its
//! request, the other side from its reply. The term therefore ends first where the share is used,
//! however long messages take. A borrower gives up its lease when it requests the next one.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::id::GroupId;
use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;

/// Time for which a share is lent, as the broker counts it.
pub const LOAN_TERM: Duration = Duration::from_secs(4);
/// Time that the lender adds to the term, as clocks run at different speeds.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(200);
/// Maximum number of loans, and of grants, in a broker's pool.
pub const MAX_LOANS: usize = 1_024;

/// Bytes per second.
pub type Rate = u64;

/// Returns one group's own share of `rate`, rounded down; 0 if there are no groups.
#[must_use]
pub const fn equal_share(rate: Rate, groups: usize) -> Rate {
    match groups as u64 {
        0 => 0,
        groups => rate / groups,
    }
}

/// One incarnation of a broker; the next one starts without its loans.
pub type Broker = (InstanceId, Incarnation);

/// A group's own share, which the group uses itself or has lent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    lent_until: Monotonic,
    broker: Option<Broker>,
}

impl Share {
    /// Returns a share after a start at `now`. It counts as lent for a term, since an earlier
    /// incarnation may have lent it.
    #[must_use]
    pub fn new(now: Monotonic) -> Share {
        Share {
            lent_until: now + LOAN_TERM + CLOCK_MARGIN,
            broker: None,
        }
    }

    /// Returns whether the group may use its own share itself.
    #[must_use]
    pub fn is_free(&self, now: Monotonic) -> bool {
        now >= self.lent_until
    }

    /// Lends the share to `broker`, which has requested it; returns whether the loan may be sent.
    ///
    /// A loan that has not expired can be renewed for the same broker only.
    pub fn lend(&mut self, broker: &Broker, now: Monotonic) -> bool {
        if !self.is_free(now) && self.broker.as_ref() != Some(broker) {
            return false;
        }
        self.lent_until = now + LOAN_TERM + CLOCK_MARGIN;
        self.broker = Some(broker.clone());
        true
    }
}

/// Shares lent to a broker, and its grants of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    loans: BTreeMap<GroupId, Monotonic>,
    grants: BTreeMap<GroupId, Grant>,
}

/// Part of the lent shares that one group has been granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Grant {
    shares: usize,
    until: Monotonic,
    sequence: u64,
}

/// Reply of a broker to a group that loads weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Number of shares in addition to the group's own.
    pub shares: usize,
    /// Time for which the shares are granted, counted from the group's request.
    pub term: Duration,
}

impl Pool {
    /// Adds or renews the loan of `group`, which the broker requested at `requested_at`. A new loan above
    /// [`MAX_LOANS`] is dropped.
    pub fn add_loan(&mut self, group: GroupId, requested_at: Monotonic, now: Monotonic) {
        self.expire(now);
        if self.loans.len() < MAX_LOANS || self.loans.contains_key(&group) {
            let until = requested_at + LOAN_TERM;
            let held = self.loans.get(&group).copied().unwrap_or_default();
            self.loans.insert(group, until.max(held));
        }
    }

    /// Grants `group` up to an equal part of the lent shares among all borrowers.
    ///
    /// `sequence` grows with each request of a group. Returns `None` for a delayed or duplicated
    /// request, and for a new borrower above [`MAX_LOANS`] grants.
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
        let borrowers = self.grants.len() + 1;
        let granted: usize = self.grants.values().map(|grant| grant.shares).sum();
        let free = self.loans.len().saturating_sub(granted);
        let shares = free.min(self.loans.len().div_ceil(borrowers));
        let until = self.loans_end(shares + granted).unwrap_or(now);
        let grant = Grant {
            shares,
            until,
            sequence,
        };
        self.grants.insert(group, grant);
        let term = until.saturating_sub(now);
        Some(Lease { shares, term })
    }

    /// Returns when fewer than `shares` loans will be left, which is when a grant that brings the sum to
    /// `shares` has to end; `None` if there are fewer already.
    fn loans_end(&self, shares: usize) -> Option<Monotonic> {
        let mut ends: Vec<Monotonic> = self.loans.values().copied().collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(shares.checked_sub(1)?).copied()
    }

    fn expire(&mut self, now: Monotonic) {
        self.loans.retain(|_, until| *until > now);
        self.grants.retain(|_, grant| grant.until > now);
    }
}
