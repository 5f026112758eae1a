//! The group's expert map: this slot's part in its change, and at rank 0 the choice of it.
//!
//! Every slot of a group is a member: it passes orders on to the ranks of its own instance and
//! reports. The slot beside rank 0 also coordinates, and plans from the counts that the engine
//! reports. A coordinator starts once its ranks have shown the map that they use; a group of which no
//! rank has any map is left alone.

mod lead;

use std::collections::BTreeMap;
use std::sync::Arc;

use auburnline_configuration::checked::Checked;
use auburnline_core::id::InstanceId;
use auburnline_core::id::Rank;
use auburnline_core::published::Serves;
use auburnline_core::time::Monotonic;
use auburnline_engine::ExpertCounts;
use auburnline_experts::coordinator;
use auburnline_experts::coordinator::Action;
use auburnline_experts::coordinator::Coordinator;
use auburnline_experts::coordinator::Event;
use auburnline_experts::fence;
use auburnline_experts::member::Member;
use auburnline_experts::order::Command;
use auburnline_experts::order::Order;
use auburnline_experts::order::Report;
use auburnline_peer::node::SessionId;
use auburnline_peer::wire::Control;
use auburnline_peer::wire::Frame;
use auburnline_peer::wire::Topic;
use auburnline_rebalance::Config;
use auburnline_rebalance::Planner;
use auburnline_rebalance::counts::Shape;
use auburnline_rebalance::decision::Choice;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::state::State;
use crate::state::experts::lead::Lead;
use crate::upstream;
use crate::upstream::Ranks;

/// Reports of the engine between two decisions on the map.
const REPORTS_PER_DECISION: u64 = 2;
/// Orders that may be at the ranks at once; more are a defect of the coordinator.
const MAX_PENDING: usize = 256;

/// Message between the slots of a group.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Message {
    Order(Order),
    Report(Report),
}

/// Where the report on an order goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asker {
    /// This slot's own coordinator.
    Own,
    /// A coordinator behind a session.
    Peer(SessionId),
}

/// This slot's part in its group.
pub(crate) struct Experts {
    instances: Vec<InstanceId>,
    ranks: Vec<Rank>,
    member: Member,
    pending: BTreeMap<u64, (Order, Asker)>,
    tokens: u64,
    lead: Option<Lead>,
    /// Ask of the ranks' maps by which a coordinator starts.
    opening: Option<u64>,
    polled: Monotonic,
}

impl Experts {
    /// Returns the generation that all ranks use, when no change is under way.
    pub(crate) fn generation(&self) -> Option<u64> {
        self.lead.as_ref()?.coordinator.settled_generation()
    }

    fn token(&mut self) -> u64 {
        self.tokens += 1;
        self.tokens
    }

    /// Returns the ranks of each member, in published order.
    fn members(&self) -> Vec<Vec<Rank>> {
        let each = u16::try_from(self.ranks.len()).unwrap_or(1);
        let count = u16::try_from(self.instances.len()).unwrap_or(u16::MAX);
        (0..count)
            .map(|index| (index * each..(index + 1) * each).collect())
            .collect()
    }
}

impl State {
    /// Takes this slot's place in its group from a configuration.
    pub(crate) fn place(&mut self, checked: &Checked) {
        let me = &self.settings.instance;
        let group = checked.group_of_instance(me);
        let pool = group.and_then(|group| checked.pool(checked.pool_of_group(group)?));
        let drafts = pool.is_some_and(|pool| pool.serves == Serves::Drafts);
        let Some(published) = group
            .and_then(|group| checked.group(group))
            .filter(|_| drafts)
        else {
            self.experts = None;
            return;
        };
        let revision = checked.revision();
        if let Some(experts) = &mut self.experts
            && experts.instances == published.instances
        {
            let now = self.clock.now();
            if let Some(lead) = &mut experts.lead {
                let actions = lead.coordinator.handle(Event::Revision(revision), now);
                self.coordinate(actions);
            }
            return;
        }
        let Some(index) = published.instances.iter().position(|name| name == me) else {
            return;
        };
        let each = published.ranks_per_instance;
        let first = u16::try_from(index)
            .unwrap_or(u16::MAX)
            .saturating_mul(each);
        self.experts = Some(Experts {
            instances: published.instances.clone(),
            ranks: (first..first.saturating_add(each)).collect(),
            member: Member::new(index, self.incarnation, revision),
            pending: BTreeMap::new(),
            tokens: 0,
            lead: None,
            opening: None,
            polled: self.clock.now(),
        });
        if index == 0 {
            self.open();
        }
    }

