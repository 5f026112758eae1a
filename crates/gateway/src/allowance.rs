//! A gateway's part of the room that the lead of a group tells.
//!
//! All gateways hear the same room. If each took it as its own, a wave of callers, as after a loss of power,
//! would fill the group once for each gateway. So each word of the lead gives every gateway its share of the
//! room. What is not used is kept for a while, since callers don't come evenly: a gateway that gets three
//! requests within one word has had none in others. A share is mostly a part of a request; every gateway
//! begins at another part, by chance, so that together they send as many as there is room for.

use std::time::Duration;

use auburnline_core::time::Monotonic;

use crate::real;

/// Time between two words of a lead.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a word after which what was kept is void: the group may have formed anew since.
const KEPT: Duration = Duration::from_millis(600);
/// Requests that are kept at most beyond a share: more than callers send to one gateway within one word.
const MOST_KEPT: f64 = 4.0;

/// What one gateway may send to one group.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Allowance {
    requests: f64,
    told: Option<Monotonic>,
}

impl Allowance {
    /// Takes the room that the word of `told` leaves to all `gateways`; `draw` (0 to 1) is a number by chance.
    pub(crate) fn update(&mut self, told: Monotonic, room: f64, gateways: usize, draw: f64) {
        if self.told == Some(told) {
            return;
        }
        let passed = self.told.map(|before| told.saturating_sub(before));
        self.told = Some(told);
        let share = room.max(0.0) / real(gateways.max(1));
        let Some(passed) = passed.filter(|passed| *passed < KEPT && room > 0.0) else {
            self.requests = share - draw;
            return;
        };
        let words = (passed.as_secs_f64() / REPORT_INTERVAL.as_secs_f64())
            .round()
            .max(1.0);
        self.requests = (self.requests + share * words).min(share.max(MOST_KEPT));
    }

    /// Takes a request that is sent.
    pub(crate) fn spend(&mut self) {
        self.requests -= 1.0;
    }

    /// Returns whether a request may be sent.
    pub(crate) fn is_left(self) -> bool {
        self.requests > 0.0
    }

    /// Returns the requests that are left, or owed below zero.
    pub(crate) const fn requests(self) -> f64 {
        self.requests
    }
}
