//! The engine beside which a sidecar runs.

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
}

/// How often experts were chosen since the rank started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts(pub Vec<u64>);

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
