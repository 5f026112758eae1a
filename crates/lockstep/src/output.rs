//! Output of a coordinator: orders to send, events to log, and statistics.

use std::sync::Arc;

use auburnline_core::id::Rank;
use auburnline_core::id::Step;

use crate::change::Order;
use crate::change::Phase;
use crate::layout::Layout;
use crate::layout::Update;
use crate::plan::Plan;
use crate::rank::Epoch;
use crate::rank::Version;

/// An order to send to a rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Rank that the order is for.
    pub rank: Rank,
    /// Epoch in which the order is valid.
    pub epoch: Epoch,
    /// The order itself.
    pub order: Order,
    /// Layout to prepare; only with [`Order::Prepare`].
    pub layout: Option<Arc<Layout>>,
    /// Map in force, if the rank most likely knows it, so that a delta to it is enough. All ranks know the initial
    /// map.
    pub base: Option<(Version, Arc<Layout>)>,
}

impl Dispatch {
    /// Returns the layout as it is sent to another instance: as a delta if there is a base, else in full.
    #[must_use]
    pub fn update(&self) -> Option<Update> {
        let layout = self.layout.as_ref()?;
        Some(match &self.base {
            Some((version, base)) => Update::delta(*version, base, layout),
            None => Update::Full((**layout).clone()),
        })
    }
}

/// Rotation of the receivers that get a message first, where these forward it to the others.
///
/// A receiver that is gone forwards nothing. Others come first with each message, so that no receiver misses
/// more than one in a row because of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rotation(usize);

impl Rotation {
    /// Returns all receivers, starting one further along than the last call.
    pub fn take<'a, T>(&mut self, all: &'a [T]) -> impl Iterator<Item = &'a T> + use<'a, T> {
        let from = self.0;
        self.0 = (from + 1) % all.len().max(1);
        all.iter().cycle().skip(from).take(all.len())
    }
}

/// Event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A change to this version starts.
    Started(Version, Plan),
    /// A change that was found after a start of the coordinator is resumed.
    Resumed(Version, Phase),
    /// A change is in force on all ranks.
    Done(Version),
    /// A change was aborted for this reason, without effect.
    Aborted(Version, &'static str),
    /// Demand shifted by this distance between expert shares (0 to 2).
    Shifted(f64),
    /// The group formed again, or was seen for the first time.
    Formed(Epoch),
}

/// Statistics of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Stats {
    /// Newest pass that any rank has begun.
    pub step: Step,
    /// Running requests, summed over the ranks.
    pub running: u32,
    /// Waiting requests, summed over the ranks.
    pub waiting: u32,
    /// Largest number of running requests on one rank.
    pub most_running: u32,
    /// Load of the most loaded rank over the mean under current popularity; none while the layout or the
    /// popularity is unknown.
    pub skew: Option<f64>,
    /// Slowdown factor of the slowest rank.
    pub slowest: f64,
    /// Version of the map in force; none until the layout is known.
    pub version: Option<Version>,
}
