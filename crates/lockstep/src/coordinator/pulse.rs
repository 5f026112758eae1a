//! Statistics of a group, as its coordinator sees it.

use auburnline_core::id::Rank;

use crate::coordinator::Coordinator;
use crate::sight::Sight;
use crate::to_f64;
use crate::told::Pulse;

impl Coordinator {
    /// Returns the latest reported state of each rank.
    pub fn sights_by_rank(&self) -> impl Iterator<Item = (Rank, &Sight)> {
        let members = self.members.iter();
        members.map(|(rank, member)| (*rank, &member.sight))
    }

    /// Returns the slowdown factor of each rank.
    pub(super) fn slowness(&self) -> Vec<f64> {
        let sights = self.members.values().map(|member| &member.sight);
        sights.map(Sight::slowness).collect()
    }

    pub(super) fn requests_per_rank(&self) -> f64 {
        let sights = self.members.values().map(|member| &member.sight);
        let requests: u32 = sights.map(|sight| sight.running + sight.waiting).sum();
        f64::from(requests) / to_f64(self.members.len().max(1))
    }

    /// Returns the group's current statistics.
    #[must_use]
    pub fn pulse(&self) -> Pulse {
        let sights = || self.members.values().map(|member| &member.sight);
        let shares = self.popularity.shares();
        let known = self.in_force.as_ref();
        let skew = known
            .zip(shares)
            .map(|(known, shares)| known.layout.skew(&shares));
        Pulse {
            step: sights().map(|sight| sight.step).max().unwrap_or(0),
            running: sights().map(|sight| sight.running).sum(),
            waiting: sights().map(|sight| sight.waiting).sum(),
            most_running: sights().map(|sight| sight.running).max().unwrap_or(0),
            skew,
            slowest: max_slowdown(&self.slowness()),
            version: known.map(|known| known.version),
        }
    }
}

/// Returns the slowdown factor of the slowest rank.
pub(super) fn max_slowdown(slowness: &[f64]) -> f64 {
    slowness.iter().copied().fold(1.0, f64::max)
}
