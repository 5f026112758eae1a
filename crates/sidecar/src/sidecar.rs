//! One sidecar: reads its rank, and leads or follows.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use auburnline_core::id::Step;
use auburnline_core::time::Monotonic;
use auburnline_duty::clock::Clock;
use auburnline_gateway::neighbour::Datagram;
use auburnline_lockstep::change::Order;
use auburnline_lockstep::coordinator::HOLDER;
use auburnline_lockstep::deputy::DEPUTY;
use auburnline_lockstep::deputy::Deputy;
use auburnline_lockstep::message::Ask;
use auburnline_lockstep::message::Command;
use auburnline_lockstep::message::Digest;
use auburnline_lockstep::message::Lead as LeadWord;
use auburnline_lockstep::message::Members;
use auburnline_lockstep::message::Message;
use auburnline_lockstep::message::Show;
use auburnline_lockstep::sight::Epoch;
use auburnline_lockstep::sight::Sight;
use auburnline_lockstep::sight::Switch;
use auburnline_lockstep::sight::Version;
use auburnline_lockstep::told::Send;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::engine::Counts;
use crate::engine::Engine;
use crate::engine::Report;
use crate::lead::ASK_PERIOD;
use crate::lead::FIRST_ASK_PERIOD;
use crate::lead::Lead;
use crate::order::give;
use crate::settings::Settings;

/// Time between two looks at the rank: a change of demand is seen within two to three of them, and each
/// costs about half a millisecond of the instance's processor.
const PERIOD: Duration = Duration::from_millis(100);
/// Least time between two readings of the counts; a little less than between two looks.
const COUNT_PERIOD: Duration = Duration::from_millis(90);
/// Time after which a rank is shown though nothing about it changed; a little less than between two looks.
const SHOW_PERIOD: Duration = Duration::from_millis(180);
/// Time between two looks while an order awaits its effect.
const QUICK_PERIOD: Duration = Duration::from_millis(40);
/// Time for which looks stay quick after an order to switch, hold or release: its effect shows at once.
const QUICK: Duration = Duration::from_millis(200);
/// Time for which looks stay quick after an order to prepare: a plan copies for 0.45 s at most, and the group
/// waits for its last rank to be seen ready.
const QUICK_COPY: Duration = Duration::from_millis(700);
/// Time for which the deputy's looks stay quick after a hold was pledged: until it is over, or its lead is silent for
/// long enough.
const QUICK_PLEDGE: Duration = Duration::from_millis(600);
/// Age at which the word of the one that leads is forgotten.
const LEAD_AGE: Duration = Duration::from_secs(3);
/// Gateways that are told of the group with one word: all of today's fleets, and a bound on the cost of a lead.
const TOLD_AT_ONCE: usize = 64;
/// Largest datagram.
const MAX_BYTES: usize = 60 << 10;

/// The sidecar that leads, as it told.
#[derive(Clone, Copy, Debug)]
struct Leader {
    address: SocketAddr,
    heard: Monotonic,
    wants_layout: bool,
}

/// What a change waits for at one rank; between two slow looks a word is sent only when it differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct State {
    epoch: Epoch,
    version: Version,
    prepared: Option<Version>,
    armed: Option<Switch>,
    held: Option<Step>,
}

impl State {
    fn of(sight: &Sight) -> State {
        State {
            epoch: sight.epoch,
            version: sight.version,
            prepared: sight.prepared,
            armed: sight.armed,
            held: sight.held,
        }
    }
}

/// State of one sidecar.
pub(crate) struct Sidecar<E> {
    settings: Settings,
    engine: E,
    socket: UdpSocket,
    clock: Clock,
    /// Time of day at the clock's start.
    started: Duration,
    lead: Option<Lead>,
    members: Option<Members>,
    asked: Option<Monotonic>,
    leader: Option<Leader>,
    counts: Counts,
    counted: Option<Monotonic>,
    /// When the rank was looked at last.
    looked: Monotonic,
    /// Until when looks are quick.
    quick_until: Monotonic,
    /// What was told last of the own rank, and when.
    shown: Option<(State, Monotonic)>,
    /// When the others were told who leads.
    announced: Monotonic,
    deputy: Deputy,
    /// Who gave the order after which the rank is looked at.
    asked_by: Option<SocketAddr>,
    /// Place in the list of gateways at which the next word to them begins.
    next_told: usize,
    is_reachable: bool,
    /// Group and epoch that the rank showed last.
    group: Option<String>,
    epoch: Option<Epoch>,
}

