//! Attempts that their upstreams may not have read, and upstreams that show nothing.
//!
//! An upstream whose process does not run still accepts connections. When it goes on it reads all that was sent to it, also what
//! was given up meanwhile, with the deadline of when it was sent. If the request was sent elsewhere in between, that is a repeat
//! which arrives late. Nothing takes it back, so a retry of an attempt that has shown nothing is owed until its upstream shows
//! that it has read the attempt, and a fleet makes few of these retries.
//!
//! An upstream that shows something has read what was sent to it before that was sent. One that leaves a question unanswered is
//! avoided for a moment, by all gateways that hear of it. Where there is no path at which to ask, an attempt without an answer is
//! the question. After that moment one attempt tries whether the upstream reads again.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::Gateway;
use crate::quarantine::StartTag;
use crate::quarantine::start_tag;
use crate::request::Plan;
use crate::retry_budget::late;
use crate::route::ServiceId;
use crate::share;
use crate::upstream::Upstream;

/// Time for which an upstream is avoided after it was last found to show nothing.
const LEASE: Duration = Duration::from_secs(1);
/// Time since an upstream last showed something from which on another gateway is believed that it shows nothing: that one has
/// waited for so long.
const TOLD_AFTER: Duration = Duration::from_millis(100);
/// Least time from a retry until the first attempt arrives at which the platform's operators take its deadline for too late, less
/// what the retry takes to arrive.
const LATE_AFTER: Duration = Duration::from_millis(400);
/// Time since the first attempt from which on a retry counts as late even if it takes no time to arrive.
const LATE_RETRY_AFTER: Duration = Duration::from_millis(550);
/// Time after a retry from which on an upstream that is not listed any more is taken to have ended: more than a process is paused.
const MAX_PAUSE: Duration = Duration::from_mins(1);
/// Maximum number of retries that a gateway remembers as owed.
const MAX_DEBTS: usize = 1_024;
/// Part of the time that a request has left in which its upstream has to be found silent, before another attempt is due.
const SUSPICION_FRACTION: f64 = 0.4;
/// Times the longest recent answer of its route after which an attempt makes its upstream suspect.
const SUSPICION_FACTOR: u32 = 2;
/// Least age of an attempt that makes its upstream suspect.
const MIN_SUSPICION: Duration = Duration::from_millis(50);

/// Upstreams that the sender finds silent, by their starts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Silent(pub Vec<StartTag>);

/// An attempt that was sent, and has shown nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Start of the upstream that it was sent to.
    pub upstream: StartTag,
    /// When it was sent.
    pub sent: Monotonic,
}

impl Attempt {
    /// Returns an attempt at `upstream`.
    #[must_use]
    pub fn new(upstream: &Upstream, sent: Monotonic) -> Attempt {
        Attempt {
            upstream: start_tag(upstream),
            sent,
        }
    }
}

/// What one start of an upstream has shown.
#[derive(Clone, Copy, Debug, Default)]
struct Sign {
    /// When the last of those attempts was sent that have shown something.
    read_until: Option<Monotonic>,
    /// When it last showed something.
    heard: Option<Monotonic>,
    /// When the first attempt was sent since then.
    waiting_since: Option<Monotonic>,
    /// When it was last found silent.
    silent_at: Option<Monotonic>,
    /// Until when it is avoided.
    avoided_until: Option<Monotonic>,
}

/// A retry whose earlier attempt may still arrive.
#[derive(Clone, Debug)]
struct Debt {
    attempt: Attempt,
    service: ServiceId,
    paid: Monotonic,
    /// Whether the time that its attempts get is limited.
    is_timed: bool,
}

/// Signs of upstreams, and what is owed for attempts that may not have been read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unread {
    signs: HashMap<StartTag, Sign>,
    debts: Vec<Debt>,
    allowance: late::Allowance,
    /// Retry at an upstream that could not be asked whether it reads, until it has shown something.
    trial: Option<Attempt>,
}

impl Gateway {
    /// Records that an upstream answered something that was sent to it at `sent`; returns whether it had been found silent.
    pub fn record_sign(&mut self, upstream: &Upstream, sent: Monotonic, now: Monotonic) -> bool {
        let start = start_tag(upstream);
        let sign = self.unread.signs.entry(start).or_default();
        sign.read_until = sign.read_until.max(Some(sent));
        sign.heard = Some(now);
        sign.waiting_since.take_if(|since| *since <= sent);
        let was_avoided = sign.avoided_until.take().is_some_and(|until| now < until);
        let trial = self.unread.trial;
        if trial.is_some_and(|trial| trial.upstream == start && trial.sent <= sent) {
            self.end_trial(now);
        }
        self.settle(
            |debt| debt.attempt.upstream == start && debt.attempt.sent <= sent,
            |debt| now.saturating_sub(debt.paid) >= LATE_AFTER,
        );
        was_avoided
    }

