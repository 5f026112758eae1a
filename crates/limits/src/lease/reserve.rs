//! Reserve of each limit that an entry may spend without a grant.
//!
//! Homes grant all of a limit but a small fraction. That fraction is split evenly over the published
//! entries. An entry that gets nothing for a workspace from its home, because the home is unreachable
//! or has few tokens left, spends its own share of the reserve. The shares of the reserve and the
//! homes' shares add up to the limit, so entries need not agree on which of them are live, and an
//! entry that is cut off from every home still serves each workspace at a low rate.

use std::collections::BTreeMap;

use auburnline_core::id::WorkspaceId;
use auburnline_core::time::Monotonic;

use super::Limit;
use super::Settings;
use super::account::Account;
use super::account::MAX_ACCOUNTS;
use super::share::Share;

/// Homes don't grant one sixteenth of each limit. A workspace whose entries all reach their home loses at most
/// this fraction, and it is enough to keep serving at a low rate where no entry reaches a home.
const RESERVE_DIVISOR: u64 = 16;

/// Returns the share of limits that a home may grant, less the reserve, given its share of the published
/// entries.
pub(super) const fn grantable(share_ppm: u64) -> u64 {
    share_ppm - share_ppm / RESERVE_DIVISOR
}

/// An entry's share of the reserve of all limits.
#[derive(Clone, Debug)]
pub struct Reserve {
    share: Share,
    /// Share of each limit that this entry may spend, in millionths.
    share_ppm: u64,
    /// When `share_ppm` last changed; a new account counts as empty at that time.
    steady_since: Monotonic,
    accounts: BTreeMap<WorkspaceId, Account>,
}

impl Reserve {
    /// Returns the reserve of an entry that starts now. It stays empty until a list of published entries
    /// has been known for the hold time.
    #[must_use]
    pub fn new(now: Monotonic, settings: &Settings) -> Reserve {
        Reserve {
            share: Share::new(now, settings.hold_time),
            share_ppm: 0,
            steady_since: now,
            accounts: BTreeMap::new(),
        }
    }

    /// Records the number of published entries.
    pub fn observe(&mut self, now: Monotonic, published: usize) {
        self.share.record(now, 1, published);
        self.tick(now);
    }

    /// Updates the share: a decrease applies at once, an increase after the hold time.
    ///
    /// Until `now` the accounts are filled at the smaller of the old and the new share.
    pub fn tick(&mut self, now: Monotonic) {
        self.share.expire(now);
        let share_ppm = self.share.ppm() / RESERVE_DIVISOR;
        if share_ppm == self.share_ppm {
            return;
        }
        let min_share_ppm = share_ppm.min(self.share_ppm);
        for account in self.accounts.values_mut() {
            account.refill(now, min_share_ppm);
        }
        self.share_ppm = share_ppm;
        self.steady_since = now;
    }

    /// Spends `tokens` of a workspace whose limit in force is `limit`, if that many are available.
    ///
    /// Returns whether they were spent.
    pub fn spend(
        &mut self,
        now: Monotonic,
        workspace: &WorkspaceId,
        limit: Limit,
        tokens: u64,
    ) -> bool {
        self.tick(now);
        let share_ppm = self.share_ppm;
        if self.accounts.len() >= MAX_ACCOUNTS {
            self.accounts.retain(|_, account| {
                account.refill(now, share_ppm);
                !account.is_full(share_ppm)
            });
        }
        if self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(workspace) {
            return false;
        }
        let new = || Account::new(limit, self.steady_since);
        let account = self.accounts.entry(workspace.clone()).or_insert_with(new);
        account.set_limit(limit);
        account.refill(now, share_ppm);
        account.spend(tokens)
    }
}
