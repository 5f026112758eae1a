//! Order of the requests that wait for capacity of one service at one gateway.
//!
//! A request that can't be sent at once takes a ticket, and goes when no other one is ahead of it
//! and capacity is free for its [`Standing`]. Requests in time go before late ones, and more urgent
//! ones before others, which they may overtake a bounded number of times in a row. Among equals the
//! workspace that was served least of late goes first, then the request that has to start earliest.
//!
//! The queue does not wake anybody: requests ask again from time to time. One that does not ask for
//! [`LAPSE`] is no longer ahead of others, so that a task that vanished holds up nobody.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::id::WorkspaceId;
use auburnline_core::time::Monotonic;

use crate::release::Lane;
use crate::standing::Standing;
use crate::standing::Urgency;

/// Identifies a request at its gateway.
pub type Ticket = u64;

/// Maximum number of requests that wait at one gateway for one service; more than a gateway's
/// connections bear is never useful, and the work for one decision is proportional to it.
pub const MAX_WAITING: usize = 256;
/// Time without a question after which a waiting request is no longer ahead of others: more than
/// twice the longest interval between two questions.
pub const LAPSE: Duration = Duration::from_millis(400);
/// Number of more urgent requests in a row that a waiting request lets pass; the next place is for
/// the least urgent that waits, which so gets one of eight.
const MAX_OVERTAKES: u32 = 7;
/// Time after which a request that was served counts half among those of its workspace.
const SERVED_HALF_LIFE: Duration = Duration::from_secs(2);
/// Workspaces whose served requests are remembered; those served least are forgotten first.
const MAX_WORKSPACES: usize = 256;

/// Result of a request's question for its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It got a place in the queue.
    New,
    /// It had a place already, with this standing when it last asked.
    Known(Standing),
    /// It has no place, since the queue is full.
    Full,
}

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Position by lateness and urgency, as of its last question.
    pub standing: Standing,
    /// Workspace that it belongs to; `None` for a request without a key.
    pub workspace: Option<WorkspaceId>,
    /// Last instant at which it could start and be in time.
    pub start_by: Monotonic,
    /// When it last asked.
    pub asked: Monotonic,
}

/// A waiting request's place.
#[derive(Clone, Debug)]
struct Place {
    waiter: Waiter,
    /// When it first asked.
    since: Monotonic,
}

/// Requests that wait for one service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    places: BTreeMap<Ticket, Place>,
    served: BTreeMap<Option<WorkspaceId>, Served>,
    /// Urgent requests in a row that were served while a less urgent one waited.
    overtakes: u32,
    in_time: Lane,
    late: Lane,
}

/// Requests of a workspace that were served, as of an instant.
#[derive(Clone, Copy, Debug)]
struct Served {
    count: f64,
    at: Monotonic,
}

impl Served {
    fn at(self, now: Monotonic) -> f64 {
        let half_lives = now.saturating_sub(self.at).as_secs_f64() / SERVED_HALF_LIFE.as_secs_f64();
        self.count * (-half_lives).exp2()
    }
}

impl Queue {
    /// Enters a request, or renews its entry.
    pub fn ask(&mut self, ticket: Ticket, waiter: Waiter) -> Entry {
        self.advance(waiter.asked);
        if !self.places.contains_key(&ticket) && self.places.len() >= MAX_WAITING {
            return Entry::Full;
        }
        let since = waiter.asked;
        let place = Place { waiter, since };
        let Some(previous) = self.places.insert(ticket, place) else {
            return Entry::New;
        };
        if let Some(place) = self.places.get_mut(&ticket) {
            place.since = previous.since;
        }
        Entry::Known(previous.waiter.standing)
    }

    /// Returns the number of waiting requests that go before `waiter`, which need not have an entry.
    #[must_use]
    pub fn ahead(&self, ticket: Ticket, waiter: &Waiter) -> usize {
        let now = waiter.asked;
        let favoured = self.favoured(waiter, now);
        let own = self.key(ticket, waiter, favoured, now);
        let others = self.live(now).filter(|(other, _)| *other != ticket);
        others
            .filter(|(other, waiter)| self.key(*other, waiter, favoured, now) < own)
            .count()
    }