    /// Records that an attempt is sent to an upstream. If it was found silent and has shown nothing since, no other attempt follows
    /// for a moment.
    pub fn record_sent(&mut self, upstream: &Upstream, sent: Monotonic) {
        let sign = self.unread.signs.entry(start_tag(upstream)).or_default();
        sign.waiting_since.get_or_insert(sent);
        if sign.is_silent() {
            sign.avoided_until = sign.avoided_until.max(Some(sent + LEASE));
        }
    }

    /// Returns whether a retry may be sent to an upstream that can't be asked whether it reads: one at a time, if no attempt waits
    /// there. Those that are read late count among the retries of unread attempts.
    pub fn may_try(&mut self, upstream: &Upstream, now: Monotonic) -> bool {
        let is_under_way = self.unread.trial.is_some_and(|one| self.is_unread(&one));
        if is_under_way || self.has_waiting(upstream, now) {
            return false;
        }
        self.has_late_retry(now) || self.unread.allowance.is_unused()
    }

    /// Records a retry that is sent to an upstream which could not be asked whether it reads.
    pub fn record_trial(&mut self, trial: Attempt) {
        self.unread.trial = Some(trial);
    }

    /// Records that an attempt ended by its upstream, or was not sent, so that it does not arrive later.
    pub fn record_ended(&mut self, attempt: &Attempt) {
        self.unread.trial.take_if(|trial| trial == attempt);
    }

    fn end_trial(&mut self, now: Monotonic) {
        let trial = self.unread.trial.take();
        if trial.is_some_and(|trial| now.saturating_sub(trial.sent) >= LATE_AFTER) {
            self.unread.allowance.spend();
        }
    }

    /// Returns whether an attempt at an upstream has waited for a while, and the upstream has shown nothing since.
    #[must_use]
    pub fn has_waiting(&self, upstream: &Upstream, now: Monotonic) -> bool {
        let sign = self.unread.signs.get(&start_tag(upstream));
        let since = sign.and_then(|sign| sign.waiting_since);
        since.is_some_and(|since| now.saturating_sub(since) >= MIN_SUSPICION)
    }

    /// Records that an upstream has left a question of `asked` unanswered; returns whether it is avoided from now on and was not
    /// before.
    pub fn record_silence(
        &mut self,
        upstream: &Upstream,
        asked: Monotonic,
        now: Monotonic,
    ) -> bool {
        let sign = self.unread.signs.entry(start_tag(upstream)).or_default();
        sign.avoid(asked, now)
    }

    /// Applies what another gateway found silent; returns those upstreams that are avoided from now on and were not before.
    pub fn hear_silence(&mut self, silent: &Silent, now: Monotonic) -> Vec<StartTag> {
        let known: HashSet<StartTag> = self.pool.starts().map(|(start, _)| start).collect();
        let told = silent.0.iter().filter(|start| known.contains(start));
        let signs = &mut self.unread.signs;
        let asked = now.saturating_sub(TOLD_AFTER);
        let told = told.filter(|start| signs.entry(**start).or_default().avoid(asked, now));
        told.copied().collect()
    }

    /// Returns whether an upstream has shown something since `since`.
    #[must_use]
    pub fn has_shown(&self, upstream: &Upstream, since: Monotonic) -> bool {
        let sign = self.unread.signs.get(&start_tag(upstream));
        let heard = sign.and_then(|sign| sign.heard);
        heard.is_some_and(|heard| heard >= since)
    }

    /// Returns whether an upstream was found silent a short time ago and has shown nothing since.
    #[must_use]
    pub fn is_avoided(&self, upstream: &Upstream, now: Monotonic) -> bool {
        if self.unread.signs.is_empty() {
            return false;
        }
        let sign = self.unread.signs.get(&start_tag(upstream));
        let until = sign.and_then(|sign| sign.avoided_until);
        until.is_some_and(|until| now < until)
    }

    /// Returns whether an upstream was found silent since `sent`, so that the time of its answer says nothing about its route.
    #[must_use]
    pub fn was_silent_since(&self, upstream: &Upstream, sent: Monotonic) -> bool {
        let sign = self.unread.signs.get(&start_tag(upstream));
        let silent_at = sign.and_then(|sign| sign.silent_at);
        silent_at.is_some_and(|at| at >= sent)
    }

    /// Returns whether nothing shows that an upstream has read an attempt.
    #[must_use]
    pub fn is_unread(&self, attempt: &Attempt) -> bool {
        let sign = self.unread.signs.get(&attempt.upstream);
        let read_until = sign.and_then(|sign| sign.read_until);
        read_until.is_none_or(|until| until < attempt.sent)
    }

    /// Returns the path at which upstreams of a service can be asked whether they read; `None` if there is none.
    #[must_use]
    pub fn health_path(&self, service: &str) -> Option<String> {
        let service = self.table()?.service(service)?;
        service.health_path.clone()
    }

