//! Orders of a coordinator for the change in progress.

use std::sync::Arc;
use std::time::Duration;

use auburnline_core::id::Rank;
use auburnline_core::id::Step;
use auburnline_core::time::Monotonic;

use crate::change::Order;
use crate::change::Progress;
use crate::coordinator::Coordinator;
use crate::coordinator::HOLDER;
use crate::coordinator::planning::Stage;
use crate::output::Dispatch;
use crate::output::Event;
use crate::outstanding::Observation;
use crate::rank::Epoch;

/// Time after which a change that is still being prepared is abandoned and another one is planned.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(3);

impl Coordinator {
    pub(super) fn release_orphaned_hold(&mut self, step: Step, now: Monotonic) -> Vec<Dispatch> {
        let order = (HOLDER, Order::Release(step));
        let epoch = self.epoch.filter(|_| self.is_due(order, now));
        let dispatch = epoch.and_then(|epoch| self.issue(HOLDER, epoch, order.1, now));
        dispatch.into_iter().collect()
    }

    pub(super) fn advance(&mut self, now: Monotonic) -> Vec<Dispatch> {
        let Some(mut change) = self.change.take() else {
            return Vec::new();
        };
        let is_late = now.saturating_sub(self.change_started) > PREPARE_TIMEOUT;
        if change.can_abort() && is_late {
            self.events
                .push(Event::Aborted(change.version(), "not prepared in time"));
            self.next = None;
            return Vec::new();
        }
        let progress = change.advance(&self.states(), HOLDER, self.passes_ahead(now));
        let (epoch, version) = (change.epoch(), change.version());
        match progress {
            Progress::Orders(orders) => {
                self.change = Some(change);
                let due = orders.into_iter().filter(|order| self.is_due(*order, now));
                let due: Vec<_> = due.collect();
                due.into_iter()
                    .filter_map(|(rank, order)| self.issue(rank, epoch, order, now))
                    .collect()
            }
            Progress::Done => {
                self.events.push(Event::Done(version));
                if self.stage != Stage::Steady {
                    self.planned_at = Monotonic::ZERO;
                }
                Vec::new()
            }
            Progress::Aborted => {
                self.events
                    .push(Event::Aborted(version, "the group changed"));
                self.next = None;
                Vec::new()
            }
        }
    }

    /// Returns whether an order is to be sent, or sent again.
    fn is_due(&self, (rank, order): (Rank, Order), now: Monotonic) -> bool {
        let member = self.members.get(&rank);
        let observed = member.map(|member| Observation {
            at: member.seen,
            is_busy: member.state.is_busy,
        });
        self.outstanding
            .is_due(rank, order, self.copy_time, observed, now)
    }

    /// Returns the order to send; none if it needs the full map and the link is still busy with earlier ones.
    fn issue(
        &mut self,
        rank: Rank,
        epoch: Epoch,
        order: Order,
        now: Monotonic,
    ) -> Option<Dispatch> {
        let mut dispatch = Dispatch {
            rank,
            epoch,
            order,
            layout: None,
            base: None,
        };
        if let (Order::Prepare(_), Some(next)) = (order, &self.next) {
            dispatch.layout = Some(Arc::clone(&next.layout));
            // A rank that did not act on a delta may not know the map in force; a repeated order carries the full map.
            let is_repeated = self.outstanding.is_repeated(rank, order);
            let known = self.in_force.as_ref().filter(|_| !is_repeated);
            dispatch.base = known.map(|known| (known.version, Arc::clone(&known.layout)));
        }
        if let (Some(layout), None) = (&dispatch.layout, &dispatch.base) {
            let time = self.link.map_time(layout.encoded_bytes());
            if !self.full_maps.try_acquire(time, now) {
                return None;
            }
        }
        self.outstanding.record(rank, order, now);
        Some(dispatch)
    }
}
