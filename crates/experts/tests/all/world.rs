//! A group with its members, ranks and messages, all moved by hand.
//!
//! Messages wait in bags and may be delivered in any order, late, more than once, or never. A dead
//! coordinator's messages stay. One incarnation of a member or of the coordinator of one instance
//! is alive at a time: that is the exclusive listening socket.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::expert::Map;
use auburnline_core::id::Generation;
use auburnline_core::id::Incarnation;
use auburnline_core::id::Rank;
use auburnline_core::id::Revision;
use auburnline_core::id::Step;
use auburnline_experts::coordinator::Action;
use auburnline_experts::coordinator::Coordinator;
use auburnline_experts::coordinator::Event;
use auburnline_experts::coordinator::Settings;
use auburnline_experts::member::Member;
use auburnline_experts::order::Command;
use auburnline_experts::order::Order;
use auburnline_experts::order::Refusal;
use auburnline_experts::order::Report;
use auburnline_experts::order::Stage;
use auburnline_experts::rank::Entry;
use auburnline_experts::rank::State;

/// Incarnation of the first coordinator of a world.
const FIRST_COORDINATOR: Incarnation = 101;

/// A fault put in on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum InjectedFault {
    None,
    /// A rank that is armed passes the switch step by itself.
    UnreleasedSwitch,
    /// Members pass on every order.
    NoFence,
    /// A restarted coordinator takes a released rank for an armed one.
    AbortAfterRelease,
    /// A restarted coordinator judges by the first member it reaches.
    ReachableOnly,
    /// A restarted member has an old revision in force.
    StaleMember,
}

/// Shape of a group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    pub(crate) members: usize,
    pub(crate) ranks: Rank,
    pub(crate) checks_fence: bool,
    pub(crate) injected: InjectedFault,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct World {
    pub(crate) checks_fence: bool,
    pub(crate) injected: InjectedFault,
    /// Whether weights load in no time.
    pub(crate) loads_at_once: bool,
    pub(crate) per_member: usize,
    pub(crate) coordinators: Vec<Coordinator>,
    pub(crate) members: Vec<Member>,
    pub(crate) ranks: Vec<State>,
    pub(crate) entered: Vec<Option<Generation>>,
    pub(crate) step: Step,
    pub(crate) orders: Vec<Order>,
    pub(crate) reports: Vec<(Incarnation, Report)>,
    pub(crate) revision: Revision,
    pub(crate) incarnation: Incarnation,
    pub(crate) now: Duration,
}

pub(crate) fn map(ranks: Rank, generation: Generation) -> Arc<Map> {
    let mut map = Map::initial(ranks, 1, 1, 1);
    map.generation = generation;
    Arc::new(map)
}

pub(crate) fn settings() -> Settings {
    Settings::builder()
        .retry(Duration::from_millis(1))
        .poll(Duration::from_millis(1))
        .prepare_timeout(Duration::from_hours(1))
        .arm_timeout(Duration::from_hours(1))
        .margin(1)
        .build()
}

impl World {
    pub(crate) fn new(shape: Shape) -> World {
        let total = shape.ranks * Rank::try_from(shape.members).expect("a small group");
        let first = map(total, 1);
        let members = (0..shape.members).map(|i| Member::new(i, 100, 1));
        let rank = State::serving(shape.checks_fence, 0, Arc::clone(&first));
        let mut world = World {
            checks_fence: shape.checks_fence,
            injected: shape.injected,
            loads_at_once: false,
            per_member: usize::from(shape.ranks),
            coordinators: Vec::new(),
            members: members.collect(),
            ranks: vec![rank; usize::from(total)],
            entered: vec![None; usize::from(total)],
            step: 0,
            orders: Vec::new(),
            reports: Vec::new(),
            revision: 1,
            incarnation: 100,
            now: Duration::ZERO,
        };
        world.start_coordinator();
        world
    }

    fn total(&self) -> Rank {
        Rank::try_from(self.ranks.len()).expect("a small group")
    }

