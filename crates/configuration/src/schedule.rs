//! Schedule of a process's calls to the configuration service.
//!
//! A few direct readers in each failure domain watch the service. The other processes, the
//! followers, learn of changes from peers and read rarely. The total rate of calls is bounded: a
//! follower's period grows with the square root of the fleet size, so the total rate of the
//! followers grows with the square root only. A process that hears from no peer reads more often,
//! within a fixed budget for the whole fleet. A watch that waits counts as a call.

use std::time::Duration;

use auburnline_core::hash::rendezvous_order;
use auburnline_core::id::FailureDomainId;
use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;
use rand::Rng;

use crate::parcel::Ticket;

/// Direct readers in each failure domain.
pub const READERS_PER_FAILURE_DOMAIN: usize = 2;
/// Maximum time that a watch waits for a change.
pub const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Mean period of a follower's reads in a fleet of one; scaled by the square root of the fleet
/// size.
pub const FOLLOWER_PERIOD: Duration = Duration::from_secs(20);
/// Reads per second of a whole fleet whose processes hear from no peers.
pub const ISOLATED_RATE: u32 = 200;
/// Shortest mean period of the reads of a process that hears from no peers.
pub const ISOLATED_PERIOD: Duration = Duration::from_secs(1);

/// Time that an answer may take beyond the wait of its call.
const ANSWER_GRACE: Duration = Duration::from_secs(2);
/// Mean delay between a useful answer and a direct reader's next call.
const MIN_GAP: Duration = Duration::from_millis(50);
/// Base of the backoff: the mean delay after `n` unproductive calls in a row is this times 2^n.
const BACKOFF_BASE: Duration = Duration::from_millis(200);
/// Upper bound of the mean delay after unproductive calls.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Interval over which the first reads of processes that start together are spread.
const START_SPREAD: Duration = Duration::from_millis(500);

/// Process that is believed live, according to the published list and the sessions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Name of the process's instance.
    pub instance: InstanceId,
    /// Failure domain of the instance; direct readers are chosen within it.
    pub failure_domain: FailureDomainId,
}

/// Call of the configuration service that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Number that the answer returns; it replaces any earlier call.
    pub ticket: Ticket,
    /// Maximum time to wait for a change; zero reads at once.
    pub wait: Duration,
}

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A newer manifest.
    Newer,
    /// The manifest in force or the one being fetched.
    Same,
    /// An older manifest, or a conflicting or invalid one.
    Rejected,
    /// The read failed or timed out, or sections were missing or damaged.
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct Outstanding {
    ticket: Ticket,
    since: Monotonic,
    wait: Duration,
}

/// State that the results of the last calls lead to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No answer since the start, a refresh or a failed fetch: reads are delayed by the backoff
    /// only.
    Urgent,
    /// The last call failed, or its answer was rejected and a watch would end at once: reads don't
    /// wait for a change.
    Unsettled,
    /// The last answer was the newest known configuration: a direct reader may watch.
    Settled,
}

/// Schedule of the calls of one process; at most one call is outstanding.
#[derive(Debug)]
pub struct Schedule {
    is_reader: bool,
    fleet: u32,
    outstanding: Option<Outstanding>,
    next: Monotonic,
    /// Number of calls in a row without a useful answer, watches that ended early among them.
    unproductive_calls: u32,
    phase: Phase,
    was_isolated: bool,
}

impl Schedule {
    /// Returns the schedule of a process that starts at `now`.
    pub fn new(now: Monotonic, rng: &mut impl Rng) -> Self {
        Self {
            is_reader: true,
            fleet: 1,
            outstanding: None,
            next: now + START_SPREAD.mul_f64(rng.random()),
            unproductive_calls: 0,
            phase: Phase::Urgent,
            was_isolated: false,
        }
    }

    /// Returns whether this process watches the configuration service.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Sets the processes believed live; returns whether this one became or ceased to be a direct
    /// reader.
    ///
    /// Processes with different views may choose different readers. A few readers too many are
    /// harmless, and if there are none, the followers' own reads still find changes.
    pub fn set_live(&mut self, me: &Member, live: &[Member], now: Monotonic) -> bool {
        let domain = &me.failure_domain;
        let same = live
            .iter()
            .filter(|member| member.failure_domain == *domain);
        let mut names: Vec<InstanceId> = same.map(|member| member.instance.clone()).collect();
        if !names.contains(&me.instance) {
            names.push(me.instance.clone());
        }
        let key = format!("configuration-reader/{domain}");
        rendezvous_order(&key, &mut names);
        names.truncate(READERS_PER_FAILURE_DOMAIN);
        self.fleet = u32::try_from(live.len().max(1)).unwrap_or(u32::MAX);
        let before = self.is_reader;
        self.is_reader = names.contains(&me.instance);
        if self.is_reader && !before {
            self.next = now;
        }
        before != self.is_reader
    }

