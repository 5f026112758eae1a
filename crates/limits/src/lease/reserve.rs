//! What an entry may use of a limit without any home's leave.
//!
//! Homes grant all of a limit but a small part. That part is split evenly over the published entries,
//! and an entry whose workspace gets nothing from its home, because the home can't be reached or has
//! little left, uses its own share of it. The shares and the homes' parts sum to the whole, so no
//! agreement on who lives is needed, and an entry that is cut off from every home still serves a
//! little of each workspace.

use std::collections::BTreeMap;

use auburnline_core::id::WorkspaceId;
use auburnline_core::time::Monotonic;

use super::Limit;
use super::Settings;
use super::account::Account;
use super::account::MAX_ACCOUNTS;
use super::share::Share;

/// Sixteenth of each limit that homes don't grant: what a workspace whose entries all reach their home may
/// lose at most, and enough to go on at a trickle where none does.
const RESERVE_DIVISOR: u64 = 16;

/// Returns the part of limits that a home may grant of the `parts` that it sees.
pub(super) const fn grantable(share_ppm: u64) -> u64 {
    share_ppm - share_ppm / RESERVE_DIVISOR
}

/// An entry's own part of all limits.
#[derive(Clone, Debug)]
pub struct Reserve {
    share: Share,
    share_ppm: u64,
    /// Since when the part has stood.
    steady_since: Monotonic,
    accounts: BTreeMap<WorkspaceId, Account>,
}

impl Reserve {
    /// Returns the reserve of an entry that starts now; it fills once the published list has stood for
    /// a hold.
    #[must_use]
    pub fn new(now: Monotonic, settings: &Settings) -> Reserve {
        Reserve {
            share: Share::new(now, settings.hold),
            share_ppm: 0,
            steady_since: now,
            accounts: BTreeMap::new(),
        }
    }

    /// Takes how many entries are published.
    pub fn observe(&mut self, now: Monotonic, published: usize) {
        self.share.record(now, 1, published);
        self.tick(now);
    }

    /// Lets holds end.
    pub fn tick(&mut self, now: Monotonic) {
        self.share.expire(now);
        let share_ppm = self.share.ppm() / RESERVE_DIVISOR;
        if share_ppm == self.share_ppm {
            return;
        }
        let least = share_ppm.min(self.share_ppm);
        for account in self.accounts.values_mut() {
            account.refill(now, least);
        }
        self.share_ppm = share_ppm;
        self.steady_since = now;
    }

    /// Spends `tokens` of a workspace whose limit in force is `limit`, if the reserve holds so many.
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
