//! The sidecar beside the rank that holds, which ends a hold whose lead fell silent.
//!
//! A hold does not expire. If the lead freezes or dies between a hold and its release, the whole group stands
//! still until it is back, although it would run on without its sidecars. So the lead tells the deputy of each hold
//! it is about to order, and arms the deputy's rank first and by the deputy alone. A deputy that then hears nothing
//! ends the hold as long as it passed no order to arm on: nobody is armed, so the pass begins on the map in force.
//! Once it passed one on, others may be armed, and it takes the change forward: it arms all ranks for the pledged switch
//! and releases once it saw all armed. Each of its orders is one that the lead would give, so both may act at
//! once; what comes after the pass began, or in another epoch, is refused.

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
use crate::sight::Epoch;
use crate::sight::Sight;
use crate::sight::Switch;

/// Rank beside which the deputy runs.
pub const DEPUTY: Rank = HOLDER;
/// Silence of the lead after which the deputy acts: two of its words. Callers meet a pause of half a second
/// then, in place of the seconds for which an instance freezes.
const PATIENCE: Duration = Duration::from_millis(400);
/// Time after which a pledge is forgotten: a group that still stands then has another cause.
const LIFE: Duration = Duration::from_secs(20);

/// A hold that the lead is about to order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pledge {
    /// Group.
    pub group: String,
    /// Epoch in which it holds.
    pub epoch: Epoch,
    /// Switch that all ranks are to be armed for.
    pub switch: Switch,
    /// Sidecars of the ranks.
    pub sidecars: Vec<(Rank, SocketAddr)>,
}

/// State of the deputy.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Deputy {
    pledge: Option<Pledge>,
    /// When the lead was heard last.
    heard: Monotonic,
    /// Ranks that were seen armed for the pledged switch, or switched.
    armed: BTreeSet<Rank>,
    /// Epoch of the passes below.
    epoch: Epoch,
    /// Newest pass for which an order to arm the own rank was passed on.
    passed: Step,
    /// Newest pass whose hold was ended; no order to arm for it or an earlier one is passed on any more.
    ended: Step,
}

impl Deputy {
    /// Takes the pledge of a hold; returns whether it was known. One of an earlier epoch, come late, says nothing.
    pub fn pledge(&mut self, pledge: Pledge, now: Monotonic) -> bool {
        self.enter(pledge.epoch);
        if pledge.epoch < self.epoch {
            return false;
        }
        let is_known = self.pledge.as_ref() == Some(&pledge);
        if !is_known {
            self.armed.clear();
        }
        self.pledge = Some(pledge);
        self.heard = now;
        is_known
    }

    /// Begins an epoch anew: all that was passed on or ended before is void in it.
    fn enter(&mut self, epoch: Epoch) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.passed = 0;
            self.ended = 0;
        }
    }

    /// Returns whether an order to arm the own rank may be passed on to its engine, and takes that it is.
    pub fn may_arm(&mut self, epoch: Epoch, switch: Switch) -> bool {
        self.enter(epoch);
        let may_arm = epoch == self.epoch && switch.step > self.ended;
        if may_arm {
            self.passed = self.passed.max(switch.step);
        }
        may_arm
    }

    /// Ends the pledged hold if nobody can be armed for it; returns the pass to release at the own rank.
    pub fn end(&mut self, own: &Sight) -> Option<Step> {
        let pledge = self.pledge.as_ref()?;
        let step = pledge.switch.step;
        let is_held = own.epoch == pledge.epoch && own.held == Some(step);
        // An order that was passed on before this process started may have armed the rank.
        let is_armed = own.armed.is_some();
        if !is_held || is_armed || self.passed >= step {
            return None;
        }
        self.ended = self.ended.max(step);
        Some(step)
    }

    /// Takes that the lead speaks.
    pub const fn heard(&mut self, now: Monotonic) {
        self.heard = now;
    }

    /// Returns the pledge that the deputy has to see through now: its lead is silent, and the own rank has not
    /// passed it.
    #[must_use]
    pub fn due(&mut self, own: &Sight, now: Monotonic) -> Option<&Pledge> {
        let silent = now.saturating_sub(self.heard);
        let is_over = |pledge: &Pledge| {
            own.epoch != pledge.epoch || own.step >= pledge.switch.step || silent > LIFE
        };
        self.pledge.take_if(|pledge| is_over(pledge));
        self.pledge.as_ref().filter(|_| silent >= PATIENCE)
    }

    /// Takes the state of a rank.
    pub fn see(&mut self, sight: &Sight) {
        let Some(pledge) = &self.pledge else {
            return;
        };
        let is_armed = sight.armed == Some(pledge.switch);
        let is_switched = sight.version == pledge.switch.version;
        if sight.epoch == pledge.epoch && (is_armed || is_switched) {
            self.armed.insert(sight.rank);
        }
    }

    /// Says what to order to take the change forward, given the state of the own rank.
    #[must_use]
    pub fn orders(&mut self, holder: &Sight) -> Vec<(Rank, Order)> {
        self.see(holder);
        let Some(pledge) = &self.pledge else {
            return Vec::new();
        };
        let switch = pledge.switch;
        // Without the hold in force the pass may begin at any moment, so nobody may be armed for it.
        if holder.epoch != pledge.epoch || holder.held != Some(switch.step) {
            return Vec::new();
        }
        let is_armed = holder.armed == Some(switch);
        if self.passed < switch.step && !is_armed {
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