impl<E: Engine> Sidecar<E> {
    pub(crate) fn new(settings: Settings, engine: E, socket: UdpSocket) -> Sidecar<E> {
        Sidecar {
            settings,
            engine,
            socket,
            clock: Clock::start(),
            started: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
            lead: None,
            members: None,
            asked: None,
            leader: None,
            counts: Counts::default(),
            counted: None,
            looked: Monotonic::ZERO,
            quick_until: Monotonic::ZERO,
            shown: None,
            announced: Monotonic::ZERO,
            deputy: Deputy::default(),
            asked_by: None,
            next_told: 0,
            is_reachable: true,
            group: None,
            epoch: None,
        }
    }

    /// Runs until the process ends.
    pub(crate) async fn run(mut self) {
        let mut bytes = vec![0; MAX_BYTES];
        loop {
            let pause = self.pause();
            tokio::select! {
                () = sleep(pause) => self.look().await,
                received = self.socket.recv_from(&mut bytes) => match received {
                    Ok((length, from)) => self.hear(&bytes[..length], from).await,
                    Err(error) => {
                        let cause = error.to_string();
                        log::debug!(target: "sidecar", cause = cause.as_str(); "no datagram");
                    }
                }
            }
        }
    }

    /// Returns the time until the next look.
    fn pause(&self) -> Duration {
        let now = self.clock.now();
        let period = if now < self.quick_until {
            QUICK_PERIOD
        } else {
            PERIOD
        };
        (self.looked + period).saturating_sub(now)
    }

    /// Looks at the rank, and leads or shows it.
    async fn look(&mut self) {
        self.looked = self.clock.now();
        let report = match self.engine.report().await {
            Ok(report) => report,
            Err(failure) => return self.lost(&failure.to_string()),
        };
        if !self.is_reachable {
            self.is_reachable = true;
            log::info!(target: "engine", epoch = report.sight.epoch; "regained");
        }
        self.note_epoch(&report);
        let choices = self.choices().await;
        let held = self.held().await;
        let show = Show {
            group: report.group,
            sight: report.sight,
            choices,
            held,
        };
        if show.sight.rank == HOLDER {
            self.lead(show).await;
        } else {
            self.lead = None;
            self.show(show).await;
        }
    }

    fn lost(&mut self, cause: &str) {
        if self.is_reachable {
            self.is_reachable = false;
            log::warn!(target: "engine", cause; "lost");
        }
    }

    fn note_epoch(&mut self, report: &Report) {
        let sight = &report.sight;
        if self.epoch != Some(sight.epoch) {
            self.epoch = Some(sight.epoch);
            self.group = Some(report.group.clone());
            let group = report.group.as_str();
            log::info!(target: "engine", group, epoch = sight.epoch, rank = sight.rank, is_open = sight.is_open; "epoch");
        }
    }

    /// Returns the choices since the last look, at the slow pace.
    async fn choices(&mut self) -> Vec<u32> {
        let now = self.clock.now();
        let is_due = self
            .counted
            .is_none_or(|at| now.saturating_sub(at) >= COUNT_PERIOD);
        if !is_due {
            return Vec::new();
        }
        let counts = match self.engine.counts().await {
            Ok(counts) => counts,
            Err(failure) => {
                let cause = failure.to_string();
                log::debug!(target: "engine", cause = cause.as_str(); "no counts");
                return Vec::new();
            }
        };
        self.counted = Some(now);
        let before = std::mem::replace(&mut self.counts, counts);
        self.counts.since(&before)
    }

    /// Returns the experts that the rank holds, if they were asked for.
    async fn held(&self) -> Option<Vec<Vec<u16>>> {
        let is_asked = match &self.lead {
            Some(lead) => lead.wants_layout(),
            None => self.leader.is_some_and(|leader| leader.wants_layout),
        };
        if !is_asked {
            return None;
        }
        let held = self.engine.held().await;
        held.inspect_err(|failure| {
            let cause = failure.to_string();
            log::debug!(target: "engine", cause = cause.as_str(); "no experts");
        })
        .ok()
    }

