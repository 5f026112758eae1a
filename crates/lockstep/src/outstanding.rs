//! The orders that were given last, so that none is given again before it can have shown an effect.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::id::Rank;
use auburnline_core::time::Monotonic;

use crate::change::Order;

/// Time without an effect after which an order is given again: a rank shows its state as soon as its engine
/// has answered, which takes 10 to 30 ms; the group stands still while one is missing.
const AGAIN: Duration = Duration::from_millis(60);
/// Time beyond the copying after which an order to prepare is given again, whatever the rank shows: a few quick
/// looks.
const PREPARE_AGAIN: Duration = Duration::from_millis(200);
/// Time after which a rank that shows no copying did not get its order to prepare: orders to all ranks of a
/// large group leave the lead's instance within 50 ms.
const UNHEARD: Duration = Duration::from_millis(60);

/// The last order to each rank, and when it was given.
#[derive(Default)]
pub(crate) struct Outstanding(BTreeMap<Rank, (Order, Monotonic)>);

impl Outstanding {
    /// Notes an order that is given.
    pub(crate) fn record(&mut self, rank: Rank, order: Order, now: Monotonic) {
        self.0.insert(rank, (order, now));
    }

    /// Returns whether this was the last order to the rank already.
    pub(crate) fn is_repeated(&self, rank: Rank, order: Order) -> bool {
        self.0.get(&rank).is_some_and(|(given, _)| *given == order)
    }

    /// Forgets all orders.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns whether an order was not just given, or was not heard by the rank that `shows` its state, where
    /// weights are copied for up to `copying`.
    pub(crate) fn is_due(
        &self,
        rank: Rank,
        order: Order,
        copying: Duration,
        shows: Option<Observation>,
        now: Monotonic,
    ) -> bool {
        let Some((given, at)) = self.0.get(&rank) else {
            return true;
        };
        let is_idle = |shown: Observation| !shown.is_busy && shown.at >= *at + UNHEARD;
        let (patience, is_unheard) = match order {
            Order::Prepare(_) => (copying + PREPARE_AGAIN, shows.is_some_and(is_idle)),
            Order::Hold(_) | Order::Arm(_) | Order::Release(_) => (AGAIN, false),
        };
        *given != order || is_unheard || now.saturating_sub(*at) >= patience
    }
}

/// What a rank showed last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observation {
    /// When that was.
    pub(crate) at: Monotonic,
    /// Whether it was carrying an order out.
    pub(crate) is_busy: bool,
}
