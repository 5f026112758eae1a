//! Statistics of a group, as its coordinator sees it.

use auburnline_core::id::Rank;

use crate::coordinator::Coordinator;
use crate::output::Stats;
use crate::rank::State;
use crate::to_f64;

impl Coordinator {
    /// Returns the latest reported state of each rank.
    pub fn states_by_rank(&self) -> impl Iterator<Item = (Rank, &State)> {
        let members = self.members.iter();
        members.map(|(rank, member)| (*rank, &member.state))
    }

    /// Returns the slowdown factor of each rank.
    pub(super) fn slowdown(&self) -> Vec<f64> {
        let states = self.members.values().map(|member| &member.state);
        states.map(State::slowdown).collect()
    }

    pub(super) fn requests_per_rank(&self) -> f64 {
        let states = self.members.values().map(|member| &member.state);
        let requests: u32 = states.map(|state| state.running + state.waiting).sum();
        f64::from(requests) / to_f64(self.members.len().max(1))
    }

    /// Returns the group's current statistics.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let states = || self.members.values().map(|member| &member.state);
        let shares = self.popularity.shares();
        let known = self.in_force.as_ref();
        let skew = known
            .zip(shares)
            .map(|(known, shares)| known.layout.skew(&shares));
        Stats {
            step: states().map(|state| state.step).max().unwrap_or(0),
            running: states().map(|state| state.running).sum(),
            waiting: states().map(|state| state.waiting).sum(),
            most_running: states().map(|state| state.running).max().unwrap_or(0),
            skew,
            slowest: max_slowdown(&self.slowdown()),
            version: known.map(|known| known.version),
        }
    }
}

/// Returns the slowdown factor of the slowest rank.
pub(super) fn max_slowdown(slowdown: &[f64]) -> f64 {
    slowdown.iter().copied().fold(1.0, f64::max)
}