    async fn show(&mut self, show: Show) {
        let now = self.clock.now();
        let is_fresh = |leader: &Leader| now.saturating_sub(leader.heard) < LEAD_AGE;
        self.see_through(&show.sight, now).await;
        let leader = self.leader.filter(is_fresh).map(|leader| leader.address);
        let Some(address) = self.asked_by.or(leader) else {
            return;
        };
        let state = State::of(&show.sight);
        let is_told = self.shown.is_some_and(|(shown, at)| {
            shown == state && now.saturating_sub(at) < SHOW_PERIOD && show.held.is_none()
        });
        if is_told && show.choices.is_empty() {
            return;
        }
        self.shown = Some((state, now));
        self.tell(&Message::Show(show), address).await;
    }

    /// As the deputy, takes a change forward whose lead fell silent while its group is held.
    async fn see_through(&mut self, own: &Sight, now: Monotonic) {
        self.deputy.see(own);
        let Some(pledge) = self.deputy.due(own, now).cloned() else {
            return;
        };
        self.quick_until = now + QUICK_PLEDGE;
        let holder = self.engine.at(pledge.holder);
        let sight = match holder.report().await {
            Ok(report) => report.sight,
            Err(failure) => {
                let cause = failure.to_string();
                log::warn!(target: "experts", group = pledge.group.as_str(), cause = cause.as_str(); "holder not seen");
                return;
            }
        };
        let orders = self.deputy.orders(&sight);
        let (epoch, step) = (pledge.epoch, pledge.switch.step);
        log::info!(target: "experts", group = pledge.group.as_str(), epoch, step, orders = orders.len(); "standing in");
        for (rank, order) in orders {
            if rank == own.rank {
                give(&self.engine, epoch, order, None).await;
            } else if rank == HOLDER {
                give(&holder, epoch, order, None).await;
            } else if let Some((_, address)) = pledge.sidecars.iter().find(|(of, _)| *of == rank) {
                let command = Command {
                    group: pledge.group.clone(),
                    epoch,
                    order,
                    layout: None,
                };
                self.tell(&Message::Command(command), *address).await;
            }
        }
    }

    async fn lead(&mut self, show: Show) {
        let now = self.clock.now();
        self.ask(now).await;
        let shape = self.members.as_ref().and_then(|members| members.shape);
        let Some(shape) = shape else {
            return;
        };
        let started = self.started;
        let lead = self
            .lead
            .get_or_insert_with(|| Lead::new(show.group.clone(), shape, started, now));
        let word = LeadWord {
            group: show.group.clone(),
            epoch: show.sight.epoch,
            wants_layout: lead.wants_layout(),
        };
        lead.see(show, None, now);
        lead.tell_pulse(now);
        let members = self.members.as_ref();
        let own = self.settings.peers;
        let digest = members.and_then(|members| lead.digest(members, own, now));
        self.announce(&word, now).await;
        self.tell_gateways(digest).await;
        self.step().await;
    }

    /// Asks a gateway who serves the service.
    async fn ask(&mut self, now: Monotonic) {
        let is_known = self.members.as_ref().is_some_and(Members::is_whole);
        let period = if is_known {
            ASK_PERIOD
        } else {
            FIRST_ASK_PERIOD
        };
        let is_due = self.asked.is_none_or(|at| now.saturating_sub(at) >= period);
        if !is_due {
            return;
        }
        self.asked = Some(now);
        let ask = Datagram::Ask(Ask {
            service: self.settings.service.clone(),
        });
        for gateway in self.settings.gateways.clone() {
            self.tell(&ask, gateway).await;
        }
    }

    /// Tells the other sidecars who leads.
    async fn announce(&mut self, word: &LeadWord, now: Monotonic) {
        let Some(members) = &self.members else {
            return;
        };
        if now.saturating_sub(self.announced) < SHOW_PERIOD {
            return;
        }
        self.announced = now;
        let port = self.settings.peers.port();
        let message = Message::Lead(word.clone());
        for upstream in &members.upstreams {
            let address = SocketAddr::new(upstream.ip(), port);
            if address != self.settings.peers {
                self.tell(&message, address).await;
            }
        }
    }