    /// Starts a coordinator beside those that live.
    pub(crate) fn start_coordinator(&mut self) {
        self.incarnation += 1;
        let mut ranks = 0..self.total();
        let members: Vec<Vec<Rank>> = (0..self.members.len())
            .map(|_| ranks.by_ref().take(self.per_member).collect())
            .collect();
        let initial = map(self.total(), 1);
        self.coordinators.push(Coordinator::new(
            members,
            self.incarnation,
            self.revision,
            initial,
            settings(),
        ));
        self.handle_event(self.coordinators.len() - 1, Event::Tick);
    }

    /// Kills the newest coordinator and starts another on its instance.
    pub(crate) fn restart_coordinator(&mut self) {
        self.coordinators.pop();
        self.start_coordinator();
    }

    /// Moves rank 0 to another instance by publication; the old coordinator lives on.
    pub(crate) fn move_coordinator(&mut self) {
        self.revision += 1;
        self.start_coordinator();
    }

    pub(crate) fn newest(&self) -> usize {
        self.coordinators.len() - 1
    }

    pub(crate) fn handle_event(&mut self, index: usize, event: Event) {
        let sender = self.coordinators[index].incarnation();
        for action in self.coordinators[index].handle(event, self.now) {
            if let Action::Send(order) = action {
                assert_eq!(order.stamp.sender, sender);
                self.orders.push(order);
            }
        }
    }

    pub(crate) fn request_change(&mut self, index: usize) {
        let generation = self.coordinators[index].next_generation();
        let wanted = map(self.total(), generation);
        self.handle_event(index, Event::Start(wanted));
    }

    /// Delivers an order, which stays for a second delivery if `again`.
    pub(crate) fn deliver_order(&mut self, at: usize, again: bool) {
        let order = if again {
            self.orders[at].clone()
        } else {
            self.orders.swap_remove(at)
        };
        let report = self.carry_out(&order);
        self.reports.push((order.stamp.sender, report));
    }

    fn carry_out(&mut self, order: &Order) -> Report {
        let member = &mut self.members[order.member];
        let accepted = member.accept(order);
        if self.injected != InjectedFault::NoFence
            && let Err(refusal) = accepted
        {
            return member.report(order, Some(refusal), BTreeMap::new(), Vec::new());
        }
        let mut refusal = None;
        let mut statuses = BTreeMap::new();
        let mut maps = Vec::new();
        let first = order.member * self.per_member;
        for rank in first..first + self.per_member {
            let state = &mut self.ranks[rank];
            if let Err(stale @ Refusal::StaleFence(_)) =
                state.order(order.stamp.fence, &order.command)
            {
                refusal = Some(stale);
            }
            if self.loads_at_once && state.wanted().is_some() {
                state.loaded();
            }
            let index = Rank::try_from(rank).expect("a small group");
            statuses.insert(index, state.status());
            if order.command == Command::Read {
                maps.extend(state.maps().cloned());
            }
        }
        member.report(order, refusal, statuses, maps)
    }

    pub(crate) fn deliver_report(&mut self, at: usize, again: bool) {
        let (sender, mut report) = if again {
            self.reports[at].clone()
        } else {
            self.reports.swap_remove(at)
        };
        let Some(index) = self
            .coordinators
            .iter()
            .position(|c| c.incarnation() == sender)
        else {
            return;
        };
        let restarted = sender > FIRST_COORDINATOR;
        if self.injected == InjectedFault::AbortAfterRelease && restarted {
            hide_release(&mut report);
        }
        let reads = self.coordinators[index].phase() == "reading";
        if self.injected == InjectedFault::ReachableOnly && restarted && reads {
            self.invent_others(index, &report);
        }
        self.handle_event(index, Event::Report(report));
    }

