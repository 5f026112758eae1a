//! Model of a rank's engine as the platform specifies it.

use auburnline_core::id::Rank;
use auburnline_core::id::Step;
use auburnline_lockstep::change::Order;
use auburnline_lockstep::rank::NOMINAL_SLOWDOWN_PERCENT;
use auburnline_lockstep::rank::State;
use auburnline_lockstep::rank::Switch;
use auburnline_lockstep::rank::Version;

/// One rank. Orders that do not fit its state are refused without effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Engine {
    pub(crate) version: Version,
    pub(crate) highest: Version,
    pub(crate) prepared: Option<Version>,
    pub(crate) armed: Option<Switch>,
    pub(crate) held: Option<Step>,
    /// Whether it leaves orders unanswered.
    pub(crate) is_unresponsive: bool,
}

impl Engine {
    pub(crate) fn order(&mut self, order: Order, step: Step) {
        match order {
            Order::Prepare(version) if version > self.highest && self.armed.is_none() => {
                self.highest = version;
                self.prepared = Some(version);
            }
            Order::Hold(pass) if pass > step && self.held.is_none() => self.held = Some(pass),
            Order::Arm(switch) if switch.step > step && self.prepared == Some(switch.version) => {
                self.armed = Some(switch);
            }
            Order::Release(pass) if self.held == Some(pass) => self.held = None,
            Order::Prepare(_) | Order::Hold(_) | Order::Arm(_) | Order::Release(_) => {}
        }
    }

    /// Begins a pass, and switches maps if the rank is armed for it.
    pub(crate) fn enter(&mut self, pass: Step) {
        if let Some(switch) = self.armed.take_if(|switch| switch.step == pass) {
            self.version = switch.version;
        }
    }

    pub(crate) fn state(&self, rank: Rank, size: Rank, step: Step) -> State {
        State {
            rank,
            size,
            epoch: 1,
            is_open: true,
            is_busy: false,
            step,
            version: self.version,
            prepared: self.prepared,
            armed: self.armed,
            held: self.held,
            running: 1,
            waiting: 0,
            slowdown_percent: NOMINAL_SLOWDOWN_PERCENT,
            is_unresponsive: self.is_unresponsive,
        }
    }
}