    /// Tells gateways of the group; of very many only some with each word, in turn.
    async fn tell_gateways(&mut self, digest: Option<Digest>) {
        let (Some(digest), Some(members)) = (digest, &self.members) else {
            return;
        };
        let message = Datagram::Group(digest);
        let gateways = &members.gateways;
        let told = gateways.iter().cycle().skip(self.next_told);
        for gateway in told.take(gateways.len().min(TOLD_AT_ONCE)) {
            self.tell(&message, *gateway).await;
        }
        self.next_told = (self.next_told + TOLD_AT_ONCE) % gateways.len().max(1);
    }

    /// Gives the orders that are due.
    async fn step(&mut self) {
        let now = self.clock.now();
        let Some(lead) = &mut self.lead else {
            return;
        };
        let sends = lead.tick(now);
        if let Some(pledge) = lead.pledge(&sends, self.settings.engine)
            && let Some(deputy) = lead.address(DEPUTY)
        {
            self.tell(&Message::Pledge(pledge), deputy).await;
        }
        for send in sends {
            self.hasten(send.order);
            if send.rank == HOLDER {
                let layout = send.layout.as_deref();
                give(&self.engine, send.epoch, send.order, layout).await;
            } else {
                self.pass_on(send).await;
            }
        }
    }

    async fn pass_on(&self, send: Send) {
        let Some(lead) = &self.lead else {
            return;
        };
        let Some(address) = lead.address(send.rank) else {
            return;
        };
        let command = Command {
            group: lead.group().to_owned(),
            epoch: send.epoch,
            order: send.order,
            layout: send.layout.map(|layout| (*layout).clone()),
        };
        self.tell(&Message::Command(command), address).await;
    }

    /// Looks at the rank often until an order's effect must have shown.
    fn hasten(&mut self, order: Order) {
        let time = match order {
            Order::Prepare(_) => QUICK_COPY,
            Order::Hold(_) | Order::Arm(_) | Order::Release(_) => QUICK,
        };
        self.quick_until = self.quick_until.max(self.clock.now() + time);
    }

    async fn hear(&mut self, bytes: &[u8], from: SocketAddr) {
        let message: Message = match postcard::from_bytes(bytes) {
            Ok(message) => message,
            Err(error) => {
                let cause = error.to_string();
                log::debug!(target: "sidecar", cause = cause.as_str(); "message not understood");
                metrics::counter!("auburnline_messages_malformed_total").increment(1);
                return;
            }
        };
        let now = self.clock.now();
        match message {
            Message::Members(members) => {
                if members.service == self.settings.service {
                    self.members = Some(members);
                }
            }
            Message::Lead(word) => {
                if self.group.as_ref() == Some(&word.group) {
                    self.deputy.heard(now);
                    self.leader = Some(Leader {
                        address: from,
                        heard: now,
                        wants_layout: word.wants_layout,
                    });
                }
            }
            Message::Show(show) => {
                if let Some(lead) = &mut self.lead {
                    lead.see(show, Some(from), now);
                    self.step().await;
                } else if self.group.as_ref() == Some(&show.group) {
                    self.deputy.see(&show.sight);
                }
            }
            Message::Command(command) => self.follow(command, from).await,
            Message::Pledge(pledge) => {
                if self.group.as_ref() == Some(&pledge.group) {
                    self.deputy.pledge(pledge, now);
                    self.quick_until = self.quick_until.max(now + QUICK_PLEDGE);
                }
            }
        }
    }

    /// Passes an order of the one that leads or its deputy on, and shows what came of it.
    async fn follow(&mut self, command: Command, from: SocketAddr) {
        let is_ours = self.group.as_ref() == Some(&command.group);
        if !is_ours || self.epoch != Some(command.epoch) {
            return;
        }
        let layout = command.layout.as_ref();
        give(&self.engine, command.epoch, command.order, layout).await;
        self.hasten(command.order);
        self.shown = None;
        self.asked_by = Some(from);
        self.look().await;
        self.asked_by = None;
    }

    async fn tell(&self, message: &impl Serialize, to: SocketAddr) {
        let Ok(bytes) = postcard::to_stdvec(message) else {
            log::error!(target: "sidecar", "a message can't be written");
            return;
        };
        if let Err(error) = self.socket.send_to(&bytes, to).await {
            let cause = error.to_string();
            log::debug!(target: "sidecar", cause = cause.as_str(); "message not sent");
        }
    }
}
