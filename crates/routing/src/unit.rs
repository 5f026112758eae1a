//! One unit of routing as this process sees it.
//!
//! The load of a unit is its last report plus what this process sent after the moment of
//! measurement. A send that has finished is taken out again if the report did not include it.
//! Without a usable report, the load is what this process has outstanding there.

use std::collections::VecDeque;
use std::time::Duration;

use auburnline_core::id::FailureDomainId;
use auburnline_core::id::GroupId;
use auburnline_core::id::ModelId;
use auburnline_core::id::PoolId;
use auburnline_core::load::Load;
use auburnline_core::load::Report;
use auburnline_core::time::Monotonic;

use crate::config::Config;
use crate::number::float;

/// Most sends that are kept apart between two reports; older ones are merged.
const MAX_SENDS: usize = 64;

/// What is published of a unit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Pool that the unit belongs to.
    pub pool: PoolId,
    /// Model that the unit holds; `None` for a plain service.
    pub model: Option<ModelId>,
    /// Failure domain of the unit's first instance.
    pub failure_domain: FailureDomainId,
}

/// Reason why a unit takes no new work although its session is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mark {
    /// An instance of the unit is leaving the fleet or draining.
    Leaving = 1,
    /// The unit's slot has been fenced off.
    Fenced = 2,
    /// The unit is ejected for its failures.
    Ejected = 4,
}

/// Record of one send; given back when the request ends there.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a ticket that is dropped leaves the unit looking busy"]
pub struct Ticket {
    pub(crate) group: GroupId,
    pub(crate) tokens: u64,
    pub(crate) at: Monotonic,
}

impl Ticket {
    /// Returns the unit that the request was sent to.
    #[must_use]
    pub fn group(&self) -> &GroupId {
        &self.group
    }
}

/// A report and the moment of its measurement on this process's clock.
#[derive(Clone, Copy, Debug)]
struct Measurement {
    load: Load,
    at: Monotonic,
}

/// Tokens before a unit, or a sum over units, by who knows of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Backlog {
    /// Units that have reported.
    pub(crate) reports: u64,
    /// Tokens that the last report names.
    pub(crate) reported: u64,
    /// Tokens that this process sent and the report does not cover.
    pub(crate) own: u64,
}

impl Backlog {
    /// Returns all tokens.
    pub(crate) fn total(self) -> u64 {
        self.reported.saturating_add(self.own)
    }

    /// Returns the mean of what the units that have reported say.
    pub(crate) fn mean_reported(self) -> f64 {
        float(self.reported) / float(self.reports.max(1))
    }

    /// Returns the sum with one unit's part replaced.
    pub(crate) fn replace(self, before: Backlog, after: Backlog) -> Backlog {
        Backlog {
            reports: self.reports - before.reports + after.reports,
            reported: self.reported - before.reported + after.reported,
            own: self.own - before.own + after.own,
        }
    }
}

/// State of one unit.
#[derive(Debug)]
pub(crate) struct Unit {
    pub(crate) group: GroupId,
    pub(crate) member: Member,
    up: bool,
    marks: u8,
    measured: Option<Measurement>,
    /// Mean of reported step times over about [`Config::step_time_half_life`], in seconds.
    mean_step_time: Option<f64>,
    sends: VecDeque<(Monotonic, u64)>,
    unreported: u64,
    outstanding: u64,
}

impl Unit {
    pub(crate) fn new(group: GroupId, member: Member) -> Self {
        Unit {
            group,
            member,
            up: false,
            marks: 0,
            measured: None,
            mean_step_time: None,
            sends: VecDeque::new(),
            unreported: 0,
            outstanding: 0,
        }
    }

    /// Whether the unit may be given new work.
    pub(crate) fn admits(&self) -> bool {
        self.up && self.marks == 0
    }

    /// Sets the session's state; a new session knows nothing of the reports of an old one.
    pub(crate) fn set_session_up(&mut self, up: bool) {
        if !up {
            self.measured = None;
            self.mean_step_time = None;
        }
        self.up = up;
    }

    pub(crate) fn set_mark(&mut self, mark: Mark, on: bool) {
        if on {
            self.marks |= mark as u8;
        } else {
            self.marks &= !(mark as u8);
        }
    }

