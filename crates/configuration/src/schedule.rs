//! When a process calls the configuration service.
//!
//! A few direct readers in each failure domain watch; the others are told by peers and read seldom.
//! The total rate of calls is budgeted: a follower's period grows with the square root of the
//! fleet, so the followers' total grows with the root only. A process that hears no peer reads more
//! often, within a fixed budget for the whole fleet. A waiting watch counts as a call.

use std::time::Duration;

use auburnline_core::hash::rendezvous_order;
use auburnline_core::id::FailureDomainId;
use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;
use rand::Rng;

use crate::parcel::Ticket;

/// Direct readers in each failure domain.
pub const READERS_PER_FAILURE_DOMAIN: usize = 2;
/// Time that a watch waits for a change.
pub const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Period of a follower's reads in a fleet of one.
pub const FOLLOWER_PERIOD: Duration = Duration::from_secs(20);
/// Reads a second of a whole fleet whose processes hear no peers.
pub const ISOLATED_RATE: u32 = 200;
/// Shortest period of a process that hears no peers.
pub const ISOLATED_PERIOD: Duration = Duration::from_secs(1);

/// Time after a watch's end that its answer may take.
const ANSWER_GRACE: Duration = Duration::from_secs(2);
/// Shortest time between two calls.
const MIN_GAP: Duration = Duration::from_millis(50);
/// First delay after a call that brought nothing.
const FIRST_DELAY: Duration = Duration::from_millis(200);
/// Longest delay after calls that brought nothing.
const MAX_DELAY: Duration = Duration::from_secs(2);
/// First reads of processes that start together are spread over this time.
const START_SPREAD: Duration = Duration::from_millis(500);

/// A live process as the published list and the sessions show it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Name.
    pub instance: InstanceId,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
}

/// A call to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Number to be returned with the answer; an earlier call is given up.
    pub ticket: Ticket,
    /// Time to wait for a change; zero reads at once.
    pub wait: Duration,
}

/// What a call brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A newer manifest.
    Newer,
    /// What is in force.
    Same,
    /// An older manifest, or a conflicting or invalid one.
    Rejected,
    /// No answer.
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct Outstanding {
    ticket: Ticket,
    since: Monotonic,
    wait: Duration,
}

/// What the last calls have shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No answer since the start, a refresh or a failed fetch.
    Urgent,
    /// The last answer was of no use, so that a watch would end at once.
    Unsettled,
    /// The last answer was the newest known.
    Settled,
}

/// The calls of one process.
#[derive(Debug)]
pub struct Schedule {
    is_reader: bool,
    fleet: u32,
    outstanding: Option<Outstanding>,
    next: Monotonic,
    /// Calls in a row that brought nothing.
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

    /// Takes the believed-live processes; returns whether the role of this one changed.
    ///
    /// Processes with other views may name other readers: some too many do no harm, and with none
    /// the followers' reads stand in.
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

    /// Makes a read due at once, in place of any call that waits.
    pub fn refresh(&mut self, now: Monotonic) {
        self.outstanding = None;
        self.next = now;
        self.phase = Phase::Urgent;
        self.unproductive_calls = 0;
    }

    /// Makes a read due soon, as after sections that did not come.
    pub fn retry(&mut self, now: Monotonic, rng: &mut impl Rng) {
        self.outstanding = None;
        self.unproductive_calls += 1;
        self.phase = Phase::Urgent;
        self.next = now + self.back_off().mul_f64(rng.random_range(0.5..1.5));
    }

    /// Returns the call that is due, if any; `ticket` will name it.
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

    /// Returns the number of a call that was not answered in time.
    #[must_use]
    pub fn late(&self, now: Monotonic) -> Option<Ticket> {
        let call = self.outstanding?;
        (now >= call.since + call.wait + ANSWER_GRACE).then_some(call.ticket)
    }

    /// Takes what the call `ticket` brought; an earlier call's answer changes nothing.
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
        // A watch that ends at once without a change is no watch.
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
            tries => FIRST_DELAY.mul_f64(f64::from(tries).exp2()).min(MAX_DELAY),
        }
    }

    fn isolated_period(&self) -> Duration {
        let shared = Duration::from_secs(1) * self.fleet / ISOLATED_RATE;
        shared.max(ISOLATED_PERIOD)
    }
}
