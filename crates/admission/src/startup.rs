//! Which requests a gateway that starts holds until it can serve.
//!
//! A gateway knows neither routes nor keys for the first moments of its life. After a loss of all
//! power every gateway is in that state at once, and a caller that is refused comes back to another
//! one that is. A request that is held costs memory, so the number of held requests and their bytes
//! are bounded; it costs its caller time, so the wait is bounded by what the caller's own deadline
//! leaves. What is held here is decided on only once the gateway can serve, by what it knows then.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::time::Monotonic;

/// Identifies the repetitions of one request: a hash of what it asks for.
pub type Tag = u64;

/// Longest time for which a request is held. Callers abandon a stream that shows nothing for two
/// seconds, and after the hold an upstream has to be found and the prompt read.
pub const MAX_HOLD: Duration = Duration::from_millis(1_500);
/// Part of a caller's deadline for which its request is held at most.
const DEADLINE_FRACTION: f64 = 0.25;
/// Time after its start within which a gateway is expected to serve: it has waited for messages of
/// other gateways, and was sent the published state or has read it. One that takes longer lacks
/// something that waiting doesn't bring, and other gateways may serve.
pub const STARTUP_TIME: Duration = Duration::from_secs(2);
/// Maximum number of requests held at once.
pub const MAX_REQUESTS: usize = 512;
/// Maximum number of bytes of all requests held at once, a fraction of a gateway's memory.
pub const MAX_BYTES: usize = 16 << 20;
/// Bytes that a held request takes beside its body: its head, task and connection.
pub const REQUEST_BYTES: usize = 16 << 10;
/// Maximum number of refused requests that are remembered, more than a gateway has connections.
const MAX_TOLD: usize = 4_096;

/// A request that arrived before its gateway could serve.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// When it arrived.
    pub arrived: Monotonic,
    /// How long its caller waits; `None` if it does not say.
    pub timeout: Option<Duration>,
    /// Size of its body.
    pub body_bytes: usize,
    /// What it asks for.
    pub tag: Tag,
}

impl Request {
    /// Returns until when it may be held by a gateway that starts.
    #[must_use]
    pub fn held_until(&self) -> Monotonic {
        let part = self.timeout.map(|time| time.mul_f64(DEADLINE_FRACTION));
        let longest = part.map_or(MAX_HOLD, |part| part.min(MAX_HOLD));
        (self.arrived + longest).min(STARTUP_TIME)
    }

    const fn bytes(&self) -> usize {
        self.body_bytes.saturating_add(REQUEST_BYTES)
    }
}

/// Why a request is not held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The gateway shuts down.
    Leaving,
    /// The gateway should have served by now, or the caller can't wait any longer.
    Expired,
    /// Too many requests, or bytes, are held already.
    Full,
    /// The same request was refused, and is back before the time that it was told.
    Early,
}

impl Cause {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Cause::Leaving => "leaving",
            Cause::Expired => "expired",
            Cause::Full => "full",
            Cause::Early => "early",
        }
    }
}

/// Place that a held request takes; given back with [`Room::leave`].
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Place {
    bytes: usize,
    /// Until when the request may be held.
    pub until: Monotonic,
}

/// Requests that a gateway holds.
#[derive(Clone, Debug, Default)]
pub struct Room {
    requests: usize,
    bytes: usize,
    is_leaving: bool,
    /// Requests that were refused, with the time at which each was told to come back.
    told: BTreeMap<Tag, Monotonic>,
}

impl Room {
    /// Takes a place for a request.
    ///
    /// # Errors
    ///
    /// Returns why the request is not held.
    pub fn enter(&mut self, request: &Request, now: Monotonic) -> Result<Place, Cause> {
        let until = request.held_until();
        let bytes = request.bytes();
        if self.is_leaving {
            return Err(Cause::Leaving);
        }
        if now >= until {
            return Err(Cause::Expired);
        }
        let all_bytes = self.bytes.saturating_add(bytes);
        if self.requests >= MAX_REQUESTS || all_bytes > MAX_BYTES {
            return Err(Cause::Full);
        }
        if self.is_early(request.tag, now) && self.is_tight(all_bytes, now) {
            return Err(Cause::Early);
        }
        self.requests += 1;
        self.bytes = all_bytes;
        Ok(Place { bytes, until })
    }

    /// Gives a place back.
    pub const fn leave(&mut self, place: &Place) {
        self.requests -= 1;
        self.bytes -= place.bytes;
    }

    /// Returns whether a request that comes too early would take a place that those who come back as
    /// told need.
    fn is_tight(&self, all_bytes: usize, now: Monotonic) -> bool {
        let expected = self.told.values().filter(|at| **at > now).count();
        MAX_REQUESTS.saturating_sub(self.requests) <= expected || all_bytes > MAX_BYTES / 2
    }

    /// Records that a request found no place and was told to come back at `at`.
    pub fn record_refusal(&mut self, tag: Tag, at: Monotonic, now: Monotonic) {
        self.told.retain(|_, at| *at > now);
        if self.told.len() < MAX_TOLD {
            // One that is back too early does not move its own time.
            self.told.entry(tag).or_insert(at);
        }
    }

    fn is_early(&self, tag: Tag, now: Monotonic) -> bool {
        self.told.get(&tag).is_some_and(|at| now < *at)
    }

    /// Holds no request any more.
    pub const fn close(&mut self) {
        self.is_leaving = true;
    }

    /// Returns whether the gateway shuts down and holds nothing.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.is_leaving
    }

    /// Returns the number of held requests.
    #[must_use]
    pub const fn requests(&self) -> usize {
        self.requests
    }

    /// Returns the bytes of all held requests.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }
}
