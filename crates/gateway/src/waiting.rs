//! Admission in the order of a queue, for requests to groups of ranks.
//!
//! A request that finds no free capacity waits in this gateway's queue for its service: until the
//! last instant at which it can be in time and, where late requests are served, as long as its
//! caller bears after that, behind all that can be in time. One that would wait in vain, by what
//! waits ahead of it and what was served of late, is refused when it arrives or turns late.

use std::sync::Arc;
use std::time::Duration;

use auburnline_admission::feature::Feature;
use auburnline_admission::queue::Entry;
use auburnline_admission::queue::Queue;
use auburnline_admission::queue::Waiter;
use auburnline_admission::standing::Standing;
use auburnline_admission::standing::Urgency;
use auburnline_core::error::Kind as ErrorKind;
use auburnline_core::time::Monotonic;

use crate::admission::CAPACITY_POLL_SECONDS;
use crate::admission::LATE_POLL_SECONDS;
use crate::admission::REOPENED_MAX_WAIT;
use crate::gateway::Gateway;
use crate::gateway::NOT_READY_RETRY;
use crate::headroom::Headroom;
use crate::real;
use crate::request::Admission;
use crate::request::Plan;
use crate::request::Refusal;
use crate::route::Engine;

/// Fraction of what a group is predicted to carry up to which late requests are sent there; the
/// rest is left to requests in time that reach other gateways.
const LATE_FILL: f64 = 0.7;
/// Multiple of the time left to start in time that a request in time may be expected to wait. At
/// this multiple about one in five is served, which outweighs what the short wait costs the others.
const IN_TIME_ODDS: u32 = 4;
/// Bounds in seconds of the delay after which a request that waited for an upstream to open asks
/// again: about the time within which the upstream's limit admits the next requests.
const OPENING_POLL_SECONDS: (f64, f64) = (0.005, 0.03);
/// Shortest time to come back after a refusal for load: the lead's reports come five times a second
/// and capacity is given out over a few of them.
const MIN_RETURN: Duration = Duration::from_millis(400);
/// Bounds of the random factor of a time to come back, so that a wave does not come back as one.
const RETURN_SPREAD: (f64, f64) = (0.5, 1.0);
/// Urgency of the first late requests at upstreams.
const LATE_URGENCY: Urgency = 5;
/// Least urgency at upstreams.
const LAST_URGENCY: Urgency = 9;

impl Gateway {
    /// Returns whether requests that wait are served in the order of a queue.
    #[must_use]
    pub fn orders_requests(&self) -> bool {
        self.features.contains(&Feature::Urgency) || self.serves_late()
    }

    /// Returns a request's position among those that want the same capacity.
    #[must_use]
    pub fn standing(&self, plan: &Plan, now: Monotonic) -> Standing {
        let standing = plan.standing(now);
        Standing {
            is_late: standing.is_late && self.serves_late(),
            ..standing
        }
    }

    /// Returns the urgency that an upstream is told, from 0 to 9; `None` if it is told none. Late
    /// requests come after all that are in time.
    #[must_use]
    pub fn upstream_urgency(&self, plan: &Plan, now: Monotonic) -> Option<Urgency> {
        if !self.features.contains(&Feature::Urgency) {
            return None;
        }
        let standing = plan.standing(now);
        Some(if standing.is_late {
            standing
                .urgency
                .saturating_add(LATE_URGENCY)
                .min(LAST_URGENCY)
        } else {
            standing.urgency.min(LATE_URGENCY - 1)
        })
    }

    /// Returns why a request that waited may no longer be served: its key may have been taken away
    /// since it was planned, or this gateway no longer knows whether it was. `key` is the caller's.
    #[must_use]
    pub fn recheck(&self, plan: &Plan, key: Option<&str>, now: Monotonic) -> Option<Refusal> {
        let workspace = plan.workspace.as_ref()?;
        if !self.can_serve(now) {
            let refusal = Refusal::new(ErrorKind::NotReady, "configuration may be outdated");
            return Some(refusal.with_retry_after(NOT_READY_RETRY));
        }
        let table = self.table()?;
        let holder = key.and_then(|key| table.workspace(key));
        let is_same = holder.is_some_and(|holder| holder.name == workspace.name);
        (!is_same).then(|| Refusal::new(ErrorKind::Unauthorized, "unknown key"))
    }

    /// Removes a request whose caller left from the queue; returns whether it waited.
    pub fn withdraw(&mut self, plan: &Plan, now: Monotonic) -> bool {
        let queue = self.queues.get_mut(&plan.service);
        queue.is_some_and(|queue| queue.withdraw(plan.ticket, now))
    }

    /// Returns the number of requests that wait for capacity of a service: those in time, and the
    /// late ones.
    #[must_use]
    pub fn waiting(&self, service: &str) -> (usize, usize) {
        let queue = self.queues.get(service);
        queue.map_or((0, 0), Queue::waiting)
    }

    /// Returns the number of requests that wait for capacity of any service: those in time, and the
    /// late ones.
    #[must_use]
    pub fn all_waiting(&self) -> (usize, usize) {
        let waiting = self.queues.values().map(Queue::waiting);
        waiting.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }

