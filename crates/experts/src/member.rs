//! Member of a group: the slot of one instance, which alone sends orders to that instance's ranks.
//!
//! A member forwards an order if its stamp is newer than all that this incarnation has forwarded. For
//! engines that ignore fencing numbers this check is the only fence. It suffices, since at most one
//! incarnation of the slot is alive: it holds an exclusive local listening socket from before its
//! first order until its end.
//!
//! A restart loses the newest stamp. The new incarnation starts instead from the lowest fencing
//! number of the revision that it has in force. If an older coordinator ran on the same instance as
//! the current one, its orders name the member's old incarnation and are refused; if it runs on
//! another instance, it has an older revision.

use std::collections::BTreeMap;
use std::sync::Arc;

use auburnline_core::expert::Map;
use auburnline_core::id::Fence;
use auburnline_core::id::Incarnation;
use auburnline_core::id::Rank;
use auburnline_core::id::Revision;

use crate::fence;
use crate::order::Command;
use crate::order::MemberIndex;
use crate::order::Order;
use crate::order::Refusal;
use crate::order::Report;
use crate::order::Stamp;
use crate::order::Status;

/// State of one member, lost when its process restarts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    index: MemberIndex,
    incarnation: Incarnation,
    lowest_fence: Fence,
    newest: Option<Stamp>,
}

impl Member {
    /// Returns a member that has `revision` in force and has seen no order.
    #[must_use]
    pub fn new(index: MemberIndex, incarnation: Incarnation, revision: Revision) -> Member {
        Member {
            index,
            incarnation,
            lowest_fence: fence::base(revision),
            newest: None,
        }
    }

    /// Returns the incarnation of this process.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the highest fencing number forwarded, or the lowest of the revision at the start if no
    /// order was forwarded.
    #[must_use]
    pub fn highest(&self) -> Fence {
        self.newest.map_or(self.lowest_fence, |stamp| stamp.fence)
    }

    /// Accepts `order` for forwarding to the ranks.
    ///
    /// # Errors
    ///
    /// Returns why the order must not be forwarded.
    pub fn accept(&mut self, order: &Order) -> Result<(), Refusal> {
        let stamp = order.stamp;
        match order.incarnation {
            Some(incarnation) if incarnation == self.incarnation => {}
            None if order.command == Command::Read => {}
            _ => return Err(Refusal::OtherIncarnation),
        }
        if stamp.fence < self.highest() {
            return Err(Refusal::StaleFence(self.highest()));
        }
        if let Some(newest) = self.newest.filter(|newest| newest.fence == stamp.fence) {
            if newest.sender != stamp.sender {
                return Err(Refusal::StaleFence(newest.fence));
            }
            if newest.sequence >= stamp.sequence {
                return Err(Refusal::StaleSequence);
            }
        }
        self.newest = Some(stamp);
        Ok(())
    }

    /// Returns the report on an order, from what the ranks answered.
    #[must_use]
    pub fn report(
        &self,
        order: &Order,
        refusal: Option<Refusal>,
        ranks: BTreeMap<Rank, Status>,
        maps: Vec<Arc<Map>>,
    ) -> Report {
        Report {
            member: self.index,
            incarnation: self.incarnation,
            stamp: order.stamp,
            refusal,
            ranks,
            maps,
        }
    }
}
