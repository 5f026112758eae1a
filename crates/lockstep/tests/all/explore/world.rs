//! One state of the model, and its transitions.

use std::collections::BTreeSet;
use std::time::Duration;

use auburnline_core::id::Rank;
use auburnline_core::id::Step;
use auburnline_lockstep::change::Change;
use auburnline_lockstep::change::Order;
use auburnline_lockstep::change::Progress;
use auburnline_lockstep::change::orphaned_hold;
use auburnline_lockstep::coordinator::HOLDER;
use auburnline_lockstep::rank::State;
use auburnline_lockstep::rank::Switch;
use auburnline_lockstep::rank::Version;
use auburnline_lockstep::standby::Notice;
use auburnline_lockstep::standby::Standby;

use crate::support::Engine;

/// Most passes between the newest one seen and the one to hold.
const PASSES_AHEAD: Step = 2;
/// The same if the running pass leaves time to arm all ranks; a coordinator may estimate so at any time.
const PASSES_AHEAD_IN_TIME: Step = 1;
/// Last pass that is explored.
const LAST_PASS: Step = 6;

/// An injected fault that the search must detect.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Ranks are armed without a hold.
    ArmsUnheld,
    /// The standby ends holds for which ranks may be armed.
    EndsArmed,
}

/// Bounds and options of an exploration.
#[derive(Clone, Copy)]
pub(crate) struct Bounds {
    pub(crate) ranks: Rank,
    pub(crate) changes: Version,
    pub(crate) kills: u8,
    /// Whether a standby acts concurrently with the coordinator, at any time and on observations of any age.
    pub(crate) has_standby: bool,
    /// Whether a hold may also be placed only one pass ahead, at any time.
    pub(crate) may_hold_next: bool,
    /// Fault that is injected, if any.
    pub(crate) injected: Option<Fault>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct World {
    pub(crate) step: Step,
    pub(crate) engines: Vec<Engine>,
    orders: BTreeSet<(Rank, Key)>,
    states: Vec<Option<State>>,
    change: Option<Change>,
    begun: Version,
    /// Newest pass that a previous coordinator may have held; zero until all ranks were seen.
    floor: Step,
    kills: u8,
    standby: Standby,
    /// The held rank, as the standby last saw it.
    holder: Option<State>,
}

/// An order in a form that implements `Ord`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Key {
    Prepare(Version),
    Hold(Step),
    Arm(Version, Step),
    /// The same, once the standby has forwarded it.
    ArmForwarded(Version, Step),
    Release(Step),
}

impl Key {
    fn of(order: Order) -> Key {
        match order {
            Order::Prepare(version) => Key::Prepare(version),
            Order::Hold(step) => Key::Hold(step),
            Order::Arm(Switch { version, step }) => Key::Arm(version, step),
            Order::Release(step) => Key::Release(step),
        }
    }

    fn order(self) -> Order {
        match self {
            Key::Prepare(version) => Order::Prepare(version),
            Key::Hold(step) => Order::Hold(step),
            Key::Arm(version, step) | Key::ArmForwarded(version, step) => {
                Order::Arm(Switch { version, step })
            }
            Key::Release(step) => Order::Release(step),
        }
    }
}

impl World {
    pub(crate) fn new(bounds: Bounds) -> World {
        let ranks = usize::from(bounds.ranks);
        World {
            // The first coordinator has seen a pass begin.
            step: 1,
            engines: vec![Engine::default(); ranks],
            orders: BTreeSet::new(),
            states: vec![None; ranks],
            change: None,
            begun: 0,
            floor: PASSES_AHEAD,
            kills: 0,
            standby: Standby::default(),
            holder: None,
        }
    }

    pub(crate) fn next(&self, bounds: Bounds) -> Vec<World> {
        let mut worlds = Vec::new();
        worlds.extend(self.begin_pass());
        for (rank, key) in &self.orders {
            let mut world = self.clone();
            world.carry_out(*rank, *key, bounds);
            worlds.push(world.clone());
            // Carried out, and not duplicated later.
            world.orders.remove(&(*rank, *key));
            worlds.push(world);
        }
        for rank in 0..bounds.ranks {
            worlds.push(self.poll(rank, bounds));
        }
        worlds.push(self.tick(bounds, PASSES_AHEAD));
        if bounds.may_hold_next {
            worlds.push(self.tick(bounds, PASSES_AHEAD_IN_TIME));
        }
        if bounds.has_standby {
            worlds.extend((0..bounds.ranks).map(|rank| self.standby_polls(rank, bounds)));
            worlds.push(self.complete_as_standby());
            worlds.push(self.end_hold(bounds));
        }
        if self.kills < bounds.kills {
            let mut world = self.clone();
            world.kills += 1;
            world.change = None;
            world.floor = 0;
            world.states.fill(None);
            worlds.push(world);
        }
        worlds.retain(|world| world != self);
        worlds
    }

    /// Delivers an order to its engine; an order to arm the held rank goes through the standby.
    fn carry_out(&mut self, rank: Rank, key: Key, bounds: Bounds) {
        match key {
            Key::Arm(version, step) if bounds.has_standby && rank == HOLDER => {
                if self.standby.may_arm(1, Switch { version, step }) {
                    self.orders.insert((rank, Key::ArmForwarded(version, step)));
                } else {
                    self.orders.insert((rank, Key::Release(step)));
                }
            }
            _ => self.engines[usize::from(rank)].order(key.order(), self.step),
        }
    }

