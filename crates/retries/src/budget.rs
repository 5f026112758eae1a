//! Retry budgets that limit retries to a share of first attempts, per upstream and per workspace.
//!
//! A first attempt deposits a fraction of a token into both budgets; a retry withdraws a whole
//! token from both, or is refused. A small reserve, which refills slowly, allows retries for an
//! upstream or workspace with little traffic.
//!
//! What an account gains beyond its reserve can't be kept for long: many accounts that saved it could
//! spend it at once. It is lost, or makes tokens that are valid for a moment.
//!
//! A retry may count later than it is sent: the attempt before it, which was given up, may still
//! arrive. Such a retry is owed until [`Budget::settle`], and an account refills to its reserve less
//! what it owes, so that what arrives late stays within the budget of the window in which it arrives.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use auburnline_core::time::Monotonic;

/// Balances are kept in thousandths of a token; a token allows one retry.
const MILLITOKENS_PER_TOKEN: u64 = 1_000;
/// Limit for upstreams and for workspaces separately.
const MAX_BUDGETS: usize = 8_192;
/// Limit for the tokens of an account that are valid for a moment.
const MAX_FRESH: usize = 1_024;

/// Limits of one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Deposit of each first attempt, in thousandths of a retry.
    pub deposit_millitokens: u64,
    /// The most retries that a budget accumulates.
    pub reserve: u64,
    /// Time in which a budget gains one retry without first attempts.
    pub refill: Duration,
    /// Time for which a retry that was gained beyond the reserve may be used; zero if it is lost.
    pub fresh: Duration,
    /// Time since its last request or retry after which a full budget may be forgotten.
    pub memory: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            deposit_millitokens: 100,
            reserve: 10,
            refill: Duration::from_secs(10),
            fresh: Duration::ZERO,
            memory: Duration::from_secs(10),
        }
    }
}

/// Budget that refused a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Budget of the upstream.
    Upstream,
    /// Budget of the workspace.
    Workspace,
}

/// Permission for one retry or hedged attempt, already withdrawn from the budgets.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit(());

#[derive(Clone, Debug)]
struct Account {
    millitokens: u64,
    /// What was gained beyond the reserve, less than a token.
    excess: u64,
    /// When each token beyond the reserve was complete.
    fresh: VecDeque<Monotonic>,
    refilled_at: Monotonic,
    /// When it was last used for a request or a retry.
    used_at: Monotonic,
    /// Retries that may still count.
    owed: u64,
    /// Whether it got its reserve.
    has_reserve: bool,
}

impl Account {
    /// Returns an account that has what it would have gained since the start of the process, without the reserve.
    const fn empty() -> Account {
        Account {
            millitokens: 0,
            excess: 0,
            fresh: VecDeque::new(),
            refilled_at: Monotonic::ZERO,
            used_at: Monotonic::ZERO,
            owed: 0,
            has_reserve: false,
        }
    }

    fn refill(&mut self, settings: &Settings, now: Monotonic) {
        let elapsed =
            now.saturating_sub(self.refilled_at).as_nanos() * u128::from(MILLITOKENS_PER_TOKEN);
        let gained = elapsed / settings.refill.as_nanos().max(1);
        if gained > 0 {
            self.add(settings, u64::try_from(gained).unwrap_or(u64::MAX), now);
            let used = gained * settings.refill.as_nanos() / u128::from(MILLITOKENS_PER_TOKEN);
            // The rest counts at the next call, so that frequent calls gain as much as rare ones.
            self.refilled_at += Duration::from_nanos(u64::try_from(used).unwrap_or(u64::MAX));
        }
    }

    fn add_reserve(&mut self, settings: &Settings) {
        if !self.has_reserve {
            self.has_reserve = true;
            self.millitokens = settings.reserve * MILLITOKENS_PER_TOKEN;
        }
    }