    /// Returns at which age an attempt with this time left makes its upstream suspect, unless this shows something: once answers
    /// of the route usually are there, and in time before another attempt is due. `None` if its answers tell nothing, as those of
    /// groups that fill up.
    #[must_use]
    pub fn suspicion_age(&self, plan: &Plan, left: Duration, now: Monotonic) -> Option<Duration> {
        if plan.engine.is_some() {
            return None;
        }
        let latest = left.mul_f64(SUSPICION_FRACTION);
        let longest = self.longest_duration(plan, now);
        let usual = longest.map_or(latest, |longest| longest * SUSPICION_FACTOR);
        Some(usual.clamp(MIN_SUSPICION, latest.max(MIN_SUSPICION)))
    }

    /// Takes a retry for a request of which this attempt has shown nothing, and owes it until the attempt has; returns whether
    /// one was left.
    pub fn take_owed_retry(&mut self, plan: &Plan, attempt: Attempt, now: Monotonic) -> bool {
        let is_timed = !plan.route.kind.is_stream();
        if self.unread.debts.len() >= MAX_DEBTS || (is_timed && !self.has_late_retry(now)) {
            return false;
        }
        let permit = self.budget.withdraw_owed(now, &plan.service, &plan.service);
        if permit.is_err() {
            return false;
        }
        if is_timed {
            self.unread.allowance.spend();
        }
        self.unread.debts.push(Debt {
            attempt,
            service: plan.service.clone(),
            paid: now,
            is_timed,
        });
        true
    }

    /// Records that a retry sent at `sent` was read, of a request that was first sent at `first` and of which all attempts before
    /// were read: it may have arrived late, with no more time than was left.
    pub fn record_read_retry(&mut self, plan: &Plan, first: Monotonic, sent: Monotonic) {
        let is_late = sent.saturating_sub(first) >= LATE_RETRY_AFTER;
        if is_late && !plan.route.kind.is_stream() {
            self.unread.allowance.record_timely();
        }
    }

    fn has_late_retry(&mut self, now: Monotonic) -> bool {
        let key = self.unread.allowance.begin(now);
        let fleet = self.budget_members(now);
        let instance = &self.roster.own_entry().instance;
        let share = key.zip(fleet);
        let share = share.map(|(key, fleet)| share::of(late::FLEET_RETRIES, fleet, instance, &key));
        self.unread.allowance.is_left(share.unwrap_or(0))
    }

    /// Returns the number of retries that this gateway owes.
    #[must_use]
    pub fn owed_retries(&self) -> usize {
        self.unread.debts.len()
    }

    /// Returns whether this gateway owes retries for attempts at this start of an upstream.
    #[must_use]
    pub fn owes(&self, upstream: &Upstream) -> bool {
        let start = start_tag(upstream);
        let mut debts = self.unread.debts.iter();
        debts.any(|debt| debt.attempt.upstream == start)
    }

    /// Records that the process of an upstream has ended, so that it reads nothing any more.
    pub fn record_end(&mut self, upstream: &Upstream) {
        let start = start_tag(upstream);
        self.settle(|debt| debt.attempt.upstream == start, |_| false);
    }

    /// Forgets upstreams that are no longer listed. A process that does not run is removed from the list too, and reads later.
    pub(crate) fn forget_unread(&mut self, now: Monotonic) {
        let is_over = |trial: &mut Attempt| now.saturating_sub(trial.sent) >= MAX_PAUSE;
        self.unread.trial.take_if(is_over);
        if self.unread.signs.is_empty() && self.unread.debts.is_empty() {
            return;
        }
        let mut known: HashSet<StartTag> = self.pool.starts().map(|(start, _)| start).collect();
        let is_over = |debt: &Debt| {
            !known.contains(&debt.attempt.upstream) && now.saturating_sub(debt.paid) >= MAX_PAUSE
        };
        self.settle(is_over, |_| true);
        known.extend(self.unread.debts.iter().map(|debt| debt.attempt.upstream));
        self.unread.signs.retain(|start, _| known.contains(start));
    }

    /// Settles debts. A retry whose attempt was not read late may be made again.
    fn settle(&mut self, is_settled: impl Fn(&Debt) -> bool, was_late: impl Fn(&Debt) -> bool) {
        let settled = self.unread.debts.extract_if(.., |debt| is_settled(debt));
        for debt in settled {
            self.budget.settle(&debt.service, &debt.service);
            if debt.is_timed && !was_late(&debt) {
                self.unread.allowance.refund();
            }
        }
    }
}

impl Sign {
    /// Returns whether the upstream was found silent and has shown nothing since.
    fn is_silent(&self) -> bool {
        let silent_at = self.silent_at;
        silent_at.is_some_and(|at| self.heard.is_none_or(|heard| heard < at))
    }

    /// Avoids the upstream unless it has shown something since it was asked; returns whether that is new.
    fn avoid(&mut self, asked: Monotonic, now: Monotonic) -> bool {
        if self.heard.is_some_and(|heard| heard >= asked) {
            return false;
        }
        let was_avoided = self.avoided_until.is_some_and(|until| now < until);
        self.silent_at = Some(now);
        self.avoided_until = Some(now + LEASE);
        !was_avoided
    }
}
