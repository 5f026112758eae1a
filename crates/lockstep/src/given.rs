//! The orders that were given last, so that none is given again before it can have shown an effect.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::id::Rank;
use auburnline_core::time::Monotonic;

use crate::change::Order;

/// Time without an effect after which an order is given again: some round trips and a report.
const AGAIN: Duration = Duration::from_millis(100);
/// Time beyond the copying after which an order to prepare is given again: a few quick looks.
const PREPARE_AGAIN: Duration = Duration::from_millis(200);

/// The last order to each rank, and when it was given.
#[derive(Default)]
pub(crate) struct Given(BTreeMap<Rank, (Order, Monotonic)>);

impl Given {
    /// Notes an order that is given.
    pub(crate) fn note(&mut self, rank: Rank, order: Order, now: Monotonic) {
        self.0.insert(rank, (order, now));
    }

    /// Forgets all orders.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns whether an order was not just given, where weights are copied for up to `copying`.
    pub(crate) fn is_due(
        &self,
        rank: Rank,
        order: Order,
        copying: Duration,
        now: Monotonic,
    ) -> bool {
        let Some((given, at)) = self.0.get(&rank) else {
            return true;
        };
        let patience = match order {
            Order::Prepare(_) => copying + PREPARE_AGAIN,
            Order::Hold(_) | Order::Arm(_) | Order::Release(_) => AGAIN,
        };
        *given != order || now.saturating_sub(*at) >= patience
    }
}
