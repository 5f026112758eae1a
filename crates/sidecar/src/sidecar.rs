//! One sidecar: reads its rank, and leads or follows.

mod following;
mod hearing;
mod leading;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use auburnline_core::time::Monotonic;
use auburnline_duty::clock::Clock;
use auburnline_lockstep::asking::Asking;
use auburnline_lockstep::change::Order;
use auburnline_lockstep::coordinator::LEADER;
use auburnline_lockstep::deputy::Deputy;
use auburnline_lockstep::layout::Layout;
use auburnline_lockstep::message::Members;
use auburnline_lockstep::message::Show;
use auburnline_lockstep::sight::Epoch;
use auburnline_lockstep::sight::Version;
use auburnline_lockstep::tally::Tally;
use auburnline_lockstep::told::Turn;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::engine::Counts;
use crate::engine::Engine;
use crate::engine::Report;
use crate::lead::Lead;
use crate::settings::Settings;
use crate::sidecar::following::State;

/// Time between two looks at the rank: a change of demand is seen within two to three of them, and each
/// costs about half a millisecond of the instance's processor.
const PERIOD: Duration = Duration::from_millis(100);
/// Least time between two readings of the counts; a little less than between two looks.
pub(crate) const COUNT_PERIOD: Duration = Duration::from_millis(90);
/// Time after which a rank is shown though nothing about it changed; a little less than between two looks.
const SHOW_PERIOD: Duration = Duration::from_millis(180);
/// Time between two looks while an order awaits its effect.
const QUICK_PERIOD: Duration = Duration::from_millis(40);
/// Time for which looks stay quick after an order to switch, hold or release: its effect shows at once.
const QUICK: Duration = Duration::from_millis(200);
/// Time for which looks stay quick after an order to prepare: a plan copies for 0.3 s at most, and the group
/// waits for its last rank to be seen ready.
const QUICK_COPY: Duration = Duration::from_millis(700);
/// Largest datagram.
const MAX_BYTES: usize = 60 << 10;

/// The sidecar that leads, as it told.
#[derive(Clone, Copy, Debug)]
struct Leader {
    address: SocketAddr,
    heard: Monotonic,
    wants_layout: bool,
    /// Who collects the counts of the own rank; none if that is the one that leads.
    collector: Option<SocketAddr>,
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
    asking: Asking,
    leader: Option<Leader>,
    counts: Counts,
    counted: Option<Monotonic>,
    /// Counts of other ranks that are to go on with the own ones.
    tally: Tally,
    /// When the rank was looked at last.
    looked: Monotonic,
    /// Until when looks are quick.
    quick_until: Monotonic,
    /// What was told last of the own rank, and when.
    shown: Option<(State, Monotonic)>,
    /// When the others were told who leads.
    announced: Monotonic,
    deputy: Deputy,
    /// Maps that orders to prepare brought: the one in force, and the next.
    layouts: Vec<(Version, Layout)>,
    /// Who gave the order after which the rank is looked at.
    asked_by: Option<SocketAddr>,
    /// Gateways whose turn it is to be told of the group.
    turn: Turn,
    is_reachable: bool,
    /// Group and epoch that the rank showed last.
    group: Option<String>,
    epoch: Option<Epoch>,
    /// Unix milliseconds of the rank's start, as it told last.
    born: Option<u64>,
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
            asking: Asking::default(),
            leader: None,
            counts: Counts::default(),
            counted: None,
            tally: Tally::default(),
            looked: Monotonic::ZERO,
            quick_until: Monotonic::ZERO,
            shown: None,
            announced: Monotonic::ZERO,
            deputy: Deputy::default(),
            layouts: Vec::new(),
            asked_by: None,
            turn: Turn::default(),
            is_reachable: true,
            group: None,
            epoch: None,
            born: None,
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
                    Ok((length, from)) => {
                        self.hear(&bytes[..length], from).await;
                        self.drain(&mut bytes).await;
                        self.step().await;
                    }
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
        self.note_start(report.born);
        let choices = self.choices().await;
        let held = self.held().await;
        let show = Show {
            born: report.born,
            group: report.group,
            sight: report.sight,
            failure_domain: self.settings.failure_domain.as_str().into(),
            choices,
            held,
        };
        if show.sight.rank == LEADER {
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

    /// Takes when the rank started; one that started anew counts from nothing.
    fn note_start(&mut self, born: Option<u64>) {
        if self
            .born
            .zip(born)
            .is_some_and(|(known, told)| known != told)
        {
            log::info!(target: "engine", born:?; "started anew");
            self.counts = Counts::default();
        }
        self.born = born.or(self.born);
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
        let mut choices = self.counts.since(&before);
        self.tally.add_to(&mut choices, self.epoch);
        // An idle group would fill links with zeros.
        if choices.iter().all(|chosen| *chosen == 0) {
            choices.clear();
        }
        choices
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

    /// Looks at the rank often until an order's effect must have shown.
    fn hasten(&mut self, order: Order) {
        let time = match order {
            Order::Prepare(_) => QUICK_COPY,
            Order::Hold(_) | Order::Arm(_) | Order::Release(_) => QUICK,
        };
        self.quick_until = self.quick_until.max(self.clock.now() + time);
    }
}