    /// Returns the number of requests that wait, those in time first.
    #[must_use]
    pub fn waiting(&self) -> (usize, usize) {
        let late = self.places.values();
        let late = late.filter(|place| place.waiter.standing.is_late).count();
        (self.places.len() - late, late)
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the expected time until a request with `ahead` others before it has been served, by
    /// what was served of its lane while others waited there.
    #[must_use]
    pub fn expected_wait(&self, is_late: bool, ahead: usize) -> Duration {
        let lane = if is_late { &self.late } else { &self.in_time };
        lane.time_for(ahead + 1)
    }

    /// Removes a request that is sent.
    pub fn serve(&mut self, ticket: Ticket, waiter: &Waiter) {
        let now = waiter.asked;
        self.advance(now);
        let place = self.places.remove(&ticket);
        let has_waited = place.is_some_and(|place| place.since < now);
        let overtaken = self.live(now).any(|(_, other)| {
            other.standing.is_late == waiter.standing.is_late
                && other.standing.urgency > waiter.standing.urgency
        });
        self.overtakes = if overtaken { self.overtakes + 1 } else { 0 };
        if has_waited {
            let lane = if waiter.standing.is_late {
                &mut self.late
            } else {
                &mut self.in_time
            };
            lane.record_release();
        }
        let served = self.served.get(&waiter.workspace);
        let count = served.map_or(0.0, |served| served.at(now)) + 1.0;
        let served = Served { count, at: now };
        self.served.insert(waiter.workspace.clone(), served);
        if self.served.len() > MAX_WORKSPACES {
            self.forget_least_served(now);
        }
    }

    /// Removes a request that is refused or whose caller left; returns whether it waited.
    pub fn withdraw(&mut self, ticket: Ticket, now: Monotonic) -> bool {
        self.advance(now);
        self.places.remove(&ticket).is_some()
    }

    /// Counts the time since the last event as time in which requests waited, lane by lane.
    fn advance(&mut self, now: Monotonic) {
        let (in_time, late) = self.waiting();
        self.in_time.advance(in_time > 0, now);
        self.late.advance(late > 0, now);
        self.places
            .retain(|_, place| now.saturating_sub(place.waiter.asked) <= LAPSE);
    }

    /// Returns the waiting requests that still ask.
    fn live(&self, now: Monotonic) -> impl Iterator<Item = (Ticket, &Waiter)> {
        let places = self.places.iter();
        let places = places.map(|(ticket, place)| (*ticket, &place.waiter));
        places.filter(move |(_, waiter)| now.saturating_sub(waiter.asked) <= LAPSE)
    }

    /// Returns the urgency whose turn it is, if more urgent requests have overtaken others often
    /// enough.
    fn favoured(&self, asking: &Waiter, now: Monotonic) -> Option<Urgency> {
        if self.overtakes < MAX_OVERTAKES {
            return None;
        }
        let live = self.live(now).map(|(_, waiter)| waiter);
        let live = live.chain([asking]);
        live.map(|waiter| (waiter.standing.is_late, waiter.standing.urgency))
            .min_by_key(|(is_late, urgency)| (*is_late, std::cmp::Reverse(*urgency)))
            .map(|(_, urgency)| urgency)
    }

    fn key(
        &self,
        ticket: Ticket,
        waiter: &Waiter,
        favoured: Option<Urgency>,
        now: Monotonic,
    ) -> (bool, bool, Urgency, u64, Monotonic, Ticket) {
        let Standing { is_late, urgency } = waiter.standing;
        let served = self.served.get(&waiter.workspace);
        let served = served.map_or(0.0, |served| served.at(now));
        (
            is_late,
            favoured.is_some_and(|favoured| favoured != urgency),
            urgency,
            // Bits of numbers that are not negative are ordered like the numbers.
            served.to_bits(),
            waiter.start_by,
            ticket,
        )
    }

    fn forget_least_served(&mut self, now: Monotonic) {
        let least = self.served.iter();
        let least = least.min_by(|(_, one), (_, other)| one.at(now).total_cmp(&other.at(now)));
        if let Some(workspace) = least.map(|(workspace, _)| workspace.clone()) {
            self.served.remove(&workspace);
        }
    }
}
