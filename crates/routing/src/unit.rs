//! State of one unit (a group of ranks or a plain-service instance) as seen by this process.
//!
//! The load of a unit is its last reported backlog plus the tokens that this process has sent since
//! the measurement. A request that finishes is subtracted again if the report did not include it.
//! Without a report in the current session, the load is what this process has outstanding there.

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

/// Maximum number of separate sends kept between two reports; the oldest ones are merged.
const MAX_SENDS: usize = 64;

/// Published data of a unit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Pool that the unit belongs to.
    pub pool: PoolId,
    /// Model that the unit serves; `None` for a plain service.
    pub model: Option<ModelId>,
    /// Failure domain of the unit's first instance.
    pub failure_domain: FailureDomainId,
}

/// Reason why a unit is given no new work although its session is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mark {
    /// An instance of the unit is leaving the fleet or draining.
    Leaving = 1,
    /// The published configuration keeps new work from the unit.
    Fenced = 2,
    /// The unit was ejected because of failures.
    Ejected = 4,
}

/// Record of one request sent, to be returned to the router when the request ends.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "the request is outstanding until its ticket is passed to `Router::record_finished`"]
pub struct Ticket {
    pub(crate) group: GroupId,
    pub(crate) tokens: u64,
    pub(crate) at: Monotonic,
}

impl Ticket {
    /// Returns the group of the unit that the request was sent to.
    #[must_use]
    pub fn group(&self) -> &GroupId {
        &self.group
    }
}

/// A reported load and the time of its measurement on this process's clock.
#[derive(Clone, Copy, Debug)]
struct Measurement {
    load: Load,
    at: Monotonic,
}

/// Tokens queued at a unit, or a sum over units, by source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Backlog {
    /// Number of units with a report.
    pub(crate) reports: u64,
    /// Tokens in the last report.
    pub(crate) reported: u64,
    /// Tokens sent by this process that the report does not include.
    pub(crate) own: u64,
}

impl Backlog {
    /// Returns the reported and own tokens.
    pub(crate) fn total(self) -> u64 {
        self.reported.saturating_add(self.own)
    }

    /// Returns the mean reported tokens of the units with a report; 0 without any.
    pub(crate) fn mean_reported(self) -> f64 {
        float(self.reported) / float(self.reports.max(1))
    }

    /// Returns the sum with the contribution `before` of one unit replaced by `after`.
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
    /// Exponentially weighted mean of reported step times, in seconds.
    mean_step_time: Option<f64>,
    /// Times and tokens of the sends since the last measurement, oldest first.
    sends: VecDeque<(Monotonic, u64)>,
    /// Sum of the tokens in `sends`.
    unreported: u64,
    /// Tokens of all sends that have not finished, reported or not.
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

    /// Sets the state of the session; reports are dropped when it goes down.
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

    /// Records a report, unless a later measurement has been recorded.
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

    /// Adds a step time to the mean, weighted by the time since the last measurement.
    fn update_mean_step_time(&mut self, time: Duration, at: Monotonic, half_life: Duration) {
        if time.is_zero() {
            return;
        }
        let last = self.measured.map_or(at, |measured| measured.at);
        let since = at.saturating_sub(last).as_secs_f64();
        let keep = (-since / half_life.as_secs_f64()).exp2();
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

    /// Merges the two oldest sends with the time of the later one, so that neither is dropped
    /// before a report includes it.
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

    /// Asserts that the number of sends is bounded and that `unreported` is their sum.
    pub(crate) fn assert_sends(&self) {
        debug_assert!(self.sends.len() <= MAX_SENDS);
        debug_assert_eq!(
            self.unreported,
            self.sends.iter().map(|send| send.1).sum::<u64>()
        );
    }

    /// Returns the age of the last report, unless it exceeds [`Config::max_report_age`].
    pub(crate) fn report_age(&self, config: &Config, now: Monotonic) -> Option<Duration> {
        self.measured
            .map(|measured| now.saturating_sub(measured.at))
            .filter(|&age| age <= config.max_report_age)
    }

    /// Returns the tokens queued at the unit by source, whatever the age of the report.
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

    /// Returns the estimated tokens queued at the unit.
    ///
    /// The difference of a report from the `mean` is halved with each half-life of its age, as
    /// the other entries have since sent their requests to units that reported a low load.
    pub(crate) fn estimated_load(&self, mean: f64, config: &Config, now: Monotonic) -> f64 {
        let Some(measured) = self.measured else {
            return float(self.outstanding);
        };
        let age = now.saturating_sub(measured.at).as_secs_f64();
        let weight = (-age / config.report_half_life.as_secs_f64()).exp2();
        let difference = float(measured.load.backlog_tokens) - mean;
        mean + difference * weight + float(self.unreported)
    }

    /// Returns the estimated duration of a step, in seconds; the default until one is reported.
    pub(crate) fn step_time(&self, config: &Config) -> f64 {
        self.mean_step_time
            .unwrap_or(config.step_time.as_secs_f64())
    }
}
