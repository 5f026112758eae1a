//! The home's side: permits for single requests, paced by the shares that are lent.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use serde::Deserialize;
use serde::Serialize;

use crate::LenderTag;
use crate::Rate;
use crate::UpstreamTag;
use crate::loan::LEASE;
use crate::loan::Loan;

/// Time whose requests may be permitted at once, since callers don't come evenly; one request always may.
const BURST: Duration = Duration::from_millis(250);
/// Time to ask again where no share is lent here.
const NO_SHARES_RETURN: Duration = Duration::from_millis(300);
/// Longest time to ask again: shares may have been lent meanwhile.
const LONGEST_RETURN: Duration = Duration::from_secs(2);

/// Question whether one request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Number that the reply bears.
    pub number: u64,
    /// Upstream.
    pub upstream: UpstreamTag,
}

/// Whether one request may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// It may, at once.
    Granted,
    /// It may not.
    Denied {
        /// Milliseconds after which another one may.
        retry_ms: u32,
    },
}

/// Reply to a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Number of the question.
    pub number: u64,
    /// Upstream.
    pub upstream: UpstreamTag,
    /// Whether the request may be sent.
    pub permit: Permit,
}

/// Permits of one limit.
#[derive(Clone, Debug, Default)]
struct Account {
    /// Until when the share of each lender counts.
    shares: HashMap<LenderTag, Monotonic>,
    /// Requests that may be sent at once.
    tokens: f64,
    /// Time up to which tokens were added.
    filled: Monotonic,
}

impl Account {
    /// Adds tokens for the time since the last call, by the shares that still count.
    fn fill(&mut self, rate: Rate, fleet: u32, now: Monotonic) {
        self.shares.retain(|_, until| now < *until);
        let passed = now.saturating_sub(self.filled);
        self.filled = now;
        let most = (rate * BURST.as_secs_f64()).max(1.0);
        let tokens = self.tokens + passed.as_secs_f64() * self.speed(rate, fleet);
        self.tokens = tokens.min(most);
    }

    /// Returns the requests a second that the shares allow.
    fn speed(&self, rate: Rate, fleet: u32) -> f64 {
        let shares = u32::try_from(self.shares.len()).unwrap_or(u32::MAX);
        rate * f64::from(shares) / f64::from(fleet.max(shares).max(1))
    }

    fn permit(&mut self, speed: f64) -> Permit {
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Permit::Granted;
        }
        let wait = Duration::try_from_secs_f64((1.0 - self.tokens) / speed);
        let wait = match wait {
            Ok(wait) if !self.shares.is_empty() => wait.min(LONGEST_RETURN),
            _ => NO_SHARES_RETURN,
        };
        let retry_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        Permit::Denied { retry_ms }
    }
}

/// Limits of which shares are lent to this gateway.
#[derive(Clone, Debug, Default)]
pub struct Home {
    accounts: BTreeMap<UpstreamTag, Account>,
    /// Own beats within a lease, oldest first, with the time of each.
    beats: VecDeque<(u64, Monotonic)>,
    /// Most gateways that any lender saw live at once.
    fleet: u32,
}

impl Home {
    /// Takes that this gateway sends a beat.
    pub fn sent(&mut self, beat: u64, now: Monotonic) {
        self.beats.push_back((beat, now));
        while let Some((_, at)) = self.beats.front()
            && now.saturating_sub(*at) >= LEASE
        {
            self.beats.pop_front();
        }
        self.accounts
            .retain(|_, account| account.shares.values().any(|until| now < *until));
    }

    /// Takes shares that a gateway lends, of limits with the rates that `rate` tells. A loan that rests on an older beat has
    /// lapsed.
    pub fn borrow(
        &mut self,
        loan: &Loan,
        rate: impl Fn(UpstreamTag) -> Option<Rate>,
        now: Monotonic,
    ) {
        self.fleet = self.fleet.max(loan.fleet);
        let mut beats = self.beats.iter();
        let Some((_, sent)) = beats.find(|(beat, _)| *beat == loan.beat) else {
            return;
        };
        let until = *sent + LEASE;
        for notice in &loan.limits {
            let Some(rate) = rate(notice.upstream) else {
                continue;
            };
            let account = self.accounts.entry(notice.upstream).or_default();
            account.fill(rate, self.fleet, now);
            let share = account.shares.entry(loan.lender).or_default();
            *share = until.max(*share);
        }
    }

    /// Says whether a request may be sent to an upstream with a limit.
    pub fn permit(&mut self, upstream: UpstreamTag, rate: Rate, now: Monotonic) -> Permit {
        let Some(account) = self.accounts.get_mut(&upstream) else {
            let retry_ms = u32::try_from(NO_SHARES_RETURN.as_millis()).unwrap_or(u32::MAX);
            return Permit::Denied { retry_ms };
        };
        account.fill(rate, self.fleet, now);
        let speed = account.speed(rate, self.fleet);
        account.permit(speed)
    }

    /// Returns how many gateways lend their share of a limit here, and how many there are.
    #[must_use]
    pub fn shares(&self, upstream: UpstreamTag) -> (usize, u32) {
        let account = self.accounts.get(&upstream);
        (
            account.map_or(0, |account| account.shares.len()),
            self.fleet,
        )
    }
}