    /// Decides whether a planned request may be sent now, in the order of the queue.
    pub(crate) fn admit_in_order(
        &mut self,
        plan: &Plan,
        engine: &Engine,
        longest: Duration,
        now: Monotonic,
    ) -> Admission {
        let standing = self.standing(plan, now);
        let waiter = Waiter {
            standing,
            workspace: plan.workspace.as_ref().map(|one| Arc::clone(&one.name)),
            start_by: plan.patience().start_by(),
            asked: now,
        };
        let queue = self.queues.entry(Arc::clone(&plan.service)).or_default();
        let entry = queue.ask(plan.ticket, waiter.clone());
        let ahead = queue.ahead(plan.ticket, &waiter);
        let until = self.wait_until(plan);
        let is_in_vain = match entry {
            Entry::Known(before) if before.is_late == standing.is_late => false,
            Entry::New | Entry::Known(_) => self.waits_in_vain(plan, standing, ahead, now),
            Entry::Full => true,
        };
        let Some(headroom) = self.pick_group(plan, engine, longest, now) else {
            let decided = self.await_reform(plan, engine, now);
            if let Admission::Refuse(_) = decided {
                self.withdraw(plan, now);
            }
            return decided;
        };
        let is_free = headroom.is_free(standing) && (!standing.is_late || spares(&headroom));
        if is_free && (ahead == 0 || serves_all(&headroom, ahead + 1)) {
            let queue = self.queues.entry(Arc::clone(&plan.service)).or_default();
            queue.serve(plan.ticket, &waiter);
            return Admission::Admit(Some(headroom.basis()));
        }
        if now < until && !is_in_vain {
            return self.wait(standing, until, now);
        }
        let mut refusal = Refusal::new(ErrorKind::Overloaded, headroom.reason());
        refusal.basis = Some(headroom.basis());
        refusal.ahead = Some(u16::try_from(ahead).unwrap_or(u16::MAX));
        refusal.is_predicted = is_in_vain;
        let after = self.return_after(plan, now);
        self.withdraw(plan, now);
        Admission::Refuse(refusal.with_retry_after(after))
    }

    /// Decides on a request whose upstreams are all closed, the first of them for `closed_for`: it
    /// waits where late requests are served and its caller bears it.
    pub(crate) fn await_opening(
        &mut self,
        plan: &Plan,
        closed_for: Duration,
        now: Monotonic,
    ) -> Admission {
        let until = plan.patience().hold_until();
        if self.serves_late() && now + closed_for < until {
            let interval = closed_for + self.random_duration(OPENING_POLL_SECONDS);
            return Admission::Wait(until.min(now + interval));
        }
        self.withdraw(plan, now);
        Admission::Refuse(self.refuse_closed(plan, closed_for))
    }

    fn serves_late(&self) -> bool {
        self.features.contains(&Feature::LateQueue)
    }

    /// Returns until when a request may wait for capacity.
    fn wait_until(&self, plan: &Plan) -> Monotonic {
        let patience = plan.patience();
        let until = if self.serves_late() {
            patience.hold_until()
        } else {
            patience.start_by()
        };
        let unavailable_at = self.all_unavailable_at.get(&plan.service);
        let reopened = unavailable_at.filter(|at| **at >= plan.arrived);
        reopened.map_or(until, |at| until.max(*at + REOPENED_MAX_WAIT))
    }

    /// Returns whether a request is expected to be refused after its wait.
    fn waits_in_vain(&self, plan: &Plan, standing: Standing, ahead: usize, now: Monotonic) -> bool {
        let Some(queue) = self
            .queues
            .get(&plan.service)
            .filter(|_| self.serves_late())
        else {
            return false;
        };
        let patience = plan.patience();
        let in_time = patience.start_by().saturating_sub(now);
        if !standing.is_late && queue.expected_wait(false, ahead) <= in_time * IN_TIME_ODDS {
            return false;
        }
        let late_from = patience.start_by().max(now);
        let late = self.wait_until(plan).saturating_sub(late_from);
        let (_, late_waiting) = queue.waiting();
        let ahead = if standing.is_late {
            ahead
        } else {
            late_waiting
        };
        queue.expected_wait(true, ahead) > late
    }

    fn wait(&mut self, standing: Standing, until: Monotonic, now: Monotonic) -> Admission {
        let bounds = if standing.is_late {
            LATE_POLL_SECONDS
        } else {
            CAPACITY_POLL_SECONDS
        };
        let interval = self.random_duration(bounds);
        Admission::Wait(until.min(now + interval))
    }

    /// Returns after which time a refused caller should come back: when those that wait now are
    /// expected to have been served, as far as it honours that.
    fn return_after(&mut self, plan: &Plan, now: Monotonic) -> Duration {
        let queue = self.queues.get(&plan.service);
        let expected = queue.map_or(Duration::ZERO, |queue| {
            let (in_time, late) = queue.waiting();
            let in_time = queue.expected_wait(false, in_time);
            in_time.max(queue.expected_wait(true, late))
        });
        let most = plan.patience().longest_return(now);
        let factor = self.random_duration(RETURN_SPREAD).as_secs_f64();
        let longest = expected.max(MIN_RETURN * 2).min(most);
        longest.mul_f64(factor)
    }
}

/// Returns whether a group's free capacity is enough for so many requests, so that one of them need
/// not wait until those ahead of it ask again.
fn serves_all(headroom: &Headroom, requests: usize) -> bool {
    let allowance = headroom
        .allowance
        .map(|allowance| allowance.requests(headroom.standing));
    let free = headroom
        .sendable()
        .min(allowance.unwrap_or_else(|| headroom.capacity_left()));
    free >= real(requests)
}

/// Returns whether a group has capacity that requests in time don't need.
fn spares(headroom: &Headroom) -> bool {
    let in_flight = f64::from(headroom.traffic.load.in_flight);
    in_flight < headroom.prediction.most * LATE_FILL
}
