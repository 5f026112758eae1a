//! Entry side of leases: the tokens that an entry holds of each workspace, and what requests are charged.
//!
//! A request is charged its prompt and the maximum that it may generate, and is credited the tokens
//! that it did not use. If the leases on hand don't suffice and the home has not given a retry time,
//! the request may wait one round trip for a grant; otherwise it is refused at once. Tokens that won't
//! be used before their lease expires are returned to the home if the home has few left.

mod leases;

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::error::Kind;
use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::id::WorkspaceId;
use auburnline_core::time::Monotonic;

use self::leases::Bucket;
use crate::lease::Ask;
use crate::lease::Grants;
use crate::lease::Settings;
use crate::lease::View;
use crate::lease::Want;

/// Maximum number of workspaces of which an entry holds leases.
const MAX_BUCKETS: usize = 4096;
/// Maximum time for which a request waits for a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(250);
/// Lower bound of the retry time of a refusal. Callers get it in whole milliseconds, and zero would tell them to
/// retry at once.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1);
/// Maximum number of unanswered asks. Beyond it the oldest is dropped, and so is a later answer to it.
const MAX_UNANSWERED_ASKS: usize = 1024;

/// Tokens charged to a request. Crediting consumes it, so a request is credited at most once.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Charge {
    workspace: WorkspaceId,
    tokens: u64,
}

impl Charge {
    /// Returns the tokens charged, before any credit.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}

/// Refusal of a request beyond its workspace's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Error kind to answer with.
    pub kind: Kind,
    /// Time after which the caller may retry, at least 1 ms.
    pub retry_after: Duration,
}

/// Outcome of a charge.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub enum Admission {
    /// The request was charged.
    Admitted(Charge),
    /// A grant is needed: call [`Holder::resume`] when it arrives, or after this time.
    Pending(Duration),
    /// The workspace has used up its limit.
    Refused(Refusal),
}

/// Leases that an entry holds of all workspaces.
#[derive(Clone, Debug)]
pub struct Holder {
    settings: Settings,
    incarnation: Incarnation,
    number: u64,
    buckets: BTreeMap<WorkspaceId, Bucket>,
    /// Time at which each unanswered ask was sent, by number.
    unanswered: BTreeMap<u64, Monotonic>,
}

impl Holder {
    /// Returns a holder without leases.
    #[must_use]
    pub fn new(settings: Settings, incarnation: Incarnation) -> Self {
        Holder {
            settings,
            incarnation,
            number: 0,
            buckets: BTreeMap::new(),
            unanswered: BTreeMap::new(),
        }
    }

    /// Charges a request that has just arrived.
    pub fn charge(&mut self, now: Monotonic, workspace: &WorkspaceId, tokens: u64) -> Admission {
        if !self.buckets.contains_key(workspace) && self.buckets.len() >= MAX_BUCKETS {
            return refused(GRANT_TIMEOUT);
        }
        let lease_time = self.settings.lease_time;
        let bucket = self
            .buckets
            .entry(workspace.clone())
            .or_insert_with(|| Bucket::new(now));
        bucket.demand.record(now, tokens, lease_time);
        let admission = self.resume(now, workspace, tokens, now);
        if let (Admission::Pending(_), Some(bucket)) = (&admission, self.buckets.get_mut(workspace))
        {
            bucket.add_pending(tokens);
        }
        admission
    }

    /// Retries the charge of a request that has been pending since `since`.
    pub fn resume(
        &mut self,
        now: Monotonic,
        workspace: &WorkspaceId,
        tokens: u64,
        since: Monotonic,
    ) -> Admission {
        let Some(bucket) = self.buckets.get_mut(workspace) else {
            return refused(GRANT_TIMEOUT);
        };
        if bucket.take(now, tokens) {
            return Admission::Admitted(Charge {
                workspace: workspace.clone(),
                tokens,
            });
        }
        let denied_for = bucket.denied_for(now, tokens);
        if denied_for > Duration::ZERO {
            return refused(denied_for);
        }
        match (since + GRANT_TIMEOUT).checked_sub(now) {
            Some(left) if left > Duration::ZERO => {
                bucket.require(tokens);
                Admission::Pending(left)
            }
            _ => refused(GRANT_TIMEOUT),
        }
    }

    /// Credits the tokens that a request was charged beyond the `used` ones.
    pub fn credit(&mut self, now: Monotonic, charge: Charge, used: u64) {
        let unused = charge.tokens.saturating_sub(used);
        if unused == 0 || self.buckets.len() >= MAX_BUCKETS {
            return;
        }
        let bucket = self
            .buckets
            .entry(charge.workspace)
            .or_insert_with(|| Bucket::new(now));
        bucket.put(now, unused, now + self.settings.lease_time);
    }

    /// Returns the asks that are due, one for each home. Must be called every few milliseconds.
    pub fn due_asks(&mut self, now: Monotonic, view: &View) -> Vec<(InstanceId, Ask)> {
        let mut wants: BTreeMap<InstanceId, Vec<Want>> = BTreeMap::new();
        for (workspace, bucket) in &mut self.buckets {
            let Some((need, want, returned)) =
                bucket.due(now, self.settings.lease_time, GRANT_TIMEOUT)
            else {
                continue;
            };
            let Some(home) = bucket.home(view, workspace) else {
                continue;
            };
            bucket.record_ask(now, need, returned);
            wants.entry(home).or_default().push(Want {
                workspace: workspace.clone(),
                need,
                want,
                returned,
            });
        }
        self.buckets.retain(|_, bucket| !bucket.is_idle(now));
        let asks = wants.into_iter();
        asks.map(|(home, wants)| (home, self.ask(now, wants)))
            .collect()
    }

    /// Applies a home's answer. One that matches no unanswered ask of this process, or repeats an earlier one, is
    /// ignored.
    pub fn apply_grants(&mut self, now: Monotonic, grants: &Grants) {
        if grants.incarnation != self.incarnation {
            return;
        }
        let Some(sent) = self.unanswered.remove(&grants.number) else {
            return;
        };
        for grant in &grants.grants {
            let Some(bucket) = self.buckets.get_mut(&grant.workspace) else {
                continue;
            };
            let need = bucket.record_answer(grant.scarce);
            if grant.tokens > 0 {
                bucket.put(now, grant.tokens, sent + grant.valid);
            } else {
                bucket.deny(now + grant.retry_after, need);
            }
        }
    }

    /// Returns the number of workspaces with a bucket.
    #[must_use]
    pub fn buckets(&self) -> usize {
        self.buckets.len()
    }

    /// Returns the unexpired tokens held for `workspace`.
    #[must_use]
    pub fn on_hand(&self, now: Monotonic, workspace: &WorkspaceId) -> u64 {
        self.buckets
            .get(workspace)
            .map_or(0, |bucket| bucket.on_hand(now))
    }

    fn ask(&mut self, now: Monotonic, wants: Vec<Want>) -> Ask {
        self.number += 1;
        self.unanswered.insert(self.number, now);
        if self.unanswered.len() > MAX_UNANSWERED_ASKS {
            self.unanswered.pop_first();
        }
        Ask {
            incarnation: self.incarnation,
            number: self.number,
            wants,
        }
    }
}

fn refused(retry_after: Duration) -> Admission {
    Admission::Refused(Refusal {
        kind: Kind::LimitExceeded,
        retry_after: retry_after.max(MIN_RETRY_AFTER),
    })
}
