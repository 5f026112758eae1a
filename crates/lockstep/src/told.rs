//! What a coordinator tells whoever runs it: orders to send, and what belongs in the log.

use std::sync::Arc;

use auburnline_core::id::Rank;
use auburnline_core::id::Step;

use crate::change::Order;
use crate::change::Phase;
use crate::layout::Layout;
use crate::layout::Parcel;
use crate::plan::Plan;
use crate::sight::Epoch;
use crate::sight::Version;

/// An order on its way to a rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// Rank.
    pub rank: Rank,
    /// Epoch in which the order holds.
    pub epoch: Epoch,
    /// Order.
    pub order: Order,
    /// Layout to prepare.
    pub layout: Option<Arc<Layout>>,
    /// Map in force, if the rank most likely knows it: then what differs from it is enough. The first map is known to all.
    pub base: Option<(Version, Arc<Layout>)>,
}

impl Send {
    /// Returns the layout as it goes to another instance: as little as is enough.
    #[must_use]
    pub fn parcel(&self) -> Option<Parcel> {
        let layout = self.layout.as_ref()?;
        Some(match &self.base {
            Some((version, base)) => Parcel::delta(*version, base, layout),
            None => Parcel::Full((**layout).clone()),
        })
    }
}

/// Whose turn it is to be told first, where those told first pass a word on.
///
/// One that is gone passes nothing on; with each word others are first, so that nobody misses more than one for it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turn(usize);

impl Turn {
    /// Returns all, from the next one on.
    pub fn take<'a, T>(&mut self, all: &'a [T]) -> impl Iterator<Item = &'a T> + use<'a, T> {
        let from = self.0;
        self.0 = (from + 1) % all.len().max(1);
        all.iter().cycle().skip(from).take(all.len())
    }
}

/// Something to tell in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A change begins.
    Begun(Version, Plan),
    /// A change found after a start goes on.
    Found(Version, Phase),
    /// A change is in force.
    Done(Version),
    /// A change ended without effect.
    Void(Version, &'static str),
    /// Demand shifted by this distance.
    Shifted(f64),
    /// The group formed anew, or was seen first.
    Formed(Epoch),
}

/// How a group runs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pulse {
    /// Newest pass.
    pub step: Step,
    /// Requests that run on all ranks.
    pub running: u32,
    /// Requests that wait on all ranks.
    pub waiting: u32,
    /// Most requests that run on one rank.
    pub most_running: u32,
    /// Most loaded rank over the mean under the popularity of now; none if it is not known.
    pub skew: Option<f64>,
    /// Times that the slowest rank's part of a pass takes longer than it should.
    pub slowest: f64,
    /// Map in force; none if ranks differ or it is not known.
    pub version: Option<Version>,
}
