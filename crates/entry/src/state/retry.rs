//! Whether, where and when a request is sent again, and which groups are left out.
//!
//! A further send needs a proof that it is safe, a group that it has not been to, and a permit
//! of that group's and its workspace's budget; without them the caller gets its answer at once. It
//! then waits its back-off in [`Phase::Waiting`]. The time to come back that a refusal gave is for
//! the caller: the next send goes to another group, and does not wait for it.
//!
//! A wait for a newer configuration ([`Phase::Behind`]) is no repetition: the slot's refusal costs it
//! nothing, and the cause is gone before the next send.

use std::time::Duration;

use auburnline_attempt::attempt::Attempt;
use auburnline_attempt::attempt::Fresh;
use auburnline_core::answer::Failure;
use auburnline_core::error::Fate;
use auburnline_core::error::Kind;
use auburnline_core::id::GroupId;
use auburnline_core::id::InstanceId;
use auburnline_core::id::WorkspaceId;
use auburnline_core::time::Monotonic;
use auburnline_peer::wire::Stream;
use auburnline_process::link::Link;
use auburnline_retries::backoff::Backoff;
use auburnline_retries::budget;
use auburnline_retries::budget::Budget;
use auburnline_retries::budget::Side;
use auburnline_retries::policy;
use auburnline_retries::policy::Decision;
use auburnline_retries::policy::Policy;
use auburnline_retries::policy::Refusal;
use auburnline_retries::retryable::Idempotent;
use auburnline_retries::retryable::Retryable;

use crate::state::State;
use crate::state::ejection::End;
use crate::state::ejection::Pools;
use crate::state::ejection::Shard;
use crate::state::exchange::Exchange;
use crate::state::exchange::Phase;

/// Most slots that one request is sent to, one after the other.
pub(crate) const MAX_SENDS: u32 = 3;
/// Least time to come back for a caller whose request was given no further send.
const COME_BACK: Duration = Duration::from_secs(1);
/// Time between two looks for budgets that are full again.
const TIDY: Duration = Duration::from_secs(5);

/// What decides about further sends.
pub(crate) struct Retries {
    policy: Policy,
    budget: Budget<GroupId, WorkspaceId>,
    tidied: Monotonic,
    pub(crate) pools: Pools,
    /// Whether the groups that could serve have changed since the last tick.
    pub(crate) is_stale: bool,
}

/// Leave for one further send.
pub(crate) struct Turn {
    group: GroupId,
    pub(crate) until: Monotonic,
}

/// Why there is no further send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Denial {
    /// No other group can be sent to.
    NoUpstream,
    /// The policy's or a budget's reason.
    Refused(Refusal),
}

impl Denial {
    /// Returns the word for the log.
    const fn name(self) -> &'static str {
        match self {
            Denial::NoUpstream => "no_upstream",
            Denial::Refused(Refusal::NotRetryable) => "no_ground",
            Denial::Refused(Refusal::Attempts) => "attempts",
            Denial::Refused(Refusal::Deadline) => "deadline",
            Denial::Refused(Refusal::Budget(Side::Upstream)) => "upstream_budget",
            Denial::Refused(Refusal::Budget(Side::Workspace)) => "workspace_budget",
        }
    }
}

impl Retries {
    pub(crate) fn new(now: Monotonic) -> Retries {
        Retries {
            policy: Policy {
                max_attempts: MAX_SENDS,
                backoff: Backoff::default(),
            },
            budget: Budget::new(budget::Settings::default()),
            tidied: now,
            pools: Pools::default(),
            is_stale: true,
        }
    }
}

impl State {
    /// Pays for a first send. A caller's own later attempts pay for none.
    pub(crate) fn pay_in(&mut self, exchange: &Exchange, group: &GroupId) {
        let first = exchange.request.attempt.is_none_or(|number| number <= 1);
        if first && exchange.sends == 0 {
            let now = self.clock.now();
            let workspace = &exchange.request.workspace;
            self.retries.budget.deposit(now, group, workspace);
        }
    }

    /// Asks for a further send after one that ended with `kind`.
    pub(crate) fn ask_again(
        &mut self,
        exchange: &mut Exchange,
        kind: Kind,
    ) -> Result<Turn, Denial> {
        self.release(exchange);
        let turn = self.turn(exchange, kind);
        if let Err(denial) = &turn
            && *denial != Denial::Refused(Refusal::NotRetryable)
        {
            let age = self.clock.now().saturating_sub(exchange.arrived);
            log::info!(
                target: "decision",
                request = &*exchange.request.id,
                kind:%,
                reason = denial.name(),
                sends = exchange.sends,
                age_ms = age.as_millis();
                "abandon"
            );
        }
        turn
    }

