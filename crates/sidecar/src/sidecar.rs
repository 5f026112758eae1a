//! Main loop of a sidecar: it polls its rank, and acts as leader or follower.

mod following;
mod leading;
mod receiving;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use auburnline_core::time::Monotonic;
use auburnline_duty::clock::Clock;
use auburnline_lockstep::change::Order;
use auburnline_lockstep::coordinator::LEADER_RANK;
use auburnline_lockstep::layout::Layout;
use auburnline_lockstep::message::Members;
use auburnline_lockstep::message::RankReport;
use auburnline_lockstep::output::Rotation;
use auburnline_lockstep::query::Schedule;
use auburnline_lockstep::rank::Epoch;
use auburnline_lockstep::rank::State;
use auburnline_lockstep::rank::Version;
use auburnline_lockstep::standby::Standby;
use auburnline_lockstep::tally::Tally;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::engine::Counts;
use crate::engine::Engine;
use crate::engine::Report;
use crate::leader::Leader;
use crate::order::send_order;
use crate::settings::Settings;
use crate::sidecar::following::ChangeState;

/// Time between two polls of the rank. A shift of demand is detected within two to three polls, and each costs about
/// half a millisecond of the instance's processor time.
const POLL_PERIOD: Duration = Duration::from_millis(100);
/// Minimum time between two reads of the expert counts; slightly less than [`POLL_PERIOD`].
pub(crate) const COUNT_PERIOD: Duration = Duration::from_millis(90);
/// Time after which an unchanged rank is reported again, and minimum time between two heartbeats; slightly less than
/// two polls.
const REPORT_PERIOD: Duration = Duration::from_millis(180);
/// Time between two polls while an order's effect is awaited.
const FAST_POLL_PERIOD: Duration = Duration::from_millis(40);
/// Time of fast polling after an order to arm, hold or release, whose effect is visible at once.
const FAST_POLL_TIME: Duration = Duration::from_millis(200);
/// Time of fast polling after an order to prepare. A plan takes at most 0.3 s to copy, and the change waits until the
/// last rank is seen prepared.
const FAST_POLL_TIME_PREPARE: Duration = Duration::from_millis(700);
/// Time after an unanswered order for which the rank counts as unresponsive. An engine that hangs answers some orders in
/// between; orders to it are repeated several times within this time.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(1);
/// Size of the receive buffer; no longer datagram is received whole.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;

