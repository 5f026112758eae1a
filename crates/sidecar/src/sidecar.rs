//! One sidecar: reads its rank, and leads or follows.

mod following;
mod leading;
mod receiving;

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
use crate::leader::Leader;
use crate::settings::Settings;
use crate::sidecar::following::State;

/// Time between two looks at the rank: a change of demand is seen within two to three of them, and each
/// costs about half a millisecond of the instance's processor.
const POLL_PERIOD: Duration = Duration::from_millis(100);
/// Least time between two readings of the counts; a little less than between two looks.
pub(crate) const COUNT_PERIOD: Duration = Duration::from_millis(90);
/// Time after which a rank is shown though nothing about it changed; a little less than between two looks.
const REPORT_PERIOD: Duration = Duration::from_millis(180);
/// Time between two looks while an order awaits its effect.
const FAST_POLL_PERIOD: Duration = Duration::from_millis(40);
/// Time for which looks stay quick after an order to switch, hold or release: its effect shows at once.
const FAST_POLL_TIME: Duration = Duration::from_millis(200);
/// Time for which looks stay quick after an order to prepare: a plan copies for 0.3 s at most, and the group
/// waits for its last rank to be seen ready.
const FAST_POLL_TIME_PREPARE: Duration = Duration::from_millis(700);
/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;

/// The sidecar that leads, as it told.
#[derive(Clone, Copy, Debug)]
struct KnownLeader {
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
    leader: Option<Leader>,
    members: Option<Members>,
    asking: Asking,
    known_leader: Option<KnownLeader>,
    counts: Counts,
    counted_at: Option<Monotonic>,
    /// Counts of other ranks that are to go on with the own ones.
    tally: Tally,
    /// When the rank was looked at last.
    polled_at: Monotonic,
    /// Until when looks are quick.
    fast_poll_until: Monotonic,
    /// What was told last of the own rank, and when.
    last_report: Option<(State, Monotonic)>,
    /// When the others were told who leads.
    heartbeat_sent_at: Monotonic,
    deputy: Deputy,
    /// Maps that orders to prepare brought: the one in force, and the next.
    layouts: Vec<(Version, Layout)>,
    /// Who gave the order after which the rank is looked at.
    report_to: Option<SocketAddr>,
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
            leader: None,
            members: None,
            asking: Asking::default(),
            known_leader: None,
            counts: Counts::default(),
            counted_at: None,
            tally: Tally::default(),
            polled_at: Monotonic::ZERO,
            fast_poll_until: Monotonic::ZERO,
            last_report: None,
            heartbeat_sent_at: Monotonic::ZERO,
            deputy: Deputy::default(),
            layouts: Vec::new(),
            report_to: None,
            turn: Turn::default(),
            is_reachable: true,
            group: None,
            epoch: None,
            born: None,
        }
    }

    /// Runs until the process ends.
    pub(crate) async fn run(mut self) {
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let wait = self.time_to_poll();
            tokio::select! {
                () = sleep(wait) => self.poll().await,
                received = self.socket.recv_from(&mut bytes) => match received {
                    Ok((length, from)) => {
                        self.receive(&bytes[..length], from).await;
                        self.receive_queued(&mut bytes).await;
                        self.send_orders().await;
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
    fn time_to_poll(&self) -> Duration {
        let now = self.clock.now();
        let period = if now < self.fast_poll_until {
            FAST_POLL_PERIOD
        } else {
            POLL_PERIOD
        };
        (self.polled_at + period).saturating_sub(now)
    }

    /// Looks at the rank, and leads or shows it.
    async fn poll(&mut self) {
        self.polled_at = self.clock.now();
        let report = match self.engine.report().await {
            Ok(report) => report,
            Err(failure) => return self.set_unreachable(&failure.to_string()),
        };
        if !self.is_reachable {
            self.is_reachable = true;
            log::info!(target: "engine", epoch = report.sight.epoch; "regained");
        }
        self.update_epoch(&report);
        self.update_start(report.born);
        let choices = self.read_activations().await;
        let held = self.read_held().await;
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
            self.leader = None;
            self.report(show).await;
        }
    }

    fn set_unreachable(&mut self, cause: &str) {
        if self.is_reachable {
            self.is_reachable = false;
            log::warn!(target: "engine", cause; "lost");
        }
    }

    fn update_epoch(&mut self, report: &Report) {
        let sight = &report.sight;
        if self.epoch != Some(sight.epoch) {
            self.epoch = Some(sight.epoch);
            self.group = Some(report.group.clone());
            let group = report.group.as_str();
            log::info!(target: "engine", group, epoch = sight.epoch, rank = sight.rank, is_open = sight.is_open; "epoch");
        }
    }

    /// Takes when the rank started; one that started anew counts from nothing.
    fn update_start(&mut self, born: Option<u64>) {
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
    async fn read_activations(&mut self) -> Vec<u32> {
        let now = self.clock.now();
        let is_due = self
            .counted_at
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
        self.counted_at = Some(now);
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
    async fn read_held(&self) -> Option<Vec<Vec<u16>>> {
        let is_wanted = match &self.leader {
            Some(leader) => leader.wants_layout(),
            None => self.known_leader.is_some_and(|leader| leader.wants_layout),
        };
        if !is_wanted {
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
    fn poll_fast_after(&mut self, order: Order) {
        let time = match order {
            Order::Prepare(_) => FAST_POLL_TIME_PREPARE,
            Order::Hold(_) | Order::Arm(_) | Order::Release(_) => FAST_POLL_TIME,
        };
        self.fast_poll_until = self.fast_poll_until.max(self.clock.now() + time);
    }
}