    fn invent_others(&mut self, index: usize, report: &Report) {
        let Some(status) = report.ranks.values().next().copied() else {
            return;
        };
        for member in (0..self.members.len()).filter(|&m| m != report.member) {
            let mut invented = report.clone();
            invented.member = member;
            invented.incarnation = self.members[member].incarnation();
            invented.stamp.sequence = report.stamp.sequence + 1_000;
            let first = member * self.per_member;
            invented.ranks = (first..first + self.per_member)
                .map(|rank| (Rank::try_from(rank).expect("a small group"), status))
                .collect();
            self.handle_event(index, Event::Report(invented));
        }
    }

    /// Finishes a load at a rank.
    pub(crate) fn finish_load(&mut self, rank: usize) {
        if self.ranks[rank].wanted().is_some() {
            self.ranks[rank].loaded();
        }
    }

    /// Lets a rank try to enter the step; the step runs once all have entered.
    pub(crate) fn enter(&mut self, rank: usize) {
        if self.entered[rank].is_some() {
            return;
        }
        let state = &mut self.ranks[rank];
        let mut entry = state.enter(self.step);
        if self.injected == InjectedFault::UnreleasedSwitch
            && let Stage::Armed(switch) = state.status().stage
            && entry == Entry::Hold
        {
            let _ = state.order(u64::MAX, &Command::Release(switch));
            entry = state.enter(self.step);
        }
        if let Entry::Run(generation) = entry {
            self.entered[rank] = Some(generation);
        }
        self.run_step();
    }

    fn run_step(&mut self) {
        if self.mixed_generations().is_none() && self.entered.iter().all(Option::is_some) {
            self.entered.fill(None);
            self.step += 1;
        }
    }

    /// Returns the generations of a step that ranks entered with different ones.
    pub(crate) fn mixed_generations(&self) -> Option<Vec<Generation>> {
        let generations: Vec<Generation> = self.entered.iter().flatten().copied().collect();
        let mixed = generations.windows(2).any(|pair| pair[0] != pair[1]);
        mixed.then_some(generations)
    }

    /// Replaces a rank by one without weights.
    pub(crate) fn replace_rank(&mut self, rank: usize) {
        self.ranks[rank] = State::blank(self.checks_fence, 0);
        self.entered[rank] = None;
    }

    /// Restarts a member's slot; its ranks live on.
    pub(crate) fn restart_member(&mut self, member: usize) {
        self.incarnation += 1;
        let revision = match self.injected {
            InjectedFault::StaleMember => 1,
            _ => self.revision,
        };
        self.members[member] = Member::new(member, self.incarnation, revision);
    }

    /// Runs on without faults; returns whether the group settles and steps on in one generation.
    pub(crate) fn recovers(&mut self) -> bool {
        const ROUNDS: usize = 2_000;
        const STEPS: Step = 8;
        for coordinator in 0..self.coordinators.len() {
            let revision = self.revision;
            self.handle_event(coordinator, Event::Revision(revision));
        }
        self.coordinators.drain(..self.newest());
        let mut settled_at = None;
        for _ in 0..ROUNDS {
            self.now += Duration::from_millis(20);
            self.handle_event(self.newest(), Event::Tick);
            while !self.orders.is_empty() {
                self.deliver_order(0, false);
            }
            while !self.reports.is_empty() {
                self.deliver_report(0, false);
            }
            (0..self.ranks.len()).for_each(|rank| self.finish_load(rank));
            (0..self.ranks.len()).for_each(|rank| self.enter(rank));
            if self.mixed_generations().is_some() {
                return false;
            }
            if self.coordinators[self.newest()].settled().is_none() {
                settled_at = None;
                continue;
            }
            let since = *settled_at.get_or_insert(self.step);
            if self.step >= since + STEPS {
                return self.is_one_generation();
            }
        }
        false
    }

    fn is_one_generation(&self) -> bool {
        let settled = self.coordinators[self.newest()].settled();
        self.ranks
            .iter()
            .all(|rank| rank.status().current == settled)
    }
}

fn hide_release(report: &mut Report) {
    for status in report.ranks.values_mut() {
        if let Stage::Released(switch) = status.stage {
            status.stage = Stage::Armed(switch);
        }
    }
}