    /// Lets the standby end the hold by its observations, as if the leader were silent.
    fn end_hold(&self, bounds: Bounds) -> World {
        let mut world = self.clone();
        let mut ended = self
            .holder
            .as_ref()
            .and_then(|own| world.standby.end_hold(own));
        if bounds.injected == Some(Fault::EndsArmed) {
            ended = self.holder.as_ref().and_then(|own| own.held);
        }
        if let Some(step) = ended {
            world.orders.insert((HOLDER, Key::Release(step)));
        }
        world
    }

    fn begin_pass(&self) -> Option<World> {
        let pass = self.step + 1;
        let is_held = self.engines.iter().any(|engine| engine.held == Some(pass));
        if is_held || pass > LAST_PASS {
            return None;
        }
        let mut world = self.clone();
        world.step = pass;
        for engine in &mut world.engines {
            engine.enter(pass);
        }
        Some(world)
    }

    fn poll(&self, rank: Rank, bounds: Bounds) -> World {
        let mut world = self.clone();
        let index = usize::from(rank);
        let state = world.engines[index].state(rank, bounds.ranks, self.step);
        world.states[index] = Some(state);
        world
    }

    fn standby_polls(&self, rank: Rank, bounds: Bounds) -> World {
        let mut world = self.clone();
        let state = world.engines[usize::from(rank)].state(rank, bounds.ranks, self.step);
        if rank == HOLDER {
            world.holder = Some(state);
        } else {
            world.standby.observe(&state);
        }
        world
    }

    /// Lets the standby complete the change by its observations, as if the leader were silent.
    fn complete_as_standby(&self) -> World {
        let mut world = self.clone();
        let Some(holder) = &self.holder else {
            return world;
        };
        let orders = world.standby.orders(holder).into_iter();
        let keys = orders.map(|(rank, order)| (rank, Key::of(order)));
        world.orders.extend(keys);
        world
    }

    /// Notifies the standby of a hold that is among `orders`.
    fn announce_hold(&mut self, version: Version, orders: &[(Rank, Order)]) {
        let Some((_, Order::Hold(step))) = orders.first() else {
            return;
        };
        let notice = Notice {
            group: String::new(),
            epoch: 1,
            switch: Switch {
                version,
                step: *step,
            },
            sidecars: Vec::new(),
        };
        self.standby.announce_hold(notice, Duration::ZERO);
    }

    /// Lets the coordinator decide by its observations.
    fn tick(&self, bounds: Bounds, ahead: Step) -> World {
        let mut world = self.clone();
        let states: Vec<State> = self.states.iter().flatten().cloned().collect();
        if states.len() < usize::from(bounds.ranks) {
            return world;
        }
        let seen: Vec<&State> = states.iter().collect();
        if world.floor == 0 {
            world.floor = seen.iter().map(|state| state.step).max().unwrap_or(0) + PASSES_AHEAD;
        }
        if world.change.is_none() {
            world.change = Change::recover(&seen, HOLDER, world.floor);
        }
        if let (None, Some(step)) = (&world.change, orphaned_hold(&seen, HOLDER)) {
            world.orders.insert((HOLDER, Key::Release(step)));
            return world;
        }
        let is_idle = seen
            .iter()
            .all(|state| state.armed.is_none() && state.held.is_none());
        if world.change.is_none() && is_idle && world.begun < bounds.changes {
            world.begun += 1;
            world.change = Some(Change::new(1, world.begun, world.floor));
        }
        let Some(change) = &mut world.change else {
            return world;
        };
        let version = change.version();
        match change.advance(&seen, HOLDER, ahead) {
            Progress::Orders(orders) => {
                if bounds.has_standby {
                    world.announce_hold(version, &orders);
                }
                let keys = orders.iter().map(|(rank, order)| (*rank, Key::of(*order)));
                world.orders.extend(keys);
                if bounds.injected == Some(Fault::ArmsUnheld) {
                    world.arm_unheld();
                }
            }
            Progress::Done | Progress::Aborted => world.change = None,
        }
        world
    }

    /// Injects the fault that ranks are armed as soon as the hold is ordered.
    fn arm_unheld(&mut self) {
        let holds = self.orders.iter().filter_map(|(_, key)| match key {
            Key::Hold(step) => Some(*step),
            Key::Prepare(_) | Key::Arm(..) | Key::ArmForwarded(..) | Key::Release(_) => None,
        });
        let arms: Vec<Key> = holds.map(|step| Key::Arm(self.begun, step)).collect();
        let ranks = Rank::try_from(self.engines.len()).expect("few ranks");
        for arm in arms {
            self.orders.extend((0..ranks).map(|rank| (rank, arm)));
        }
    }

    pub(crate) fn is_mixed(&self) -> bool {
        let first = self.engines[0].version;
        self.engines.iter().any(|engine| engine.version != first)
    }

    /// Returns whether a bounded number of rounds without faults, each of which delivers all orders and polls all ranks,
    /// leaves no hold and runs past the last pass on one map.
    pub(crate) fn converges(mut self, bounds: Bounds) -> bool {
        for _ in 0..64 {
            let orders: Vec<_> = std::mem::take(&mut self.orders).into_iter().collect();
            for (rank, key) in orders {
                self.carry_out(rank, key, bounds);
            }
            for rank in 0..bounds.ranks {
                self = self.poll(rank, bounds);
            }
            self = self.tick(bounds, PASSES_AHEAD);
            let pass = self.step + 1;
            if !self.engines.iter().any(|engine| engine.held == Some(pass)) {
                self.step = pass;
                self.engines
                    .iter_mut()
                    .for_each(|engine| engine.enter(pass));
            }
            if self.is_mixed() {
                return false;
            }
        }
        let is_free = self.engines.iter().all(|engine| engine.held.is_none());
        is_free && self.step > LAST_PASS
    }
}
