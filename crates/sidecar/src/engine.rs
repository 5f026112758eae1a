//! Interface to an inference engine, implemented for each platform.

use std::net::SocketAddr;

use auburnline_core::id::Expert;
use auburnline_http::Failure;
use auburnline_lockstep::change::Order;
use auburnline_lockstep::layout::Layout;
use auburnline_lockstep::rank::Epoch;
use auburnline_lockstep::rank::State;

/// Status report of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Name of the group that its rank belongs to.
    pub group: String,
    /// State of its rank.
    pub state: State,
    /// Start of the rank in Unix milliseconds; none if the engine does not report it.
    pub born: Option<u64>,
}

/// Expert activations since the rank started, layer by layer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts(pub Vec<u64>);

impl Counts {
    /// Returns the activations since an earlier count; all of these if a counter fell, because the rank restarted.
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

/// Answer of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The order is completed, or its effect was in force already.
    Done,
    /// The engine has started to carry it out.
    Begun,
    /// The order does not fit the engine's state; with the HTTP status code.
    Refused(u16),
}

/// Client of an engine, in the platform's protocol.
pub trait Engine {
    /// Returns a client of another rank's engine, whose reports may be some hundred milliseconds old.
    #[must_use]
    fn at(&self, address: SocketAddr) -> Self;

    /// Reads the rank's state.
    fn report(&self) -> impl Future<Output = Result<Report, Failure>>;

    /// Reads the expert activations since the rank started.
    fn counts(&self) -> impl Future<Output = Result<Counts, Failure>>;

    /// Reads the experts that the rank holds, by layer.
    fn held(&self) -> impl Future<Output = Result<Vec<Vec<Expert>>, Failure>>;

    /// Sends an order. One that gets no answer may still be carried out.
    fn order(
        &self,
        epoch: Epoch,
        order: Order,
        layout: Option<&Layout>,
    ) -> impl Future<Output = Result<Reply, Failure>>;
}