    /// Takes a report unless a later measurement is known.
    pub(crate) fn report(&mut self, report: Report, step_time_half_life: Duration, now: Monotonic) {
        let at = now.saturating_sub(report.age);
        if self.measured.is_some_and(|last| last.at > at) {
            return;
        }
        self.update_mean_step_time(report.load.step_time, at, step_time_half_life);
        self.measured = Some(Measurement {
            load: report.load,
            at,
        });
        while let Some(&(sent, tokens)) = self.sends.front() {
            if sent > at {
                break;
            }
            self.unreported -= tokens;
            self.sends.pop_front();
        }
        self.assert_sends();
    }

    /// Takes a step time into the mean, with the weight of the time since the last one.
    fn update_mean_step_time(&mut self, time: Duration, at: Monotonic, life: Duration) {
        if time.is_zero() {
            return;
        }
        let last = self.measured.map_or(at, |measured| measured.at);
        let since = at.saturating_sub(last).as_secs_f64();
        let keep = (-since / life.as_secs_f64()).exp2();
        let time = time.as_secs_f64();
        self.mean_step_time = Some(
            self.mean_step_time
                .map_or(time, |mean| time + (mean - time) * keep),
        );
    }

    pub(crate) fn sent(&mut self, tokens: u64, now: Monotonic) -> Ticket {
        if self.sends.len() == MAX_SENDS {
            self.merge_oldest();
        }
        self.sends.push_back((now, tokens));
        self.unreported += tokens;
        self.outstanding += tokens;
        self.assert_sends();
        Ticket {
            group: self.group.clone(),
            tokens,
            at: now,
        }
    }

    /// Merges the two oldest sends at the later one's time, so that neither is forgotten early.
    fn merge_oldest(&mut self) {
        if let Some((_, tokens)) = self.sends.pop_front()
            && let Some(next) = self.sends.front_mut()
        {
            next.1 += tokens;
        }
    }

    pub(crate) fn finished(&mut self, tokens: u64, at: Monotonic) {
        self.outstanding = self.outstanding.saturating_sub(tokens);
        let index = self.sends.partition_point(|&(sent, _)| sent < at);
        if let Some(send) = self.sends.get_mut(index) {
            let taken = send.1.min(tokens);
            send.1 -= taken;
            self.unreported -= taken;
        }
        self.assert_sends();
    }

    /// Asserts that the sends kept are bounded and sum up.
    pub(crate) fn assert_sends(&self) {
        debug_assert!(self.sends.len() <= MAX_SENDS);
        debug_assert_eq!(
            self.unreported,
            self.sends.iter().map(|send| send.1).sum::<u64>()
        );
    }

    /// Returns the age of the last usable report.
    pub(crate) fn report_age(&self, config: &Config, now: Monotonic) -> Option<Duration> {
        self.measured
            .map(|measured| now.saturating_sub(measured.at))
            .filter(|&age| age <= config.max_report_age)
    }

    /// Returns what is known of the tokens before the unit.
    pub(crate) fn load(&self) -> Backlog {
        match self.measured {
            Some(measured) => Backlog {
                reports: 1,
                reported: measured.load.backlog_tokens,
                own: self.unreported,
            },
            None => Backlog {
                reports: 0,
                reported: 0,
                own: self.outstanding,
            },
        }
    }

    /// Returns the tokens that the unit is believed to have before it.
    ///
    /// What a report says loses half of its difference from the pool's mean with each
    /// half-life: an old low is where all others have sent since.
    pub(crate) fn estimated_load(&self, mean: f64, config: &Config, now: Monotonic) -> f64 {
        let Some(measured) = self.measured else {
            return float(self.outstanding);
        };
        let age = now.saturating_sub(measured.at).as_secs_f64();
        let trust = (-age / config.report_half_life.as_secs_f64()).exp2();
        let difference = float(measured.load.backlog_tokens) - mean;
        mean + difference * trust + float(self.unreported)
    }

    /// Returns the time that a step of the unit is believed to take, in seconds.
    pub(crate) fn step_time(&self, config: &Config) -> f64 {
        self.mean_step_time
            .unwrap_or(config.step_time.as_secs_f64())
    }
}