    /// Asks the own ranks for the map that they use.
    fn open(&mut self) {
        let base = fence::base(self.revision());
        let Some(experts) = &mut self.experts else {
            return;
        };
        let token = experts.token();
        experts.opening = Some(token);
        let order = upstream::Order::Ranks {
            token,
            fence: base,
            ranks: experts.ranks.clone(),
            command: Box::new(Command::Read),
        };
        let _ = self.ways.upstream.push(order);
    }

    /// Takes a message of another slot of the group.
    pub(crate) fn experts_message(&mut self, session: SessionId, bytes: &[u8]) {
        match serde_json::from_slice(bytes) {
            Ok(Message::Order(order)) => self.order(order, Asker::Peer(session)),
            Ok(Message::Report(report)) => self.coordinator_event(Event::Report(report)),
            Err(error) => log::warn!(target: "slot", error:% = error; "malformed order"),
        }
    }

    /// Passes an order on to the own ranks, unless it is an old one.
    fn order(&mut self, order: Order, asker: Asker) {
        let Some(experts) = &mut self.experts else {
            return;
        };
        if let Err(refusal) = experts.member.accept(&order) {
            let report = experts
                .member
                .report(&order, Some(refusal), BTreeMap::new(), Vec::new());
            return self.answer_order(asker, report);
        }
        if experts.pending.len() >= MAX_PENDING {
            return;
        }
        let token = experts.token();
        let passed = upstream::Order::Ranks {
            token,
            fence: order.stamp.fence,
            ranks: experts.ranks.clone(),
            command: Box::new(order.command.clone()),
        };
        experts.pending.insert(token, (order, asker));
        let _ = self.ways.upstream.push(passed);
    }

    /// Takes what the own ranks made of an order.
    pub(crate) fn ranks(&mut self, ranks: Ranks) {
        let Some(experts) = &mut self.experts else {
            return;
        };
        if experts.opening == Some(ranks.token) {
            experts.opening = None;
            return self.lead(&ranks);
        }
        let Some((order, asker)) = experts.pending.remove(&ranks.token) else {
            return;
        };
        let read = order.command == Command::Read;
        let maps = if read { ranks.maps } else { Vec::new() };
        let report = experts
            .member
            .report(&order, ranks.refusal, ranks.statuses, maps);
        self.answer_order(asker, report);
    }

    fn answer_order(&mut self, asker: Asker, report: Report) {
        match asker {
            Asker::Own => self.coordinator_event(Event::Report(report)),
            Asker::Peer(session) => self.send(session, frame(&Message::Report(report))),
        }
    }

    /// Starts to coordinate, once the ranks have shown a map.
    fn lead(&mut self, ranks: &Ranks) {
        let now = self.clock.now();
        let revision = self.revision();
        let incarnation = self.incarnation;
        let Some(experts) = &mut self.experts else {
            return;
        };
        let Some(map) = ranks.maps.first().cloned() else {
            return;
        };
        let shape = Shape {
            layers: map.layers.len(),
            experts: map.experts,
            ranks: map.ranks,
        };
        let settings = coordinator::Settings::builder().build();
        let members = experts.members();
        let mut coordinator =
            Coordinator::new(members, incarnation, revision, Arc::clone(&map), settings);
        let actions = coordinator.handle(Event::Tick, now);
        experts.lead = Some(Lead {
            coordinator,
            planner: Planner::new(Config::default(), shape),
            maps: vec![map],
            last: None,
            reports: 0,
        });
        self.coordinate(actions);
    }

