//! The number of members of the fleet, by which a gateway divides what the whole fleet shares.
//!
//! A gateway that takes its fleet for too small takes too much. One that has just started may see few others because the seeds,
//! by which it finds them, are down or out of reach, and others may do the same elsewhere. Two things make up for this:
//!
//! - What is seen counts for as much as the part of the seeds that was reached. Groups of gateways that can't reach each other
//!   reach different seeds, so their parts add up to no more than the whole.
//! - A gateway that knows the size of the whole fleet tells the others, so that a restart forgets nothing while one is left.
//!
//! A fleet that grows beyond the known size has to be seen anew.

use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::time::Monotonic;

use super::HEARTBEAT_PERIOD;
use super::MEMBER_TIMEOUT;
use super::Roster;
use super::count;

/// Time after its start from which a gateway estimates the size of its fleet: three heartbeats.
const FIRST_SIZE_AFTER: Duration = Duration::from_millis(900);
/// Gateways of which it has to know for an estimate while more of them become known; one that knows fewer may be cut off from
/// the others.
const MIN_KNOWN: usize = 8;
/// Time without growth after which the known members count as the whole fleet.
const STABLE_TIME: Duration = Duration::from_millis(900);
/// Divisor that gives the growth, as a part of the known members, up to which they count as stable.
const GROWTH_DIVISOR: usize = 20;
/// Times the known members that a fleet may have while more of them become known. After a start of all gateways of a fleet of
/// thousands that takes seconds.
const UNKNOWN_FACTOR: usize = 3;
/// Maximum number of members that another gateway may tell of.
const MAX_SIZE: usize = 1 << 16;
/// Heartbeats of a seed after its first news that prove that it is not only old news that goes around.
const PROOF_HEARTBEATS: u64 = 10;

/// What is known of the fleet's size.
#[derive(Clone, Debug)]
pub(super) struct Size {
    /// Highest number of members seen at once or told, including this gateway.
    peak: usize,
    /// That number when it last grew by more than a little, and when that was.
    stable: usize,
    grown_at: Monotonic,
    /// Largest part of the seeds that was reached since then.
    reached: f64,
    /// Whether a gateway that knows the whole fleet has told its size since then.
    is_told: bool,
}

impl Default for Size {
    fn default() -> Self {
        Size {
            peak: 1,
            stable: 1,
            grown_at: Monotonic::ZERO,
            reached: 0.0,
            is_told: false,
        }
    }
}

impl Size {
    fn is_growing(&self, now: Monotonic) -> bool {
        self.peak >= MIN_KNOWN && now.saturating_sub(self.grown_at) < STABLE_TIME
    }

    fn record(&mut self, members: usize, now: Monotonic) {
        self.peak = self.peak.max(members);
        if self.peak > self.stable + self.stable / GROWTH_DIVISOR {
            self.stable = self.peak;
            self.grown_at = now;
            self.reached = 0.0;
            self.is_told = false;
        }
    }
}

impl Roster {
    /// Returns the highest number of members seen at once.
    #[must_use]
    pub const fn peak_members(&self) -> usize {
        self.size.peak
    }

    /// Returns a size that the fleet does not exceed in the mean over all gateways, to divide what it shares; `None` while it is
    /// unknown. A gateway that was told no size has to listen for `listening` first.
    #[must_use]
    pub fn fleet_size(&self, listening: Duration, now: Monotonic) -> Option<usize> {
        let size = &self.size;
        let part = if size.is_told { 1.0 } else { self.reached(now) };
        let divisor = divide(size.peak, part)?;
        if size.is_growing(now) {
            let has_listened = size.is_told || self.has_listened(listening.min(FIRST_SIZE_AFTER));
            (now > FIRST_SIZE_AFTER && has_listened).then_some(divisor * UNKNOWN_FACTOR)
        } else {
            (size.is_told || self.has_listened(listening)).then_some(divisor)
        }
    }

    /// Returns the size of the whole fleet to tell others; `None` while this gateway does not know it.
    #[must_use]
    pub fn known_size(&self, listening: Duration, now: Monotonic) -> Option<u32> {
        let is_whole = self.size.is_told || self.reached(now) >= 1.0;
        let is_known = is_whole && !self.size.is_growing(now);
        let size = self.fleet_size(listening, now).filter(|_| is_known)?;
        Some(count(size))
    }

    /// Records the size of the whole fleet that another gateway told. A size that no fleet has is ignored.
    pub fn receive_size(&mut self, size: u32, now: Monotonic) {
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > MAX_SIZE {
            return;
        }
        self.size.record(size.max(self.remembered()), now);
        self.size.is_told |= size >= self.size.peak - self.size.peak / GROWTH_DIVISOR;
    }

    /// Records how many members there are, and which seeds are reached.
    pub(super) fn update_size(&mut self, reported: usize, now: Monotonic) {
        self.size.record(self.remembered().max(reported), now);
        // News of a seed that was cut off since then still go around for a while after a growth.
        if now.saturating_sub(self.size.grown_at) >= MEMBER_TIMEOUT {
            self.size.reached = self.reached(now);
        }
    }

    /// Returns the number of gateways, including this one, of which there was any news within the time for which they are
    /// remembered.
    fn remembered(&self) -> usize {
        1 + self.others.len()
    }

    /// Returns whether this gateway has sent heartbeats for this long. A process that was suspended has not.
    fn has_listened(&self, listening: Duration) -> bool {
        let heartbeats = u32::try_from(self.own_entry.heartbeats).unwrap_or(u32::MAX);
        HEARTBEAT_PERIOD.saturating_mul(heartbeats) >= listening
    }

    /// Returns the part of the seeds that was reached since the fleet last grew.
    fn reached(&self, now: Monotonic) -> f64 {
        if self.seeds.is_empty() {
            return 1.0;
        }
        let reached = self.seeds.iter();
        let reached =
            reached.filter(|seed| **seed == self.own_entry.peers || self.hears(**seed, now));
        let part = f64::from(count(reached.count())) / f64::from(count(self.seeds.len()));
        part.max(self.size.reached)
    }

    /// Returns whether the gateway at this address is there.
    fn hears(&self, peers: SocketAddr, now: Monotonic) -> bool {
        let mut others = self.others.values();
        others.any(|known| {
            let is_proven = known.heard_directly.is_some()
                || known.heartbeats >= known.first_heartbeats + PROOF_HEARTBEATS;
            known.entry.peers == peers && is_proven && known.is_alive(MEMBER_TIMEOUT, now)
        })
    }
}

/// Returns the size of a whole of which `members` are this part, rounded up.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a positive number, rounded up"
)]
fn divide(members: usize, part: f64) -> Option<usize> {
    (part > 0.0).then(|| (f64::from(count(members)) / part).ceil() as usize)
}