    fn turn(&mut self, exchange: &mut Exchange, kind: Kind) -> Result<Turn, Denial> {
        let witness = Idempotent::of(&exchange.request);
        if Retryable::of(kind, witness).is_none() {
            return Err(Denial::Refused(Refusal::NotRetryable));
        }
        if exchange.sends >= MAX_SENDS {
            return Err(Denial::Refused(Refusal::Attempts));
        }
        let chosen = self.choose(exchange).map_err(|_| Denial::NoUpstream)?;
        let group = chosen.0;
        let now = self.clock.now();
        let failure = policy::Failure {
            kind,
            witness,
            attempts: exchange.sends,
            retry_after: Duration::ZERO,
            left: exchange.deadline().saturating_sub(now),
            upstream: &group,
            workspace: &exchange.request.workspace,
        };
        let retries = &mut self.retries;
        let decision = retries
            .policy
            .decide(now, &failure, &mut retries.budget, &mut self.rng);
        match decision {
            Decision::Retry { wait, proof, .. } => {
                log::info!(
                    target: "decision",
                    request = &*exchange.request.id,
                    group = &*group,
                    kind:%,
                    reason = if proof.is_not_run() { "not_run" } else { "idempotent" },
                    sends = exchange.sends,
                    wait_ms = wait.as_millis(),
                    age_ms = now.saturating_sub(exchange.arrived).as_millis();
                    "retry"
                );
                let until = now + wait;
                Ok(Turn { group, until })
            }
            Decision::GiveUp(refusal) => Err(Denial::Refused(refusal)),
        }
    }

    /// Lets a request wait for its turn.
    pub(crate) fn wait(
        &mut self,
        stream: Stream,
        mut exchange: Exchange,
        attempt: Attempt<Fresh>,
        turn: Turn,
    ) {
        exchange.phase = Phase::Waiting { attempt, turn };
        self.exchanges.insert(stream, exchange);
    }

    /// Sends a request whose turn has come, or ends it if its deadline came first.
    pub(crate) fn take_turn(&mut self, stream: Stream, now: Monotonic) {
        let Some(mut exchange) = self.exchanges.remove(&stream) else {
            return;
        };
        let Phase::Waiting { attempt, turn } = exchange.take() else {
            return;
        };
        if now >= exchange.deadline() {
            let failure = Failure::new(Kind::DeadlinePassed, "the deadline passed between sends");
            return self.end(exchange, attempt, failure);
        }
        let Some((group, link)) = self.hold(&mut exchange, &turn.group, now) else {
            let failure = Failure::new(Kind::Unreachable, "no other upstream can be sent to");
            return self.end(exchange, attempt, failure);
        };
        self.hand_over(stream, exchange, attempt, group, &link);
    }

    /// Returns the group that the permit is for, or pays for another if that one is gone by now.
    fn hold(
        &mut self,
        exchange: &mut Exchange,
        group: &GroupId,
        now: Monotonic,
    ) -> Option<(GroupId, Link)> {
        let part = self.retries.pools.part(now, &shard(exchange), group);
        if part > 0.0
            && let Some((group, link)) = self.link_of(group, exchange)
            && self.admits_work(&link.instance)
        {
            return Some((group, link));
        }
        let (group, link) = self.choose(exchange).ok()?;
        let workspace = &exchange.request.workspace;
        let permit = self.retries.budget.withdraw(now, &group, workspace);
        permit.is_ok().then_some((group, link))
    }

    /// Records how a send to a slot ended; `None` if it says nothing about the slot's group.
    pub(crate) fn record(&mut self, exchange: &Exchange, slot: &InstanceId, kind: Option<Kind>) {
        let Some(group) = self.admits.get(slot) else {
            return;
        };
        let end = match kind {
            None => End::Served,
            Some(kind) if !blames(kind) => return,
            Some(kind) if kind.row().fate == Fate::NotRun => End::Refused,
            Some(_) => End::Lost,
        };
        let now = self.clock.now();
        let pools = &mut self.retries.pools;
        pools.record(now, &shard(exchange), group, end);
    }

    /// Forgets budgets that are full, and ends the windows of ejection.
    pub(crate) fn tick_retries(&mut self, now: Monotonic) {
        if std::mem::take(&mut self.retries.is_stale) {
            self.observe_sessions(now);
        }
        let retries = &mut self.retries;
        if now >= retries.tidied + TIDY {
            retries.tidied = now;
            retries.budget.tick(now);
        }
        retries.pools.tick(now, &mut self.router);
    }
}

/// Returns the units of routing among which a request chooses.
pub(crate) fn shard(exchange: &Exchange) -> Shard {
    (exchange.query.pool.clone(), exchange.query.model.clone())
}

/// Whether an end speaks against the group: not what its callers or its configuration brought about.
const fn blames(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::Overloaded
            | Kind::NotReady
            | Kind::Unreachable
            | Kind::OutcomeUnknown
            | Kind::UpstreamFailed
            | Kind::Incomplete
            | Kind::Internal
    )
}

/// Returns the answer for a request that is given no further send.
pub(crate) fn last(failure: Failure) -> Failure {
    let retry = failure.retry.map(|retry| retry.max(COME_BACK));
    Failure { retry, ..failure }
}