    fn add(&mut self, settings: &Settings, amount: u64, now: Monotonic) {
        let most = settings.reserve.saturating_sub(self.owed) * MILLITOKENS_PER_TOKEN;
        let kept = self.millitokens.min(most);
        self.millitokens = kept.saturating_add(amount).min(most);
        if settings.fresh.is_zero() {
            return;
        }
        let most_excess = (MAX_FRESH as u64 + 1) * MILLITOKENS_PER_TOKEN;
        let excess = amount.saturating_sub(most - kept).min(most_excess);
        self.excess += excess;
        while self.excess >= MILLITOKENS_PER_TOKEN {
            self.excess -= MILLITOKENS_PER_TOKEN;
            self.fresh.push_back(now);
        }
        let surplus = self.fresh.len().saturating_sub(MAX_FRESH);
        self.fresh.drain(..surplus);
    }

    /// Returns the account if a retry is left in it; those that are valid for a moment are dropped when it is over.
    fn with_retry(&mut self, settings: &Settings, now: Monotonic) -> Option<&mut Account> {
        let is_over = |at: &Monotonic| now.saturating_sub(*at) > settings.fresh;
        while self.fresh.front().is_some_and(is_over) {
            self.fresh.pop_front();
        }
        let is_left = !self.fresh.is_empty() || self.millitokens >= MILLITOKENS_PER_TOKEN;
        is_left.then_some(self)
    }

    /// Takes a retry, the one first that is lost soonest.
    fn withdraw(&mut self, now: Monotonic) {
        self.used_at = now;
        if self.fresh.pop_front().is_none() {
            self.millitokens = self.millitokens.saturating_sub(MILLITOKENS_PER_TOKEN);
        }
    }

    /// Takes a retry that may count at any later time, from the reserve: other tokens are not valid for so long.
    fn owe(&mut self, now: Monotonic) {
        self.used_at = now;
        self.millitokens = self.millitokens.saturating_sub(MILLITOKENS_PER_TOKEN);
        self.owed += 1;
    }

    fn deposit(&mut self, settings: &Settings, now: Monotonic) {
        self.used_at = now;
        self.add(settings, settings.deposit_millitokens, now);
    }

    /// Returns whether it is full and was not used for a while, so that a new account does for it. One that is full because its
    /// reserve has become smaller than what was just spent is kept.
    fn is_forgettable(&self, settings: &Settings, now: Monotonic) -> bool {
        let is_full = self.millitokens >= settings.reserve * MILLITOKENS_PER_TOKEN;
        is_full && self.owed == 0 && now.saturating_sub(self.used_at) >= settings.memory
    }
}

/// Retry budgets of all upstreams `U` and workspaces `W` that this process sends requests for.
#[derive(Clone, Debug)]
pub struct Budget<U, W> {
    settings: Settings,
    /// When accounts get their reserve.
    reserve_at: Monotonic,
    upstreams: BTreeMap<U, Account>,
    workspaces: BTreeMap<W, Account>,
}

