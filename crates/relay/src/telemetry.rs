//! Log lines and metrics of requests.

use std::time::Duration;

use auburnline_gateway::choice::Choice;
use auburnline_gateway::event::EventId;
use auburnline_gateway::request::Plan;
use auburnline_gateway::request::Refusal;
use auburnline_gateway::upstream::UpstreamId;
use http::Response;
use metrics::counter;
use metrics::histogram;

use crate::exchange::Exchange;
use crate::flight::Flight;
use crate::head;
use crate::head::Body;
use crate::shared::Shared;

/// Maximum number of upstreams listed per cause in the log line of a refusal.
const MAX_LISTED_UPSTREAMS: usize = 4;

/// Timing of a stream's events.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Timing {
    pub(crate) events: u64,
    /// Time from the request to its first event.
    pub(crate) first: Duration,
    pub(crate) longest_pause: Duration,
    /// Mean pass time of the stream's group when the stream ended.
    pub(crate) mean_pass: Duration,
}

/// Answers a request with an error of the gateway's own, and logs and counts the refusal.
pub(crate) fn refuse(
    shared: &Shared,
    id: &str,
    plan: Option<&Plan>,
    refusal: &Refusal,
) -> Response<Body> {
    let kind = refusal.kind;
    let mut gateway = shared.gateway();
    let now = shared.now();
    if refusal.retry_after.is_some() {
        gateway.record_refusal(now);
    }
    let age = gateway.freshness.age(now).unwrap_or_default();
    let basis = refusal.basis;
    let limited = plan.filter(|_| refusal.is_throttled).map(|plan| {
        let limited = gateway.limited(&plan.service, MAX_LISTED_UPSTREAMS, now);
        let limited = limited.into_iter();
        limited
            .map(|one| (one.upstream.id.clone(), one.limit, one.home))
            .collect::<Vec<_>>()
    });
    let throttled = plan.filter(|_| refusal.is_throttled);
    let backing_off = throttled
        .map(|plan| in_millis(gateway.backing_off(&plan.service, MAX_LISTED_UPSTREAMS, now)));
    let cold =
        throttled.map(|plan| in_millis(gateway.cold(&plan.service, MAX_LISTED_UPSTREAMS, now)));
    let prediction = basis.map(|basis| basis.prediction);
    let demand = plan.filter(|_| basis.is_some());
    let demand = demand.and_then(|plan| gateway.grounds(&plan.service, now));
    log::info!(
        target: "gateway",
        request = id,
        route = plan.map_or("", |plan| plan.route.name.as_str()),
        workspace = workspace(plan),
        kind = kind.name().as_str(),
        reason = refusal.reason,
        retry_after_ms = millis(refusal.retry_after.unwrap_or_default()),
        urgency:? = plan.map(|plan| plan.urgency),
        late:? = plan.map(|plan| gateway.standing(plan, now).is_late),
        ahead:? = refusal.ahead,
        predicted = refusal.is_predicted,
        waited_ms = plan.map_or(0, |plan| millis(now.saturating_sub(plan.arrived))),
        spent_ms = plan.map_or(0, |plan| millis(plan.spent)),
        in_flight:? = plan.map(|plan| gateway.pool.in_flight(&plan.service)),
        group_in_flight:? = basis.map(|basis| basis.in_flight),
        group_own:? = basis.map(|basis| basis.own),
        group_told_ms:? = basis.and_then(|basis| basis.told).map(millis),
        allowance:? = basis.and_then(|basis| basis.allowance),
        gateways:? = basis.map(|basis| basis.gateways),
        demand:? = demand.map(|demand| demand.own),
        mean_demand:? = demand.map(|demand| demand.mean),
        withheld:? = basis.map(|basis| basis.withheld),
        most:? = prediction.map(|prediction| prediction.most),
        pass_ms:? = prediction.map(|prediction| millis(prediction.pass)),
        factor:? = prediction.map(|prediction| prediction.factor),
        fill:? = prediction.map(|prediction| prediction.fill),
        cautious:? = basis.map(|basis| basis.is_cautious),
        limited:?,
        backing_off_ms:? = backing_off,
        cold_ms:? = cold,
        version:? = gateway.version(),
        age_ms = millis(age);
        "refuse"
    );
    drop(gateway);
    counter!("auburnline_refusals_total", "kind" => kind.name()).increment(1);
    if basis.is_some_and(|basis| basis.has_spare_capacity()) {
        counter!("auburnline_refusals_with_room_total").increment(1);
    }
    head::own(&*shared.dialect, id, kind, refusal.retry_after)
}

fn in_millis(times: Vec<(UpstreamId, Duration)>) -> Vec<(UpstreamId, u64)> {
    let times = times.into_iter();
    times
        .map(|(upstream, time)| (upstream, millis(time)))
        .collect()
}

fn workspace(plan: Option<&Plan>) -> &str {
    let workspace = plan.and_then(|plan| plan.workspace.as_ref());
    workspace.map_or("", |workspace| &*workspace.name)
}

/// Converts to whole milliseconds for the log, rounding down.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl Exchange {
    pub(crate) fn log_send(&self, choice: &Choice, after: Option<EventId>) {
        log::info!(
            target: "gateway",
            request = self.id(),
            route = self.plan.route.name.as_str(),
            workspace = workspace(Some(&self.plan)),
            upstream = &*choice.upstream.id,
            send = self.sends.get() + 1,
            after:?,
            in_flight = choice.in_flight,
            told_ms:? = choice.report_age.map(millis),
            limit:? = choice.limit,
            score = choice.score,
            candidates = choice.candidates,
            is_missing = choice.is_missing,
            left_ms = millis(self.time_left()),
            spent_ms = millis(self.plan.spent),
            version = self.plan.version,
            age_ms = millis(self.plan.age);
            "send"
        );
        counter!("auburnline_sends_total").increment(1);
        if choice.is_missing {
            counter!("auburnline_sends_missing_total").increment(1);
        }
    }

    /// Logs and counts the decision on another attempt; `is_owed` if an earlier one may still arrive.
    pub(crate) fn log_retry(&self, reason: &'static str, is_allowed: bool, is_owed: bool) {
        let outcome = match (is_allowed, is_owed) {
            (true, _) => "repeat",
            (false, false) => "no_budget",
            (false, true) => "unread",
        };
        log::info!(target: "retries", request = self.id(), service = &*self.plan.service, reason, outcome, is_owed; "retry");
        counter!("auburnline_repetitions_total", "outcome" => outcome, "reason" => reason)
            .increment(1);
    }

    /// Logs and counts a failed or abandoned attempt.
    pub(crate) fn log_failure(&self, cause: &str, flight: &Flight) {
        log::info!(
            target: "gateway",
            request = self.id(),
            upstream = &**flight.upstream(),
            cause,
            left_ms = millis(self.time_left());
            "fail"
        );
        counter!("auburnline_failures_total").increment(1);
    }

    /// Logs and counts the end of a request that was answered by an upstream.
    pub(crate) fn log_answer(&self, status: u16, timing: &Timing) {
        let took = self.shared.now().saturating_sub(self.plan.arrived);
        log::info!(
            target: "gateway",
            request = self.id(),
            status,
            events = timing.events,
            first_ms = millis(timing.first),
            longest_pause_ms = millis(timing.longest_pause),
            mean_pass_ms = millis(timing.mean_pass),
            sends = self.sends.get(),
            took_ms = millis(took);
            "answer"
        );
        counter!("auburnline_answers_total", "status" => status.to_string()).increment(1);
        histogram!("auburnline_answer_seconds").record(took);
    }
}
