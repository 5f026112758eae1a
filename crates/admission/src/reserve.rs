//! What is withheld from requests that go last.
//!
//! A late request gets capacity only beyond what requests in time are expected to take until the
//! next report, and a less urgent one only beyond what more urgent ones are expected to take. Each
//! urgency keeps a quarter of what it would get without this, so none starves. Where nothing is
//! withheld from the first of the order, it decides as if there were no order.

use crate::demand::MAX_URGENCIES;
use crate::demand::index;
use crate::standing::Standing;

/// Part of what a group carries that is withheld at most: more would leave capacity unused for
/// longer than a report if the expected requests don't come.
const MAX_WITHHELD_FRACTION: f64 = 0.25;
/// Part of its even share that each urgency keeps.
const KEPT_FRACTION: f64 = 0.25;
/// Accounts: one for each urgency of requests in time, and one for late ones.
const ACCOUNTS: usize = MAX_URGENCIES + 1;
/// Most requests that others' sends leave an account in debt, so that it recovers within a few
/// reports.
const MAX_DEBT: f64 = 1.0;

/// Most requests that an account keeps of earlier reports for those that go before it.
const MAX_RESERVED: f64 = 1.0;
/// Most requests that an urgency keeps of earlier reports.
const MAX_KEPT: f64 = 1.0;

/// Capacity withheld from each standing, in requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reserve {
    withheld: [f64; ACCOUNTS],
    /// Part of an even share that each urgency keeps.
    kept: [f64; MAX_URGENCIES],
}

impl Reserve {
    /// Returns the reserve of a group that carries `most` requests and is expected to get `arrivals`
    /// of requests in time until its next report, of which `parts` are of each urgency.
    #[must_use]
    pub fn new(most: f64, arrivals: f64, parts: [f64; MAX_URGENCIES]) -> Reserve {
        let bound = most * MAX_WITHHELD_FRACTION;
        let mut withheld = [0.0; ACCOUNTS];
        let mut sooner = 0.0;
        for (account, part) in withheld.iter_mut().zip(parts) {
            *account = (arrivals * sooner).min(bound);
            sooner += part;
        }
        withheld[MAX_URGENCIES] = arrivals.min(bound);
        let is_first = |at: usize| parts[..at].iter().all(|part| *part <= 0.0);
        let mut kept = parts.map(|part| part * KEPT_FRACTION);
        for (at, kept) in kept.iter_mut().enumerate() {
            if is_first(at) {
                *kept = 0.0;
            }
        }
        Reserve { withheld, kept }
    }

    /// Returns what is withheld from a request.
    #[must_use]
    pub fn withheld(&self, standing: Standing) -> f64 {
        self.withheld[account(standing)]
    }
}

/// Accounts of a gateway at one group: what it may send, by standing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Accounts {
    left: [f64; ACCOUNTS],
    /// What is withheld from each account for requests that go before it.
    reserved: [f64; ACCOUNTS],
    kept: [f64; MAX_URGENCIES],
}

impl Accounts {
    /// Starts anew with the share `part` of `headroom`, less `offset`.
    pub fn reset(&mut self, headroom: f64, part: f64, reserve: &Reserve, offset: f64) {
        for (left, withheld) in self.left.iter_mut().zip(reserve.withheld) {
            *left = share(headroom, withheld, part) - offset;
        }
        self.reserved = reserve.withheld.map(|withheld| withheld * part);
        self.kept = [0.0; MAX_URGENCIES];
    }

    /// Adds the share `part` of `headroom`, once for each of `reports`, up to `most` carried over.
    pub fn grant(&mut self, headroom: f64, part: f64, reserve: &Reserve, reports: f64, most: f64) {
        for (left, withheld) in self.left.iter_mut().zip(reserve.withheld) {
            let share = share(headroom, withheld, part);
            *left = (*left + share * reports).min(share.max(most));
        }
        for (reserved, withheld) in self.reserved.iter_mut().zip(reserve.withheld) {
            let share = withheld.min(headroom.max(0.0)) * part;
            *reserved = (*reserved + share * reports).min(share.max(MAX_RESERVED));
        }
        for (kept, fraction) in self.kept.iter_mut().zip(reserve.kept) {
            let share = headroom.max(0.0) * part * fraction;
            *kept = (*kept + share * reports).min(share.max(MAX_KEPT));
        }
    }

    /// Counts a request that is sent: against what was withheld for it first, and for the rest against
    /// what each other standing has left.
    pub fn spend(&mut self, standing: Standing) {
        let own = account(standing);
        if self.left[own] <= 0.0
            && let Some(kept) = self.kept.get_mut(own)
        {
            *kept = (*kept - 1.0).max(-1.0);
        }
        for (at, (left, reserved)) in self.left.iter_mut().zip(&mut self.reserved).enumerate() {
            let taken = if at > own {
                reserved.clamp(0.0, 1.0)
            } else {
                0.0
            };
            *reserved -= taken;
            let debt = if at == 0 { f64::INFINITY } else { MAX_DEBT };
            *left = (*left + taken - 1.0).max((-debt).min(*left));
        }
    }

    /// Returns whether a request of this standing may be sent.
    #[must_use]
    pub fn is_left(&self, standing: Standing) -> bool {
        let account = account(standing);
        let kept = self.kept.get(account).is_some_and(|kept| *kept > 0.0);
        self.left[account] > 0.0 || kept
    }

    /// Returns the requests of this standing that may still be sent; negative if more were sent.
    #[must_use]
    pub fn left(&self, standing: Standing) -> f64 {
        self.left[account(standing)]
    }
}

fn share(headroom: f64, withheld: f64, part: f64) -> f64 {
    (headroom - withheld).max(0.0) * part
}

fn account(standing: Standing) -> usize {
    if standing.is_late {
        MAX_URGENCIES
    } else {
        index(standing.urgency)
    }
}
