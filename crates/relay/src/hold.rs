//! Requests that arrive before this gateway can serve, and wait until it can.

use std::rc::Rc;

use auburnline_admission::startup;
use auburnline_admission::startup::Cause;
use auburnline_admission::startup::Place;
use auburnline_core::time::Monotonic;
use auburnline_gateway::quarantine::fingerprint;
use auburnline_gateway::request;
use auburnline_gateway::request::Plan;
use auburnline_gateway::request::Refusal;
use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use tokio::time::timeout;

use crate::dialect::Call;
use crate::shared::Shared;
use crate::telemetry::millis;

/// Outcome of a hold whose caller left.
const GONE: &str = "gone";

/// A request that is held; its place is given back on drop.
struct Held {
    shared: Rc<Shared>,
    place: Place,
    id: String,
    arrived: Monotonic,
    outcome: &'static str,
}

impl Held {
    fn new(shared: &Rc<Shared>, place: Place, waiting: &Waiting<'_>) -> Held {
        export(shared);
        Held {
            shared: Rc::clone(shared),
            place,
            id: waiting.call.id.clone(),
            arrived: waiting.arrived,
            outcome: GONE,
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.shared.gateway().release(&self.place);
        export(&self.shared);
        let waited = self.shared.now().saturating_sub(self.arrived);
        let outcome = self.outcome;
        let gateway = self.shared.gateway();
        let held = gateway.held();
        log::info!(
            target: "gateway",
            request = self.id.as_str(),
            outcome,
            waited_ms = millis(waited),
            still_held = held.requests(),
            still_held_bytes = held.bytes(),
            version:? = gateway.version();
            "held"
        );
        counter!("auburnline_startup_holds_total", "outcome" => outcome).increment(1);
        histogram!("auburnline_startup_hold_seconds").record(waited);
    }
}

/// A request that is not planned yet.
pub(crate) struct Waiting<'a> {
    pub(crate) call: &'a Call,
    pub(crate) method: &'a str,
    /// Path without the query.
    pub(crate) path: &'a str,
    /// Path with the query.
    pub(crate) whole_path: &'a str,
    pub(crate) body: &'a [u8],
    pub(crate) arrived: Monotonic,
}

impl Waiting<'_> {
    /// Plans the request. While this gateway starts, the request waits until it can be planned or
    /// its hold ends.
    pub(crate) async fn plan(&self, shared: &Rc<Shared>) -> Result<Plan, Refusal> {
        let request = request::Request {
            host: &self.call.host,
            path: self.path,
            key: self.call.key.as_deref(),
            timeout: self.call.timeout,
        };
        let mut held: Option<Held> = None;
        loop {
            let can_serve = shared.can_serve_changed.notified();
            let now = shared.now();
            let planned = shared.gateway().plan_since(&request, self.arrived, now);
            let expected = shared.gateway().awaits_start(&planned, now);
            let Some(expected) = expected else {
                if let Some(held) = &mut held {
                    held.outcome = if planned.is_ok() {
                        "planned"
                    } else {
                        "refused"
                    };
                }
                return planned;
            };
            let until = match self.hold(shared, &mut held, now) {
                Ok(until) => until,
                Err(cause) => {
                    self.end(shared, held, &planned, cause);
                    return planned;
                }
            };
            let _ = timeout(until.min(expected).saturating_sub(now), can_serve).await;
        }
    }

    /// Takes a place for the request, or keeps the one that it has; returns until when.
    fn hold(
        &self,
        shared: &Rc<Shared>,
        held: &mut Option<Held>,
        now: Monotonic,
    ) -> Result<Monotonic, Cause> {
        if let Some(held) = held {
            let is_leaving = shared.gateway().held().is_closed();
            return match held.place.until {
                _ if is_leaving => Err(Cause::Leaving),
                until if now >= until => Err(Cause::Expired),
                until => Ok(until),
            };
        }
        let place = shared.gateway().hold(&self.request(), now)?;
        let until = place.until;
        *held = Some(Held::new(shared, place, self));
        Ok(until)
    }

    /// Ends a hold, or a request that can't be held, without what it waited for.
    fn end(
        &self,
        shared: &Shared,
        held: Option<Held>,
        planned: &Result<Plan, Refusal>,
        cause: Cause,
    ) {
        let outcome = cause.name();
        match held {
            Some(mut held) => held.outcome = outcome,
            None => {
                counter!("auburnline_startup_holds_total", "outcome" => outcome).increment(1);
            }
        }
        if !matches!(cause, Cause::Full | Cause::Early) {
            return;
        }
        let after = planned
            .as_ref()
            .err()
            .and_then(|refusal| refusal.retry_after);
        if let Some(after) = after {
            let now = shared.now();
            let mut gateway = shared.gateway();
            gateway.record_not_held(&self.request(), now + after, now);
        }
    }

    fn request(&self) -> startup::Request {
        let key = self.call.key.as_deref();
        startup::Request {
            arrived: self.arrived,
            timeout: self.call.timeout,
            body_bytes: self.body.len(),
            tag: fingerprint(self.method, self.whole_path, key, self.body),
        }
    }
}

/// Exports how many requests are held.
fn export(shared: &Shared) {
    let gateway = shared.gateway();
    let held = gateway.held();
    gauge!("auburnline_startup_held").set(real(held.requests()));
    gauge!("auburnline_startup_held_bytes").set(real(held.bytes()));
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
const fn real(number: usize) -> f64 {
    number as f64
}
