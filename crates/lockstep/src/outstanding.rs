//! Last order to each rank, so that no order is repeated before its effect can have been reported.

use std::collections::BTreeMap;
use std::time::Duration;

use auburnline_core::id::Rank;
use auburnline_core::time::Monotonic;

use crate::change::Order;

/// Time without an effect after which an order is sent again. A rank reports its state as soon as its engine has
/// answered, which takes 10 to 30 ms, and the group is stopped while an order is missing.
const RESEND_AFTER: Duration = Duration::from_millis(60);
/// Time beyond the copying after which an order to prepare is sent again, whatever the rank reports: a few polls at
/// the short interval.
const PREPARE_RESEND_AFTER: Duration = Duration::from_millis(200);
/// Time after which a rank that reports no copying counts as not having received its order to prepare. Orders to all
/// ranks of a large group leave the leader's instance within 50 ms.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(60);

/// Last order to each rank, and when it was sent.
#[derive(Default)]
pub(crate) struct Outstanding(BTreeMap<Rank, (Order, Monotonic)>);

impl Outstanding {
    /// Records an order that is sent.
    pub(crate) fn record(&mut self, rank: Rank, order: Order, now: Monotonic) {
        self.0.insert(rank, (order, now));
    }

    /// Returns whether `order` is also the last one that was sent to the rank.
    pub(crate) fn is_repeated(&self, rank: Rank, order: Order) -> bool {
        self.0.get(&rank).is_some_and(|(last, _)| *last == order)
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns whether to send an order: it differs from the last one, had no effect in time, or was not received
    /// according to what was `observed` of the rank. Copying weights takes up to `copy_time`.
    pub(crate) fn is_due(
        &self,
        rank: Rank,
        order: Order,
        copy_time: Duration,
        observed: Option<Observation>,
        now: Monotonic,
    ) -> bool {
        let Some((last, at)) = self.0.get(&rank) else {
            return true;
        };
        let is_idle = |observation: Observation| {
            !observation.is_busy && observation.at >= *at + RECEIPT_TIMEOUT
        };
        let (resend_after, is_not_received) = match order {
            Order::Prepare(_) => (
                copy_time + PREPARE_RESEND_AFTER,
                observed.is_some_and(is_idle),
            ),
            Order::Hold(_) | Order::Arm(_) | Order::Release(_) => (RESEND_AFTER, false),
        };
        *last != order || is_not_received || now.saturating_sub(*at) >= resend_after
    }
}

/// Last reported state of a rank.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observation {
    /// When it was reported.
    pub(crate) at: Monotonic,
    /// Whether the rank was carrying out an order.
    pub(crate) is_busy: bool,
}
