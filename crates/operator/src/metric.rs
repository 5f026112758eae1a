//! The metrics that every daemon has, told once for the recorder and the operators' page.

use auburnline_duty::logging;
use metrics::counter;
use metrics::describe_counter;
use metrics::describe_gauge;
use metrics::gauge;

use crate::process::Usage;
use crate::shape::Configuration;
use crate::shape::Drain;
use crate::shape::Status;

/// Name of a metric and what it tells.
pub type Metric = (&'static str, &'static str);

/// Time since start.
pub const UPTIME: Metric = ("auburnline_uptime_seconds", "Time since start");
/// Age of the last snapshot.
pub const SNAPSHOT_AGE: Metric = (
    "auburnline_snapshot_age_seconds",
    "Time since the deciding duty last said something",
);
/// Readiness.
pub const READY: Metric = ("auburnline_ready", "1 if new work is taken");
/// Leaving.
pub const LEAVING: Metric = ("auburnline_leaving", "1 if the instance is leaving");
/// Revision in force.
pub const REVISION: Metric = ("auburnline_revision", "Revision in force, 0 if none");
/// Age of the configuration in force.
pub const IN_FORCE: Metric = (
    "auburnline_configuration_in_force_seconds",
    "Time since the configuration came in force",
);
/// Sessions.
pub const SESSIONS: Metric = (
    "auburnline_sessions",
    "Sessions with other processes that are up",
);
/// Requests in flight.
pub const IN_FLIGHT: Metric = ("auburnline_in_flight", "Requests in flight");
/// Skew by group.
pub const SKEW: Metric = (
    "auburnline_group_skew",
    "Largest over mean step time of a group's ranks",
);
/// Map generation by group.
pub const GENERATION: Metric = (
    "auburnline_group_map_generation",
    "Generation of a group's expert map",
);
/// Waiting requests by group.
pub const QUEUED: Metric = ("auburnline_group_queued", "Requests that wait at a group");
/// Age of a group's report.
pub const REPORT_AGE: Metric = (
    "auburnline_group_report_age_seconds",
    "Age of the last report of a group",
);
/// Processor time.
pub const CPU: Metric = (
    "auburnline_process_cpu_seconds",
    "Processor time used since start",
);
/// Memory.
pub const RESIDENT: Metric = (
    "auburnline_process_resident_bytes",
    "Memory that the process holds",
);
/// Configurations refused.
pub const REFUSED: Metric = (
    "auburnline_configuration_refused_total",
    "Published configurations refused",
);
/// Requests cut.
pub const CUT: Metric = (
    "auburnline_cut_total",
    "Requests cut because a planned stop's deadline passed",
);
/// Broken invariants.
pub const VIOLATIONS: Metric = (
    "auburnline_violations_total",
    "Times that an invariant was found broken",
);
/// Requests refused for a limit.
pub const LIMITED: Metric = (
    "auburnline_limit_refused_total",
    "Requests refused because their workspace had used its limit",
);
/// Decisions.
pub const DECISIONS: Metric = (logging::DECISIONS_METRIC, "Routing and placement decisions");
/// Log lines of warnings and errors.
pub const TROUBLES: Metric = (
    logging::TROUBLES_METRIC,
    "Warnings and errors logged, by target",
);
/// Log lines lost.
pub const DROPPED: Metric = (
    logging::DROPPED_METRIC,
    "Log lines dropped because the reader of the log stalled",
);

/// Metrics that may go up and down.
pub const GAUGES: [Metric; 14] = [
    UPTIME,
    SNAPSHOT_AGE,
    READY,
    LEAVING,
    REVISION,
    IN_FORCE,
    SESSIONS,
    IN_FLIGHT,
    SKEW,
    GENERATION,
    QUEUED,
    REPORT_AGE,
    CPU,
    RESIDENT,
];
/// Metrics that only go up.
pub const COUNTERS: [Metric; 7] = [
    REFUSED, CUT, VIOLATIONS, LIMITED, DECISIONS, TROUBLES, DROPPED,
];

/// Tells the recorder what each metric means.
pub(crate) fn describe() {
    for (name, meaning) in GAUGES {
        describe_gauge!(name, meaning);
    }
    for (name, meaning) in COUNTERS {
        describe_counter!(name, meaning);
    }
}

/// Records what the last snapshots tell.
pub(crate) fn record(status: &Status, configuration: &Configuration, drain: &Drain) {
    gauge!(UPTIME.0).set(seconds(status.uptime_ms));
    gauge!(SNAPSHOT_AGE.0).set(seconds(status.age_ms));
    gauge!(READY.0).set(truth(status.ready));
    gauge!(LEAVING.0).set(truth(status.leaving));
    gauge!(REVISION.0).set(number(status.revision.unwrap_or_default()));
    gauge!(IN_FORCE.0).set(seconds(configuration.in_force_ms.unwrap_or_default()));
    gauge!(SESSIONS.0).set(number(status.sessions));
    gauge!(IN_FLIGHT.0).set(number(status.in_flight));
    counter!(REFUSED.0).absolute(configuration.refused);
    counter!(CUT.0).absolute(drain.cut);
    for group in &status.groups {
        let label = [("group", group.group.clone())];
        if let Some(skew) = group.skew {
            gauge!(SKEW.0, &label).set(skew);
        }
        if let Some(generation) = group.generation {
            gauge!(GENERATION.0, &label).set(number(generation));
        }
        gauge!(QUEUED.0, &label).set(number(group.queued));
        gauge!(REPORT_AGE.0, &label).set(seconds(group.age_ms));
    }
    for violation in &status.violations {
        let label = [("invariant", violation.invariant.clone())];
        counter!(VIOLATIONS.0, &label).absolute(violation.count);
    }
    for limit in &status.limits {
        let label = [("workspace", limit.workspace.clone())];
        counter!(LIMITED.0, &label).absolute(limit.refused);
    }
}

/// Takes the values of a group that is no longer told of, so that old ones raise no alarm.
pub(crate) fn forget(group: &str) {
    for (name, _) in [SKEW, GENERATION, QUEUED, REPORT_AGE] {
        gauge!(name, "group" => group.to_owned()).set(f64::NAN);
    }
}

/// Records what the process uses.
pub(crate) fn record_process(usage: Usage) {
    gauge!(CPU.0).set(usage.cpu_seconds);
    gauge!(RESIDENT.0).set(usage.resident_bytes);
}

fn truth(value: bool) -> f64 {
    if value { 1.0 } else { 0.0 }
}

fn seconds(milliseconds: u64) -> f64 {
    number(milliseconds) / 1_000.0
}

/// Returns a number as text would give it; beyond 2^53 the last digits are lost.
fn number(value: u64) -> f64 {
    let (high, low) = (value >> 32, value & u64::from(u32::MAX));
    let part = |part: u64| f64::from(u32::try_from(part).unwrap_or(u32::MAX));
    part(high) * 4_294_967_296.0 + part(low)
}
