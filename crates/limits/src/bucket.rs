//! An entry's side of leases: what it holds of each workspace, and what requests are charged.
//!
//! A request is charged its prompt and the most it may generate, and credited what it did not.
//! Where the pieces on hand don't suffice and the home has not said when to come back, the request
//! may wait one round trip for a grant; else it is refused at once. What is on hand and won't be
//! used before it ends goes back to the home, if the home has little left.

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

/// Most workspaces that an entry holds pieces of.
const MAX_BUCKETS: usize = 4096;
/// Time that a request may wait for a grant.
const PATIENCE: Duration = Duration::from_millis(250);
/// Least time to come back that a refusal tells: callers are told whole milliseconds, and none would mean
/// at once.
const LEAST_RETURN: Duration = Duration::from_millis(1);
/// Asks that may be without an answer; older ones are forgotten, and their grants dropped.
const MAX_ASKS: usize = 1024;

/// What a request was charged; it is credited at most once.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Charge {
    workspace: WorkspaceId,
    tokens: u64,
}

impl Charge {
    /// Returns the tokens charged.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }
}

/// A request beyond the limit, to be answered at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of the answer.
    pub kind: Kind,
    /// When to come back.
    pub retry_after: Duration,
}

/// Answer to a charge.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub enum Verdict {
    /// The request is paid for.
    Admitted(Charge),
    /// A grant is asked for: resume the charge when it comes, or after this time.
    Pending(Duration),
    /// The workspace has used its limit.
    Refused(Refusal),
}

/// What an entry holds of all workspaces.
#[derive(Clone, Debug)]
pub struct Holder {
    settings: Settings,
    incarnation: Incarnation,
    number: u64,
    buckets: BTreeMap<WorkspaceId, Bucket>,
    /// When each ask without an answer was sent.
    asked: BTreeMap<u64, Monotonic>,
}

impl Holder {
    /// Returns an entry that holds nothing.
    #[must_use]
    pub fn new(settings: Settings, incarnation: Incarnation) -> Self {
        Holder {
            settings,
            incarnation,
            number: 0,
            buckets: BTreeMap::new(),
            asked: BTreeMap::new(),
        }
    }

    /// Charges a request that has just come.
    pub fn charge(&mut self, now: Monotonic, workspace: &WorkspaceId, tokens: u64) -> Verdict {
        if !self.buckets.contains_key(workspace) && self.buckets.len() >= MAX_BUCKETS {
            return refused(PATIENCE);
        }
        let lease = self.settings.lease;
        let bucket = self
            .buckets
            .entry(workspace.clone())
            .or_insert_with(|| Bucket::new(now));
        bucket.demand.record(now, tokens, lease);
        let verdict = self.resume(now, workspace, tokens, now);
        if let (Verdict::Pending(_), Some(bucket)) = (&verdict, self.buckets.get_mut(workspace)) {
            bucket.add_pending(tokens);
        }
        verdict
    }

    /// Charges again a request that has been pending since `since`.
    pub fn resume(
        &mut self,
        now: Monotonic,
        workspace: &WorkspaceId,
        tokens: u64,
        since: Monotonic,
    ) -> Verdict {
        let Some(bucket) = self.buckets.get_mut(workspace) else {
            return refused(PATIENCE);
        };
        if bucket.take(now, tokens) {
            return Verdict::Admitted(Charge {
                workspace: workspace.clone(),
                tokens,
            });
        }
        let denied_for = bucket.denied_for(now, tokens);
        if denied_for > Duration::ZERO {
            return refused(denied_for);
        }
        match (since + PATIENCE).checked_sub(now) {
            Some(left) if left > Duration::ZERO => {
                bucket.require(tokens);
                Verdict::Pending(left)
            }
            _ => refused(PATIENCE),
        }
    }

    /// Gives back what a request was charged and did not use.
    pub fn credit(&mut self, now: Monotonic, charge: Charge, used: u64) {
        let unused = charge.tokens.saturating_sub(used);
        if unused == 0 || self.buckets.len() >= MAX_BUCKETS {
            return;
        }
        let bucket = self
            .buckets
            .entry(charge.workspace)
            .or_insert_with(|| Bucket::new(now));
        bucket.put(now, unused, now + self.settings.lease);
    }

    /// Returns the asks that are due, one for each home; to be called every few milliseconds.
    pub fn asks(&mut self, now: Monotonic, view: &View) -> Vec<(InstanceId, Ask)> {
        let mut wants: BTreeMap<InstanceId, Vec<Want>> = BTreeMap::new();
        for (workspace, bucket) in &mut self.buckets {
            let Some((need, want, returned)) = bucket.due(now, self.settings.lease, PATIENCE)
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

    /// Takes a home's answer; one that was not asked for, or came before, is dropped.
    pub fn granted(&mut self, now: Monotonic, grants: &Grants) {
        if grants.incarnation != self.incarnation {
            return;
        }
        let Some(sent) = self.asked.remove(&grants.number) else {
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

    /// Returns how many workspaces are held.
    #[must_use]
    pub fn buckets(&self) -> usize {
        self.buckets.len()
    }

    /// Returns the tokens on hand for `workspace`.
    #[must_use]
    pub fn on_hand(&self, now: Monotonic, workspace: &WorkspaceId) -> u64 {
        self.buckets
            .get(workspace)
            .map_or(0, |bucket| bucket.on_hand(now))
    }

    fn ask(&mut self, now: Monotonic, wants: Vec<Want>) -> Ask {
        self.number += 1;
        self.asked.insert(self.number, now);
        if self.asked.len() > MAX_ASKS {
            self.asked.pop_first();
        }
        Ask {
            incarnation: self.incarnation,
            number: self.number,
            wants,
        }
    }
}

fn refused(retry_after: Duration) -> Verdict {
    Verdict::Refused(Refusal {
        kind: Kind::LimitExceeded,
        retry_after: retry_after.max(LEAST_RETURN),
    })
}
