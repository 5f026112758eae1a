//! Waiting of a request until the gateway admits it.

use auburnline_core::time::Monotonic;
use auburnline_gateway::request::Admission;
use auburnline_gateway::request::Plan;
use auburnline_gateway::request::Refusal;
use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use tokio::time::timeout;

use crate::dialect::Call;
use crate::shared::Shared;
use crate::telemetry::millis;

/// Place of a request among those that wait; given up when it is dropped, as when the caller
/// leaves.
struct Place<'a> {
    shared: &'a Shared,
    plan: &'a Plan,
    has_waited: bool,
    is_decided: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        let now = self.shared.now();
        if self.shared.gateway().withdraw(self.plan, now) {
            self.shared.wake_waiting(&self.plan.service);
        }
        if self.has_waited {
            count("left");
        }
        export(self.shared);
    }
}

/// Waits until the request is admitted.
pub(crate) async fn wait(shared: &Shared, plan: &Plan, call: &Call) -> Result<(), Refusal> {
    let started = shared.now();
    let mut place = Place {
        shared,
        plan,
        has_waited: false,
        is_decided: false,
    };
    loop {
        let now = shared.now();
        let capacity_freed = shared.capacity_freed(&plan.service);
        let admission = admit(shared, plan, call, now, place.has_waited);
        match admission {
            Admission::Admit(basis) => {
                place.is_decided = true;
                let waited = now.saturating_sub(plan.arrived);
                histogram!("auburnline_admission_wait_seconds").record(waited);
                let standing = shared.gateway().standing(plan, now);
                log::debug!(
                    target: "gateway",
                    request = call.id.as_str(),
                    waited_ms = millis(waited),
                    urgency = standing.urgency,
                    late = standing.is_late,
                    basis:?;
                    "admit"
                );
                if place.has_waited {
                    count(if standing.is_late {
                        "sent_late"
                    } else {
                        "sent"
                    });
                    shared.wake_waiting(&plan.service);
                    export(shared);
                }
                return Ok(());
            }
            Admission::Wait(until) => {
                if !place.has_waited {
                    place.has_waited = true;
                    export(shared);
                }
                let _ = timeout(until.saturating_sub(now), capacity_freed.notified()).await;
            }
            Admission::Refuse(refusal) => {
                place.is_decided = true;
                if shared.gateway().withdraw(plan, now) {
                    shared.wake_waiting(&plan.service);
                }
                if place.has_waited {
                    count("refused");
                    export(shared);
                }
                if refusal.is_predicted {
                    counter!("auburnline_refusals_predicted_total", "after" => stage(now, started))
                        .increment(1);
                }
                return Err(refusal);
            }
        }
    }
}

/// Decides on a request; one that waited is sent only if its key still holds.
fn admit(shared: &Shared, plan: &Plan, call: &Call, now: Monotonic, has_waited: bool) -> Admission {
    let mut gateway = shared.gateway();
    let admission = gateway.admit(plan, now);
    if !has_waited || !matches!(admission, Admission::Admit(_)) {
        return admission;
    }
    let refusal = gateway.recheck(plan, call.key.as_deref(), now);
    refusal.map_or(admission, Admission::Refuse)
}

/// Returns whether a refusal came at once or after a wait.
fn stage(now: Monotonic, started: Monotonic) -> &'static str {
    if now == started { "arrival" } else { "wait" }
}

/// Counts the end of a wait.
fn count(outcome: &'static str) {
    counter!("auburnline_waits_total", "outcome" => outcome).increment(1);
}

/// Exports how many requests wait.
fn export(shared: &Shared) {
    let gateway = shared.gateway();
    if !gateway.orders_requests() {
        return;
    }
    let (in_time, late) = gateway.all_waiting();
    for (lateness, waiting) in [("in_time", in_time), ("late", late)] {
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        gauge!("auburnline_waiting", "lateness" => lateness).set(waiting);
    }
}