impl<U: Ord + Clone, W: Ord + Clone> Budget<U, W> {
    /// Creates budgets that start with a full reserve.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Budget {
            settings,
            reserve_at: Monotonic::ZERO,
            upstreams: BTreeMap::new(),
            workspaces: BTreeMap::new(),
        }
    }

    /// Creates budgets that get their reserve this long after the start of the process, so that a restart does not renew what was
    /// spent before it.
    #[must_use]
    pub fn with_reserve_at(settings: Settings, reserve_at: Monotonic) -> Self {
        Budget {
            reserve_at,
            ..Budget::new(settings)
        }
    }

    /// Replaces the settings. A balance above a smaller reserve is cut at the next deposit or
    /// refill.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Deposits into both budgets for a first attempt.
    pub fn deposit(&mut self, now: Monotonic, upstream: &U, workspace: &W) {
        let settings = self.settings;
        if let Some(account) = account(
            &mut self.upstreams,
            &settings,
            self.reserve_at,
            now,
            upstream,
        ) {
            account.deposit(&settings, now);
        }
        if let Some(account) = account(
            &mut self.workspaces,
            &settings,
            self.reserve_at,
            now,
            workspace,
        ) {
            account.deposit(&settings, now);
        }
    }

    /// Withdraws one retry from both budgets.
    ///
    /// # Errors
    ///
    /// Returns the budget that has less than one retry left; nothing is withdrawn then.
    pub fn withdraw(
        &mut self,
        now: Monotonic,
        upstream: &U,
        workspace: &W,
    ) -> Result<Permit, Side> {
        let (upstream, workspace) = self.accounts_with_retry(now, upstream, workspace)?;
        upstream.withdraw(now);
        workspace.withdraw(now);
        Ok(Permit(()))
    }

    /// Withdraws one retry from the reserves of both budgets, which owe it until it is settled.
    ///
    /// # Errors
    ///
    /// Returns the budget that has less than one retry left in its reserve; nothing is withdrawn then.
    pub fn withdraw_owed(
        &mut self,
        now: Monotonic,
        upstream: &U,
        workspace: &W,
    ) -> Result<Permit, Side> {
        let (upstream, workspace) = self.accounts_with_retry(now, upstream, workspace)?;
        for (account, side) in [(&*upstream, Side::Upstream), (&*workspace, Side::Workspace)] {
            if account.millitokens < MILLITOKENS_PER_TOKEN {
                return Err(side);
            }
        }
        upstream.owe(now);
        workspace.owe(now);
        Ok(Permit(()))
    }

    /// Settles a retry that both budgets owe: it has counted, or never will.
    pub fn settle(&mut self, upstream: &U, workspace: &W) {
        let upstream = self.upstreams.get_mut(upstream);
        let workspace = self.workspaces.get_mut(workspace);
        for account in upstream.into_iter().chain(workspace) {
            account.owed = account.owed.saturating_sub(1);
        }
    }

    /// Returns whether a retry could be withdrawn now.
    pub fn has_retry(&mut self, now: Monotonic, upstream: &U, workspace: &W) -> bool {
        self.accounts_with_retry(now, upstream, workspace).is_ok()
    }

    fn accounts_with_retry(
        &mut self,
        now: Monotonic,
        upstream: &U,
        workspace: &W,
    ) -> Result<(&mut Account, &mut Account), Side> {
        let settings = self.settings;
        let upstream = account(
            &mut self.upstreams,
            &settings,
            self.reserve_at,
            now,
            upstream,
        );
        let upstream = upstream.and_then(|account| account.with_retry(&settings, now));
        let workspace = account(
            &mut self.workspaces,
            &settings,
            self.reserve_at,
            now,
            workspace,
        );
        let workspace = workspace.and_then(|account| account.with_retry(&settings, now));
        let upstream = upstream.ok_or(Side::Upstream)?;
        Ok((upstream, workspace.ok_or(Side::Workspace)?))
    }

    /// Drops budgets that are full and unused, since a new one equals them once the reserve is there; to be called every few seconds.
    pub fn tick(&mut self, now: Monotonic) {
        let settings = self.settings;
        let has_reserve = now >= self.reserve_at;
        let is_used = |account: &mut Account| {
            account.refill(&settings, now);
            !has_reserve || !account.is_forgettable(&settings, now)
        };
        self.upstreams.retain(|_, account| is_used(account));
        self.workspaces.retain(|_, account| is_used(account));
    }

    /// Returns the number of budgets kept, over upstreams and workspaces.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.upstreams.len() + self.workspaces.len()
    }
}

/// Returns the refilled account of `key`, created if necessary, or `None` at [`MAX_BUDGETS`]:
/// without a budget there are no retries.
fn account<'a, K: Ord + Clone>(
    accounts: &'a mut BTreeMap<K, Account>,
    settings: &Settings,
    reserve_at: Monotonic,
    now: Monotonic,
    key: &K,
) -> Option<&'a mut Account> {
    if !accounts.contains_key(key) {
        if accounts.len() >= MAX_BUDGETS {
            return None;
        }
        accounts.insert(key.clone(), Account::empty());
    }
    let account = accounts.get_mut(key)?;
    account.refill(settings, now);
    if now >= reserve_at {
        account.add_reserve(settings);
    }
    Some(account)
}
