//! The engine beside which a sidecar runs.

use std::net::SocketAddr;

use auburnline_core::id::Expert;
use auburnline_http::Failure;
use auburnline_lockstep::change::Order;
use auburnline_lockstep::layout::Layout;
use auburnline_lockstep::sight::Epoch;
use auburnline_lockstep::sight::Sight;

/// What an engine reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Name of its group.
    pub group: String,
    /// State of its rank.
    pub sight: Sight,
    /// Unix milliseconds of the rank's start, where it tells.
    pub born: Option<u64>,
}

/// How often experts were chosen since the rank started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts(pub Vec<u64>);

impl Counts {
    /// Returns the choices since an earlier count; all of this one if the rank started anew.
    pub(crate) fn since(&self, before: &Counts) -> Vec<u32> {
        let is_same = before.0.len() == self.0.len();
        let is_grown = is_same && before.0.iter().zip(&self.0).all(|(old, new)| new >= old);
        let differences = self.0.iter().enumerate().map(|(index, new)| {
            let old = if is_grown { before.0[index] } else { 0 };
            u32::try_from(new - old).unwrap_or(u32::MAX)
        });
        differences.collect()
    }
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It holds already, or is done.
    Done,
    /// It has begun.
    Begun,
    /// It does not fit the engine's state.
    Refused(u16),
}

/// An engine, as a platform lets one speak to it.
pub trait Engine {
    /// Returns the engine of another rank; its reports may be some hundred milliseconds old.
    #[must_use]
    fn at(&self, address: SocketAddr) -> Self;

    /// Reads the rank's state.
    fn report(&self) -> impl Future<Output = Result<Report, Failure>>;

    /// Reads how often experts were chosen.
    fn counts(&self) -> impl Future<Output = Result<Counts, Failure>>;

    /// Reads the experts that the rank holds by layer.
    fn held(&self) -> impl Future<Output = Result<Vec<Vec<Expert>>, Failure>>;

    /// Gives an order; one without answer may still be carried out.
    fn order(
        &self,
        epoch: Epoch,
        order: Order,
        layout: Option<&Layout>,
    ) -> impl Future<Output = Result<Reply, Failure>>;
}