    fn coordinator_event(&mut self, event: Event) {
        let now = self.clock.now();
        let lead = self
            .experts
            .as_mut()
            .and_then(|experts| experts.lead.as_mut());
        let Some(lead) = lead else {
            return;
        };
        if let Event::Report(report) = &event {
            for map in &report.maps {
                lead.learn(map);
            }
        }
        let actions = lead.coordinator.handle(event, now);
        self.coordinate(actions);
    }

    /// Does what the coordinator wants done.
    fn coordinate(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(order) => self.send_order(order),
                Action::Log(decision) => {
                    let group = self.group_name();
                    log::info!(target: "decision", group, detail:? = decision; "map change");
                }
            }
        }
    }

    fn send_order(&mut self, order: Order) {
        let Some(experts) = &self.experts else {
            return;
        };
        let Some(instance) = experts.instances.get(order.member) else {
            return;
        };
        if *instance == self.settings.instance {
            return self.order(order, Asker::Own);
        }
        if let Some(link) = self.fleet.links().to(instance) {
            self.send(link.session, frame(&Message::Order(order)));
        }
    }

    fn group_name(&self) -> String {
        let checked = self.exchange.in_force();
        let group = checked.and_then(|it| it.group_of_instance(&self.settings.instance));
        group.map_or_else(String::new, ToString::to_string)
    }

    /// Lets time pass for the coordinator, and asks for counts when they are due.
    pub(crate) fn tick_experts(&mut self, now: Monotonic) {
        let period = self.settings.timing.report();
        let Some(experts) = &mut self.experts else {
            return;
        };
        let leads = experts.instances.first() == Some(&self.settings.instance);
        if !leads {
            return;
        }
        let due = now >= experts.polled + period;
        if due {
            experts.polled = now;
        }
        if experts.lead.is_none() {
            if due {
                self.open();
            }
            return;
        }
        if due {
            let after = experts.lead.as_ref().and_then(|lead| lead.last.as_ref());
            let after = after.map_or(0, |(step, ..)| *step);
            let _ = self.ways.upstream.push(upstream::Order::Counts(after));
        }
        self.coordinator_event(Event::Tick);
    }

    /// Takes the counts that the engine reports, and now and then decides on the map.
    pub(crate) fn counts(&mut self, counts: &ExpertCounts) {
        let now = self.clock.now();
        let Some(checked) = self.exchange.in_force().cloned() else {
            return;
        };
        let group = self.group_name();
        let lead = self
            .experts
            .as_mut()
            .and_then(|experts| experts.lead.as_mut());
        let Some(lead) = lead else {
            return;
        };
        lead.observe(now, counts);
        if lead.reports == 0 || !lead.reports.is_multiple_of(REPORTS_PER_DECISION) {
            return;
        }
        let Some(map) = lead.map() else {
            return;
        };
        let decision = lead.planner.decide(now, &map, &checked.preset().rebalance);
        let mut next = match &decision.choice {
            Choice::Change(next) => (**next).clone(),
            Choice::Stay => {
                log::debug!(target: "decision", group, detail:% = decision; "map");
                return;
            }
        };
        log::info!(target: "decision", group, detail:% = decision; "map");
        next.generation = next.generation.max(lead.coordinator.next_generation());
        let next = Arc::new(next);
        lead.learn(&next);
        self.coordinator_event(Event::Start(next));
    }
}

fn frame(message: &Message) -> Frame {
    let bytes = serde_json::to_vec(message).unwrap_or_default();
    Frame::Control(Control {
        topic: Topic::Experts,
        bytes: Bytes::from(bytes),
    })
}
