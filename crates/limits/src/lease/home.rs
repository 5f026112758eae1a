//! Home side of leases: token buckets of the workspaces whose home is this entry.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::id::WorkspaceId;
use auburnline_core::time::Monotonic;

use super::Ask;
use super::Grant;
use super::Grants;
use super::Limit;
use super::Settings;
use super::View;
use super::Want;
use super::account::Account;
use super::account::MAX_ACCOUNTS;
use super::reserve;

/// Grants leases of the workspaces whose home is this entry.
#[derive(Clone, Debug)]
pub struct Home {
    settings: Settings,
    accounts: BTreeMap<WorkspaceId, Account>,
    /// Last ask of each entry, to ignore asks that are delivered twice.
    last_asks: BTreeMap<InstanceId, (Incarnation, u64)>,
    /// Share of limits that is granted here, in millionths.
    share_ppm: u64,
    /// Epoch of the view that was applied last.
    epoch: u64,
}

impl Home {
    /// Returns a home without buckets.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Home {
            settings,
            accounts: BTreeMap::new(),
            last_asks: BTreeMap::new(),
            share_ppm: 0,
            epoch: 0,
        }
    }

    /// Applies a view that was ticked or changed: refills all buckets and drops those of workspaces whose home
    /// is another entry now. Must be called after each tick of the view.
    pub fn tick(&mut self, now: Monotonic, view: &View) {
        let grantable_ppm = reserve::grantable(view.share_ppm());
        let share_ppm = self.share_ppm.min(grantable_ppm);
        for account in self.accounts.values_mut() {
            account.refill(now, share_ppm);
        }
        self.share_ppm = grantable_ppm;
        if self.epoch != view.epoch() {
            self.epoch = view.epoch();
            self.accounts.retain(|workspace, _| view.is_home(workspace));
            self.last_asks.retain(|entry, _| view.is_known(entry));
        }
        if self.accounts.len() > MAX_ACCOUNTS / 2 {
            self.accounts
                .retain(|_, account| !account.is_full(share_ppm));
        }
    }

    /// Answers an ask. `limit` returns the limit in force of a workspace, or none if the workspace isn't
    /// published.
    ///
    /// Returns none for an ask that is not newer than the last one of the same process.
    pub fn grant(
        &mut self,
        now: Monotonic,
        view: &View,
        from: &InstanceId,
        ask: &Ask,
        limit: impl Fn(&WorkspaceId) -> Option<Limit>,
    ) -> Option<Grants> {
        self.tick(now, view);
        if !self.is_new(from, ask) {
            return None;
        }
        let grants = ask
            .wants
            .iter()
            .filter_map(|want| self.answer(now, view, want, limit(&want.workspace)))
            .collect();
        Some(Grants {
            incarnation: ask.incarnation,
            number: ask.number,
            grants,
        })
    }

    /// Returns the number of workspaces with a bucket.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    fn is_new(&mut self, from: &InstanceId, ask: &Ask) -> bool {
        let last = self.last_asks.get(from);
        let is_known = last.is_some_and(|&(incarnation, number)| {
            incarnation == ask.incarnation && ask.number <= number
        });
        if !is_known {
            self.last_asks
                .insert(from.clone(), (ask.incarnation, ask.number));
        }
        !is_known
    }

    fn answer(
        &mut self,
        now: Monotonic,
        view: &View,
        want: &Want,
        limit: Option<Limit>,
    ) -> Option<Grant> {
        let workspace = want.workspace.clone();
        let lease_time = self.settings.lease_time;
        let grant = |tokens, retry_after, scarce| Grant {
            workspace,
            tokens,
            valid: lease_time,
            retry_after,
            scarce,
        };
        let max_request_tokens = self.settings.max_request_tokens;
        let hold_time = view.hold_time();
        let share_ppm = self.share_ppm;
        let full = self.accounts.len() >= MAX_ACCOUNTS;
        let Some(account) = limit.and_then(|limit| self.account(now, view, want, limit, full))
        else {
            return (want.need > 0).then(|| grant(0, hold_time, true));
        };
        account.put_back(want.returned, share_ppm);
        if want.need == 0 {
            return None;
        }
        if want.need > max_request_tokens {
            return Some(grant(0, hold_time, true));
        }
        match account.take(want.need, want.want, share_ppm) {
            Ok(tokens) => Some(grant(tokens, Duration::ZERO, account.is_scarce(share_ppm))),
            Err(retry_after) => Some(grant(0, retry_after, true)),
        }
    }

    fn account(
        &mut self,
        now: Monotonic,
        view: &View,
        want: &Want,
        limit: Limit,
        full: bool,
    ) -> Option<&mut Account> {
        if !self.accounts.contains_key(&want.workspace) {
            if full || !view.is_home(&want.workspace) {
                return None;
            }
            let mut account = Account::new(limit, view.steady_since());
            account.refill(now, self.share_ppm);
            self.accounts.insert(want.workspace.clone(), account);
        }
        let account = self.accounts.get_mut(&want.workspace)?;
        account.set_limit(limit);
        Some(account)
    }
}
