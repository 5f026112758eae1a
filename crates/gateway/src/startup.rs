//! Requests that arrive while this gateway starts.
//!
//! A gateway that started moments ago has no configuration, doesn't know yet whether another one
//! has a newer one, or can't tell the size of the fleet, by which it shares what cold upstreams
//! bear. All of that comes by itself, so requests wait for it within the bounds of
//! [`auburnline_admission::startup`].

use auburnline_admission::feature::Feature;
use auburnline_admission::startup::Cause;
use auburnline_admission::startup::Place;
use auburnline_admission::startup::Request;
use auburnline_admission::startup::Room;
use auburnline_admission::startup::STARTUP_TIME;
use auburnline_core::error::Kind as ErrorKind;
use auburnline_core::time::Monotonic;

use crate::gateway::Gateway;
use crate::request::Plan;
use crate::request::Refusal;
use crate::warm_up::FLEET_UNKNOWN_TIME;

impl Gateway {
    /// Returns until when at the latest this gateway expects to know what this plan or refusal
    /// lacks; `None` if it lacks nothing that a start brings.
    #[must_use]
    pub fn awaits_start(
        &self,
        planned: &Result<Plan, Refusal>,
        now: Monotonic,
    ) -> Option<Monotonic> {
        if !self.features.contains(&Feature::StartupHold) || now >= STARTUP_TIME {
            return None;
        }
        match planned {
            Ok(plan) => self.awaits_fleet(plan, now).then_some(FLEET_UNKNOWN_TIME),
            Err(refusal) => (refusal.kind == ErrorKind::NotReady).then_some(STARTUP_TIME),
        }
    }

    /// Returns whether all upstreams that could take a request are cold, and this gateway can't
    /// tell its share of what they bear yet.
    fn awaits_fleet(&self, plan: &Plan, now: Monotonic) -> bool {
        if now >= FLEET_UNKNOWN_TIME || self.warm_ups.is_empty() {
            return false;
        }
        let mut usages = self.pool.usages(&plan.service, now).peekable();
        usages.peek().is_some()
            && usages.all(|usage| self.cold_until(usage.upstream, now).is_some())
    }

    /// Takes a place among the requests that are held at the start.
    ///
    /// # Errors
    ///
    /// Returns why the request is not held.
    pub fn hold(&mut self, request: &Request, now: Monotonic) -> Result<Place, Cause> {
        self.startup.enter(request, now)
    }

    /// Returns the requests that are held.
    #[must_use]
    pub const fn held(&self) -> &Room {
        &self.startup
    }

    /// Gives the place of a held request back.
    pub const fn release(&mut self, place: &Place) {
        self.startup.leave(place);
    }

    /// Records that a request that could not be held was told to come back at `at`.
    pub fn record_not_held(&mut self, request: &Request, at: Monotonic, now: Monotonic) {
        self.startup.record_refusal(request.tag, at, now);
    }

    /// Holds no request any more, since this gateway shuts down.
    pub const fn close_startup(&mut self) {
        self.startup.close();
    }
}
