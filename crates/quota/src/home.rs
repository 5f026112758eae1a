//! Permits for single requests, granted by a limit's home at the rate covered by the shares lent to it.

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

/// Burst size of the token bucket, as a time at the full rate, since requests arrive unevenly; at least one request.
const BURST_WINDOW: Duration = Duration::from_millis(250);
/// Retry delay returned while no share is lent to this gateway.
const NO_SHARES_RETRY: Duration = Duration::from_millis(300);
/// Longest retry delay: more shares may have been lent by then.
const MAX_RETRY: Duration = Duration::from_secs(2);

/// Request to a limit's home for the permit to send one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Correlates the reply.
    pub number: u64,
    /// Upstream that the request is to be sent to.
    pub upstream: UpstreamTag,
}

/// Decision of a home on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// The request may be sent now.
    Granted,
    /// The request must not be sent now.
    Denied {
        /// Milliseconds until a permit is expected to be available.
        retry_ms: u32,
    },
}

/// Reply of a home to a [`Request`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Number of the [`Request`].
    pub number: u64,
    /// Upstream of the [`Request`].
    pub upstream: UpstreamTag,
    /// The home's decision.
    pub permit: Permit,
}

/// A lender's part of a limit.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    until: Monotonic,
    /// Number of gateways by which the lender divides the limit.
    fleet: u32,
}

/// Token bucket of one limit.
#[derive(Clone, Debug, Default)]
struct TokenBucket {
    shares: HashMap<LenderTag, Share>,
    /// Requests that may be permitted immediately.
    tokens: f64,
    /// When tokens were last added.
    refilled_at: Monotonic,
}

impl TokenBucket {
    /// Drops expired shares and adds the tokens that the remaining ones cover since the last call.
    fn refill(&mut self, rate: Rate, now: Monotonic) {
        self.shares.retain(|_, share| now < share.until);
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        let capacity = (rate * BURST_WINDOW.as_secs_f64()).max(1.0);
        let tokens = self.tokens + elapsed.as_secs_f64() * self.refill_rate(rate);
        self.tokens = tokens.min(capacity);
    }

    /// Returns the requests per second that the shares cover.
    fn refill_rate(&self, rate: Rate) -> f64 {
        let fleet = self.fleet();
        let shares = u32::try_from(self.shares.len()).unwrap_or(u32::MAX);
        rate * f64::from(shares) / f64::from(fleet.max(shares).max(1))
    }

    /// Returns the largest fleet of which any lender has a share.
    fn fleet(&self) -> u32 {
        let fleets = self.shares.values().map(|share| share.fleet);
        fleets.max().unwrap_or(0)
    }

    fn permit(&mut self, refill_rate: f64) -> Permit {
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Permit::Granted;
        }
        let delay = Duration::try_from_secs_f64((1.0 - self.tokens) / refill_rate);
        let delay = match delay {
            Ok(delay) if !self.shares.is_empty() => delay.min(MAX_RETRY),
            _ => NO_SHARES_RETRY,
        };
        let retry_ms = u32::try_from(delay.as_millis()).unwrap_or(u32::MAX);
        Permit::Denied { retry_ms }
    }
}

/// Limits for which shares are lent to this gateway.
#[derive(Clone, Debug, Default)]
pub struct Home {
    buckets: BTreeMap<UpstreamTag, TokenBucket>,
    /// This gateway's heartbeats within the last [`LEASE`], oldest first, with the time each was sent.
    heartbeats: VecDeque<(u64, Monotonic)>,
}

impl Home {
    /// Records that this gateway sends a heartbeat, and drops limits without valid shares.
    pub fn record_heartbeat(&mut self, heartbeat: u64, now: Monotonic) {
        self.heartbeats.push_back((heartbeat, now));
        while let Some((_, at)) = self.heartbeats.front()
            && now.saturating_sub(*at) >= LEASE
        {
            self.heartbeats.pop_front();
        }
        self.buckets
            .retain(|_, bucket| bucket.shares.values().any(|share| now < share.until));
    }

    /// Records the shares that a gateway lends, of limits whose rates `rate` returns. A loan based on a heartbeat older than
    /// a lease has expired and is ignored.
    pub fn accept_loan(
        &mut self,
        loan: &Loan,
        rate: impl Fn(UpstreamTag) -> Option<Rate>,
        now: Monotonic,
    ) {
        let mut heartbeats = self.heartbeats.iter();
        let Some((_, sent)) = heartbeats.find(|(heartbeat, _)| *heartbeat == loan.heartbeat) else {
            return;
        };
        let until = *sent + LEASE;
        for notice in &loan.limits {
            let Some(rate) = rate(notice.upstream) else {
                continue;
            };
            let bucket = self.buckets.entry(notice.upstream).or_default();
            bucket.refill(rate, now);
            let share = bucket.shares.entry(loan.lender).or_default();
            share.until = until.max(share.until);
            share.fleet = loan.fleet;
        }
    }

    /// Decides whether a request may be sent to an upstream whose limit is `rate`.
    pub fn permit(&mut self, upstream: UpstreamTag, rate: Rate, now: Monotonic) -> Permit {
        let Some(bucket) = self.buckets.get_mut(&upstream) else {
            let retry_ms = u32::try_from(NO_SHARES_RETRY.as_millis()).unwrap_or(u32::MAX);
            return Permit::Denied { retry_ms };
        };
        bucket.refill(rate, now);
        let refill_rate = bucket.refill_rate(rate);
        bucket.permit(refill_rate)
    }

    /// Returns how many gateways lend their share of a limit to this one, and the size of the fleet.
    #[must_use]
    pub fn shares(&self, upstream: UpstreamTag) -> (usize, u32) {
        let bucket = self.buckets.get(&upstream);
        bucket.map_or((0, 0), |bucket| (bucket.shares.len(), bucket.fleet()))
    }
}