/// The leader, as its last heartbeat describes it.
#[derive(Clone, Copy, Debug)]
struct KnownLeader {
    address: SocketAddr,
    heard: Monotonic,
    needs_layout: bool,
    /// Sidecar that aggregates the counts of the own rank; none if they go to the leader.
    aggregator: Option<SocketAddr>,
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
    query_schedule: Schedule,
    known_leader: Option<KnownLeader>,
    counts: Counts,
    counted_at: Option<Monotonic>,
    /// Counts of other ranks, which are sent on with the own ones.
    tally: Tally,
    polled_at: Monotonic,
    fast_poll_until: Monotonic,
    /// State of the own rank as last reported to the leader, and when.
    last_report: Option<(ChangeState, Monotonic)>,
    heartbeat_sent_at: Monotonic,
    standby: Standby,
    /// Maps received with orders to prepare: the one in force, and the next.
    layouts: Vec<(Version, Layout)>,
    /// Receiver of the report that follows an order; none outside of that.
    report_to: Option<SocketAddr>,
    /// Rotation of the gateways that get the digest directly.
    rotation: Rotation,
    is_reachable: bool,
    /// Group and epoch that the rank reported last.
    group: Option<String>,
    epoch: Option<Epoch>,
    /// Start of the rank in Unix milliseconds, as reported last.
    born: Option<u64>,
    /// When the rank last left an order unanswered.
    unanswered_at: Option<Monotonic>,
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
            query_schedule: Schedule::default(),
            known_leader: None,
            counts: Counts::default(),
            counted_at: None,
            tally: Tally::default(),
            polled_at: Monotonic::ZERO,
            fast_poll_until: Monotonic::ZERO,
            last_report: None,
            heartbeat_sent_at: Monotonic::ZERO,
            standby: Standby::default(),
            layouts: Vec::new(),
            report_to: None,
            rotation: Rotation::default(),
            is_reachable: true,
            group: None,
            epoch: None,
            born: None,
            unanswered_at: None,
        }
    }

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
                        log::debug!(target: "sidecar", cause = cause.as_str(); "failed to receive datagram");
                    }
                }
            }
        }
    }

    fn time_to_poll(&self) -> Duration {
        let now = self.clock.now();
        let period = if now < self.fast_poll_until {
            FAST_POLL_PERIOD
        } else {
            POLL_PERIOD
        };
        (self.polled_at + period).saturating_sub(now)
    }

    /// Polls the rank; then acts as leader, or reports the rank to the leader.
    async fn poll(&mut self) {
        self.polled_at = self.clock.now();
        let report = match self.engine.report().await {
            Ok(report) => report,
            Err(failure) => return self.set_unreachable(&failure.to_string()),
        };
        if !self.is_reachable {
            self.is_reachable = true;
            log::info!(target: "engine", epoch = report.state.epoch; "regained");
        }
        self.update_epoch(&report);
        self.update_start(report.born);
        let activations = self.read_activations().await;
        let held = self.read_held().await;
        let rank_report = RankReport {
            born: report.born,
            group: report.group,
            state: State {
                is_unresponsive: self.is_unresponsive(),
                ..report.state
            },
            failure_domain: self.settings.failure_domain.as_str().into(),
            activations,
            held,
        };
        if rank_report.state.rank == LEADER_RANK {
            self.lead(rank_report).await;
        } else {
            self.leader = None;
            self.report(rank_report).await;
        }
    }

    fn set_unreachable(&mut self, cause: &str) {
        if self.is_reachable {
            self.is_reachable = false;
            log::warn!(target: "engine", cause; "lost");
        }
    }

    fn update_epoch(&mut self, report: &Report) {
        let state = &report.state;
        if self.epoch != Some(state.epoch) {
            self.epoch = Some(state.epoch);
            self.group = Some(report.group.clone());
            let group = report.group.as_str();
            log::info!(target: "engine", group, epoch = state.epoch, rank = state.rank, is_open = state.is_open; "epoch");
        }
    }

    /// Records the rank's start; the counts of one that restarted begin at zero.
    fn update_start(&mut self, born: Option<u64>) {
        if self
            .born
            .zip(born)
            .is_some_and(|(known, reported)| known != reported)
        {
            log::info!(target: "engine", born:?; "engine restarted");
            self.counts = Counts::default();
        }
        self.born = born.or(self.born);
    }

    /// Returns the expert activations since the last read, including those aggregated for other ranks; empty while
    /// [`COUNT_PERIOD`] has not passed.
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
                log::debug!(target: "engine", cause = cause.as_str(); "failed to read expert counts");
                return Vec::new();
            }
        };
        self.counted_at = Some(now);
        let before = std::mem::replace(&mut self.counts, counts);
        let mut activations = self.counts.since(&before);
        self.tally.add_to(&mut activations, self.epoch);
        // Zeros of an idle group would only use bandwidth.
        if activations.iter().all(|count| *count == 0) {
            activations.clear();
        }
        activations
    }

    /// Returns the experts that the rank holds, if the leader wants them.
    async fn read_held(&self) -> Option<Vec<Vec<u16>>> {
        let is_wanted = match &self.leader {
            Some(leader) => leader.needs_layout(),
            None => self.known_leader.is_some_and(|leader| leader.needs_layout),
        };
        if !is_wanted {
            return None;
        }
        let held = self.engine.held().await;
        held.inspect_err(|failure| {
            let cause = failure.to_string();
            log::debug!(target: "engine", cause = cause.as_str(); "failed to read held experts");
        })
        .ok()
    }

    /// Sends an order to the own rank's engine.
    async fn order(&mut self, epoch: Epoch, order: Order, layout: Option<&Layout>) {
        let reply = send_order(&self.engine, epoch, order, layout).await;
        if reply.is_some() {
            return;
        }
        if !self.is_unresponsive() {
            log::warn!(target: "engine", epoch, order:?; "leaves orders unanswered");
            metrics::counter!("auburnline_unresponsive_total").increment(1);
        }
        self.unanswered_at = Some(self.clock.now());
    }

    /// Returns whether the rank left an order unanswered of late.
    fn is_unresponsive(&self) -> bool {
        let now = self.clock.now();
        self.unanswered_at
            .is_some_and(|at| now.saturating_sub(at) < UNRESPONSIVE_TIME)
    }

    /// Polls the rank fast until the effect of `order` should be visible.
    fn poll_fast_after(&mut self, order: Order) {
        let time = match order {
            Order::Prepare(_) => FAST_POLL_TIME_PREPARE,
            Order::Hold(_) | Order::Arm(_) | Order::Release(_) => FAST_POLL_TIME,
        };
        self.fast_poll_until = self.fast_poll_until.max(self.clock.now() + time);
    }
}
