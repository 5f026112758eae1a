//! Standby of the leader: the sidecar next to the held rank, which ends a hold when the leader has gone silent.
//!
//! A hold does not expire. If the leader freezes or dies between a hold and its release, the whole group stops until
//! the leader is back, although the group itself would run without its sidecars. So the leader notifies the standby
//! of each hold that it is about to order, and arms the standby's rank first and only through the standby.
//!
//! If the leader then goes silent and the standby has forwarded no order to arm, no rank is armed: the standby ends
//! the hold and the pass begins on the map in force. Once it has forwarded one, other ranks may be armed, so the
//! standby completes the change: it arms all ranks for the announced switch, and releases the hold once it saw
//! all armed. Each of its orders is one that the leader would send, so both may act at the same time; an order that
//! arrives after the pass began, or in another epoch, is refused.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::id::Rank;
use auburnline_core::id::Step;
use auburnline_core::time::Monotonic;
use serde::Deserialize;
use serde::Serialize;

use crate::change::Order;
use crate::coordinator::HOLDER;
use crate::rank::Epoch;
use crate::rank::State;
use crate::rank::Switch;

/// Rank whose sidecar is the standby.
pub const STANDBY_RANK: Rank = HOLDER;
/// Silence of the leader after which the standby acts: two heartbeats. Callers then see a pause of half a second
/// instead of the seconds for which an instance freezes.
const LEADER_TIMEOUT: Duration = Duration::from_millis(400);
/// Silence of the leader after which an announced hold is dropped: if the group is still stopped, the cause is
/// another one.
const NOTICE_LIFETIME: Duration = Duration::from_secs(20);

/// Notice of a hold that the leader is about to order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Notice {
    /// Name of the group.
    pub group: String,
    /// Epoch in which the hold is valid.
    pub epoch: Epoch,
    /// Switch for which all ranks are to be armed; its pass is the held one.
    pub switch: Switch,
    /// Addresses of the sidecars of all ranks, including the leader.
    pub sidecars: Vec<(Rank, SocketAddr)>,
}

/// State of the standby.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Standby {
    notice: Option<Notice>,
    /// When the leader was last heard from.
    heard: Monotonic,
    /// Ranks that were seen armed for the announced switch, or on its map.
    armed: BTreeSet<Rank>,
    /// Epoch of the two passes below.
    epoch: Epoch,
    /// Newest pass for which an order to arm the own rank was forwarded.
    forwarded: Step,
    /// Newest pass whose hold was ended; orders to arm for it or an earlier one are no longer forwarded.
    ended: Step,
}

impl Standby {
    /// Records the notice of a hold; returns whether it was known already. A late one of an earlier epoch is ignored.
    pub fn announce_hold(&mut self, notice: Notice, now: Monotonic) -> bool {
        self.enter(notice.epoch);
        if notice.epoch < self.epoch {
            return false;
        }
        let is_known = self.notice.as_ref() == Some(&notice);
        if !is_known {
            self.armed.clear();
        }
        self.notice = Some(notice);
        self.heard = now;
        is_known
    }

    /// Starts an epoch if it is newer; what was forwarded or ended before is void in it.
    fn enter(&mut self, epoch: Epoch) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.forwarded = 0;
            self.ended = 0;
        }
    }

    /// Returns whether an order to arm the own rank may be forwarded to its engine; if so, records that it is.
    pub fn may_arm(&mut self, epoch: Epoch, switch: Switch) -> bool {
        self.enter(epoch);
        let may_arm = epoch == self.epoch && switch.step > self.ended;
        if may_arm {
            self.forwarded = self.forwarded.max(switch.step);
        }
        may_arm
    }

    /// Ends the announced hold if no rank can be armed for it; returns the pass to release at the own rank.
    pub fn end_hold(&mut self, own: &State) -> Option<Step> {
        let notice = self.notice.as_ref()?;
        let step = notice.switch.step;
        let is_held = own.epoch == notice.epoch && own.held == Some(step);
        // An order that was forwarded before this process started may have armed the rank.
        let is_armed = own.armed.is_some();
        if !is_held || is_armed || self.forwarded >= step {
            return None;
        }
        self.ended = self.ended.max(step);
        Some(step)
    }

    /// Records a heartbeat of the leader.
    pub const fn record_heartbeat(&mut self, now: Monotonic) {
        self.heard = now;
    }

    /// Returns the announced hold that the standby must act on now, because the leader is silent and the own rank has
    /// not reached the held pass.
    #[must_use]
    pub fn due_hold(&mut self, own: &State, now: Monotonic) -> Option<&Notice> {
        let silent = now.saturating_sub(self.heard);
        let is_over = |notice: &Notice| {
            own.epoch != notice.epoch || own.step >= notice.switch.step || silent > NOTICE_LIFETIME
        };
        self.notice.take_if(|notice| is_over(notice));
        self.notice.as_ref().filter(|_| silent >= LEADER_TIMEOUT)
    }

    /// Records the state of a rank.
    pub fn observe(&mut self, state: &State) {
        let Some(notice) = &self.notice else {
            return;
        };
        let is_armed = state.armed == Some(notice.switch);
        let is_switched = state.version == notice.switch.version;
        if state.epoch == notice.epoch && (is_armed || is_switched) {
            self.armed.insert(state.rank);
        }
    }

    /// Returns the orders that complete the change, given the state of the own rank.
    #[must_use]
    pub fn orders(&mut self, holder: &State) -> Vec<(Rank, Order)> {
        self.observe(holder);
        let Some(notice) = &self.notice else {
            return Vec::new();
        };
        let switch = notice.switch;
        // Without the hold in force the pass may begin at any moment, so no rank may be armed for it.
        if holder.epoch != notice.epoch || holder.held != Some(switch.step) {
            return Vec::new();
        }
        let is_armed = holder.armed == Some(switch);
        if self.forwarded < switch.step && !is_armed {
            return Vec::new();
        }
        let unarmed = (0..holder.size).filter(|rank| !self.armed.contains(rank));
        let orders: Vec<_> = unarmed.map(|rank| (rank, Order::Arm(switch))).collect();
        if orders.is_empty() {
            return vec![(HOLDER, Order::Release(switch.step))];
        }
        orders
    }
}
