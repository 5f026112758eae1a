//! Simulated group with its members, ranks and messages; the tests trigger every event.
//!
//! Messages in flight are unordered: they may be delivered in any order, late, more than once, or
//! never. The messages of a dead coordinator stay in flight. At most one incarnation of a member, and
//! of the coordinator on one instance, is alive at a time, which models the exclusive listening
//! socket.

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

/// Fault that a test injects deliberately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum InjectedFault {
    None,
    /// An armed rank enters the switch step without a release.
    UnreleasedSwitch,
    /// Members forward every order, also stale ones.
    NoFence,
    /// Every coordinator but the first sees a released rank as an armed one.
    AbortAfterRelease,
    /// Every coordinator but the first assesses the group by the first member that answers.
    ReachableOnly,
    /// A restarted member has the first revision in force.
    StaleMember,
}

/// Size of a group, and how it is simulated. `ranks` is the number for each member.
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
    /// Whether weights are loaded as soon as an order asks for it.
    pub(crate) loads_at_once: bool,
    /// Ranks of each member.
    pub(crate) per_member: usize,
    pub(crate) coordinators: Vec<Coordinator>,
    pub(crate) members: Vec<Member>,
    pub(crate) ranks: Vec<State>,
    /// Generation with which each rank has entered the current step.
    pub(crate) entered: Vec<Option<Generation>>,
    pub(crate) step: Step,
    pub(crate) orders: Vec<Order>,
    /// Reports in flight, with the coordinator that each is sent to.
    pub(crate) reports: Vec<(Incarnation, Report)>,
    pub(crate) revision: Revision,
    /// Last incarnation assigned.
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

    /// Starts a coordinator in addition to those that are alive.
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

    /// Publishes rank 0 on another instance and starts a coordinator there; the old coordinator stays
    /// alive.
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

    /// Delivers an order, which stays in flight for another delivery if `duplicate`.
    pub(crate) fn deliver_order(&mut self, at: usize, duplicate: bool) {
        let order = if duplicate {
            self.orders[at].clone()
        } else {
            self.orders.swap_remove(at)
        };
        let report = self.execute(&order);
        self.reports.push((order.stamp.sender, report));
    }

    fn execute(&mut self, order: &Order) -> Report {
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
            if self.loads_at_once && state.map_to_load().is_some() {
                state.finish_loading();
            }
            let index = Rank::try_from(rank).expect("a small group");
            statuses.insert(index, state.status());
            if order.command == Command::Read {
                maps.extend(state.maps().cloned());
            }
        }
        member.report(order, refusal, statuses, maps)
    }

    pub(crate) fn deliver_report(&mut self, at: usize, duplicate: bool) {
        let (sender, mut report) = if duplicate {
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
        let is_reading = self.coordinators[index].phase() == "reading";
        if self.injected == InjectedFault::ReachableOnly && restarted && is_reading {
            self.forge_reports(index, &report);
        }
        self.handle_event(index, Event::Report(report));
    }

    /// Reports the first member's status for all other members too.
    fn forge_reports(&mut self, index: usize, report: &Report) {
        let Some(status) = report.ranks.values().next().copied() else {
            return;
        };
        for member in (0..self.members.len()).filter(|&m| m != report.member) {
            let mut forged = report.clone();
            forged.member = member;
            forged.incarnation = self.members[member].incarnation();
            forged.stamp.sequence = report.stamp.sequence + 1_000;
            let first = member * self.per_member;
            forged.ranks = (first..first + self.per_member)
                .map(|rank| (Rank::try_from(rank).expect("a small group"), status))
                .collect();
            self.handle_event(index, Event::Report(forged));
        }
    }

    /// Finishes loading at a rank, if it is loading.
    pub(crate) fn finish_load(&mut self, rank: usize) {
        if self.ranks[rank].map_to_load().is_some() {
            self.ranks[rank].finish_loading();
        }
    }

    /// Makes a rank try to enter the step; the step runs once all ranks have entered.
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

    /// Returns the generations of the current step if the ranks entered it with different ones.
    pub(crate) fn mixed_generations(&self) -> Option<Vec<Generation>> {
        let generations: Vec<Generation> = self.entered.iter().flatten().copied().collect();
        let mixed = generations.windows(2).any(|pair| pair[0] != pair[1]);
        mixed.then_some(generations)
    }

    /// Replaces a rank with one that has no weights.
    pub(crate) fn replace_rank(&mut self, rank: usize) {
        self.ranks[rank] = State::without_map(self.checks_fence, 0);
        self.entered[rank] = None;
    }

    /// Restarts a member's slot; its ranks keep running.
    pub(crate) fn restart_member(&mut self, member: usize) {
        self.incarnation += 1;
        let revision = match self.injected {
            InjectedFault::StaleMember => 1,
            _ => self.revision,
        };
        self.members[member] = Member::new(member, self.incarnation, revision);
    }

    /// Runs on without faults, with the newest coordinator only. Returns whether the group settles and
    /// then runs steps in one generation.
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
            if self.coordinators[self.newest()]
                .settled_generation()
                .is_none()
            {
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
        let settled = self.coordinators[self.newest()].settled_generation();
        self.ranks
            .iter()
            .all(|rank| rank.status().current == settled)
    }
}

/// Changes each released status to an armed one.
fn hide_release(report: &mut Report) {
    for status in report.ranks.values_mut() {
        if let Stage::Released(switch) = status.stage {
            status.stage = Stage::Armed(switch);
        }
    }
}
