//! Budgets of repetitions: a share of first attempts, for each upstream and each workspace.
//!
//! A first attempt pays a share of a token into both budgets; a repetition takes a whole token out
//! of both, or is refused. A small reserve lets a quiet upstream or workspace repeat at all, and
//! refills slowly.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::time::Monotonic;

/// Thousandths of a repetition.
const UNIT: u64 = 1_000;
/// Most budgets kept on each side.
const MAX_BUDGETS: usize = 8_192;

/// What a budget allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Thousandths of a repetition for each first attempt.
    pub share: u64,
    /// Most repetitions that are saved up.
    pub reserve: u64,
    /// Time in which one repetition is given without first attempts.
    pub refill: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            share: 100,
            reserve: 10,
            refill: Duration::from_secs(10),
        }
    }
}

/// Which budget refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The upstream's.
    Upstream,
    /// The workspace's.
    Workspace,
}

/// Leave to repeat once; it is used up by the attempt.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit(());

#[derive(Clone, Copy, Debug)]
struct Account {
    level: u64,
    updated: Monotonic,
}

impl Account {
    fn new(settings: &Settings, now: Monotonic) -> Self {
        Account {
            level: settings.reserve * UNIT,
            updated: now,
        }
    }

    fn refill(&mut self, settings: &Settings, now: Monotonic) {
        let passed = now.saturating_sub(self.updated).as_nanos() * u128::from(UNIT);
        let filled = passed / settings.refill.as_nanos().max(1);
        if filled > 0 {
            self.add(settings, u64::try_from(filled).unwrap_or(u64::MAX));
            self.updated = now;
        }
    }

    fn add(&mut self, settings: &Settings, amount: u64) {
        self.level = self.level.saturating_add(amount);
        self.level = self.level.min(settings.reserve * UNIT);
    }
}

/// Budgets of all upstreams `U` and workspaces `W` that a process sends for.
#[derive(Clone, Debug)]
pub struct Budget<U, W> {
    settings: Settings,
    upstreams: BTreeMap<U, Account>,
    workspaces: BTreeMap<W, Account>,
}

impl<U: Ord + Clone, W: Ord + Clone> Budget<U, W> {
    /// Returns budgets that hold their reserve.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Budget {
            settings,
            upstreams: BTreeMap::new(),
            workspaces: BTreeMap::new(),
        }
    }

    /// Changes what is allowed; what is saved beyond a smaller reserve is cut at the next change.
    pub fn resize(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Pays in for a first attempt.
    pub fn first(&mut self, now: Monotonic, upstream: &U, workspace: &W) {
        let settings = self.settings;
        if let Some(account) = account(&mut self.upstreams, &settings, now, upstream) {
            account.add(&settings, settings.share);
        }
        if let Some(account) = account(&mut self.workspaces, &settings, now, workspace) {
            account.add(&settings, settings.share);
        }
    }

    /// Takes a repetition out of both budgets, or tells which has none left.
    ///
    /// # Errors
    ///
    /// Returns the side that refused; nothing was taken then.
    pub fn repeat(&mut self, now: Monotonic, upstream: &U, workspace: &W) -> Result<Permit, Side> {
        let settings = self.settings;
        let upstream = account(&mut self.upstreams, &settings, now, upstream);
        let upstream = upstream.filter(|account| account.level >= UNIT);
        let upstream = upstream.ok_or(Side::Upstream)?;
        let workspace = account(&mut self.workspaces, &settings, now, workspace);
        let workspace = workspace.filter(|account| account.level >= UNIT);
        let workspace = workspace.ok_or(Side::Workspace)?;
        upstream.level -= UNIT;
        workspace.level -= UNIT;
        Ok(Permit(()))
    }

    /// Forgets budgets that are full; to be called every few seconds.
    pub fn tick(&mut self, now: Monotonic) {
        let settings = self.settings;
        let used = |account: &mut Account| {
            account.refill(&settings, now);
            account.level < settings.reserve * UNIT
        };
        self.upstreams.retain(|_, account| used(account));
        self.workspaces.retain(|_, account| used(account));
    }

    /// Returns how many budgets are kept.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.upstreams.len() + self.workspaces.len()
    }
}

/// Returns the account of `key`, or none if there is no room for it: no budget, no repetition.
fn account<'a, K: Ord + Clone>(
    accounts: &'a mut BTreeMap<K, Account>,
    settings: &Settings,
    now: Monotonic,
    key: &K,
) -> Option<&'a mut Account> {
    if !accounts.contains_key(key) {
        if accounts.len() >= MAX_BUDGETS {
            return None;
        }
        accounts.insert(key.clone(), Account::new(settings, now));
    }
    let account = accounts.get_mut(key)?;
    account.refill(settings, now);
    Some(account)
}