    /// Makes a read due at once; the answer of an outstanding call is ignored.
    pub fn refresh(&mut self, now: Monotonic) {
        self.outstanding = None;
        self.next = now;
        self.phase = Phase::Urgent;
        self.unproductive_calls = 0;
    }

    /// Makes a read due after a backoff, for instance when sections could not be read in time.
    pub fn retry(&mut self, now: Monotonic, rng: &mut impl Rng) {
        self.outstanding = None;
        self.unproductive_calls += 1;
        self.phase = Phase::Urgent;
        self.next = now + self.back_off().mul_f64(rng.random_range(0.5..1.5));
    }

    /// Returns the call that is due, if any, with `ticket` as its number.
    pub fn due(
        &mut self,
        ticket: Ticket,
        is_isolated: bool,
        now: Monotonic,
        rng: &mut impl Rng,
    ) -> Option<Call> {
        if is_isolated && !self.was_isolated && !self.is_reader {
            let soon = now + self.isolated_period().mul_f64(rng.random());
            self.next = self.next.min(soon);
        }
        self.was_isolated = is_isolated;
        if self.outstanding.is_some() || now < self.next {
            return None;
        }
        let wait = if self.is_reader && self.phase == Phase::Settled {
            WATCH_WAIT
        } else {
            Duration::ZERO
        };
        let since = now;
        self.outstanding = Some(Outstanding {
            ticket,
            since,
            wait,
        });
        Some(Call { ticket, wait })
    }

    /// Returns the ticket of the outstanding call if its time to answer has passed.
    #[must_use]
    pub fn late(&self, now: Monotonic) -> Option<Ticket> {
        let call = self.outstanding?;
        (now >= call.since + call.wait + ANSWER_GRACE).then_some(call.ticket)
    }

    /// Records the result of the call `ticket`; the result of an earlier call is ignored.
    pub fn answered(
        &mut self,
        ticket: Ticket,
        outcome: Outcome,
        now: Monotonic,
        rng: &mut impl Rng,
    ) {
        let Some(call) = self.outstanding.filter(|call| call.ticket == ticket) else {
            return;
        };
        self.outstanding = None;
        // A watch that ends early without a change counts as unproductive. Otherwise a service that
        // doesn't hold watches open would be called every `MIN_GAP`.
        let ended_early = call.wait > Duration::ZERO && now < call.since + call.wait / 2;
        let unproductive = match outcome {
            Outcome::Newer => false,
            Outcome::Same => ended_early,
            Outcome::Rejected | Outcome::Failed => true,
        };
        self.unproductive_calls = if unproductive {
            self.unproductive_calls + 1
        } else {
            0
        };
        self.phase = match outcome {
            Outcome::Newer | Outcome::Same => Phase::Settled,
            Outcome::Failed if self.phase == Phase::Urgent => Phase::Urgent,
            Outcome::Failed | Outcome::Rejected => Phase::Unsettled,
        };
        self.next = now + self.delay(rng);
    }

    fn delay(&self, rng: &mut impl Rng) -> Duration {
        let jitter = rng.random_range(0.5..1.5);
        let back_off = self.back_off();
        if self.is_reader || self.phase == Phase::Urgent {
            return back_off.mul_f64(jitter);
        }
        let period = if self.was_isolated {
            self.isolated_period()
        } else {
            FOLLOWER_PERIOD.mul_f64(f64::from(self.fleet).sqrt())
        };
        period.mul_f64(jitter).max(back_off)
    }

    fn back_off(&self) -> Duration {
        match self.unproductive_calls {
            0 => MIN_GAP,
            tries => {
                let factor = 2_u32.saturating_pow(tries);
                BACKOFF_BASE.saturating_mul(factor).min(MAX_BACKOFF)
            }
        }
    }

    fn isolated_period(&self) -> Duration {
        let shared = Duration::from_secs(1) * self.fleet / ISOLATED_RATE;
        shared.max(ISOLATED_PERIOD)
    }
}
