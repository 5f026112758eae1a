//! State shared by all tasks of a gateway.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::cell::RefMut;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_duty::memory::Limit;
use auburnline_gateway::Gateway;
use auburnline_gateway::quarantine::StartTag;
use auburnline_gateway::route::ServiceId;
use auburnline_gateway::spread::Revision;
use auburnline_gateway::upstream;
use auburnline_gateway::upstream::Upstream;
use auburnline_gateway::upstream::UpstreamId;
use auburnline_http::Client;
use auburnline_http::Timeouts;
use auburnline_quota::home::Permit;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::crash;
use crate::dialect::Dialect;
use crate::memory::Pool;
use crate::room::Room;
use crate::shutdown::Schedule;
use crate::source::log_changes;
use crate::suspect::Attempt;
use crate::suspect::Suspects;
use crate::telemetry::millis;

/// Connect timeout for upstreams: many times a round trip between failure domains, and short relative to
/// callers' latency targets, so that another upstream can still answer in time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Upper bound for waits within an exchange that the request's own deadline does not end earlier.
const MAX_EXCHANGE: Duration = Duration::from_mins(1);

/// Maximum size of a message to another process: enough for a configuration of some hundred routes, and within one UDP datagram.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 60 << 10;

/// Stage of a gateway's life, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It serves.
    Serving,
    /// It shuts down, and serves the requests of callers that do not know it yet.
    Leaving,
    /// It refuses new requests.
    Refusing,
    /// It closes connections that are idle.
    Closing,
    /// It is about to end, and answers the requests that have no answer yet.
    Ending,
}

/// State of one gateway process.
pub(crate) struct Shared {
    clock: Clock,
    gateway: RefCell<Gateway>,
    pub(crate) dialect: Rc<dyn Dialect>,
    clients: RefCell<HashMap<UpstreamId, Client>>,
    capacity_freed: RefCell<HashMap<ServiceId, Rc<Notify>>>,
    phase: watch::Sender<Phase>,
    /// Times of its shutdown; `None` before that.
    schedule: Cell<Option<Schedule>>,
    /// Places for callers' connections.
    pub(crate) room: Rc<Room>,
    /// Attempts that may still crash their upstreams.
    pub(crate) suspects: RefCell<Suspects>,
    /// Wakes the probes of upstreams that may have crashed.
    pub(crate) probe_scheduled: Notify,
    /// Upstreams at which a question waits.
    pub(crate) probed: RefCell<BTreeSet<StartTag>>,
    /// Wakes retries that wait for the answer to a question, or for its absence.
    pub(crate) probe_ended: Notify,
    /// Memory that the process may have.
    pub(crate) memory: Limit,
    /// Memory for the answers that are being received or passed on.
    pub(crate) answers: Pool,
    /// Memory for the bodies of requests that are being received.
    pub(crate) bodies: Pool,
    /// Number of gateways by which the retry budget was last divided; `None` while it is unknown.
    pub(crate) budget_members: Cell<Option<usize>>,
    /// Wakes the source when there may be something to read.
    pub(crate) source_wakeup: Notify,
    /// Wakes the source when another gateway has passed the published state on.
    pub(crate) transferred: Notify,
    /// Wakes requests in flight when a rank has become a straggler.
    pub(crate) straggler_reported: Notify,
    /// Wakes requests held until this gateway can serve.
    pub(crate) can_serve_changed: Notify,
    /// Requests that wait for a reply from a limit's home, by the number of the [`Request`](auburnline_quota::home::Request).
    permits: RefCell<HashMap<u64, oneshot::Sender<Permit>>>,
    socket: OnceCell<Rc<UdpSocket>>,
}

impl Shared {
    pub(crate) fn new(
        clock: Clock,
        gateway: Gateway,
        dialect: Rc<dyn Dialect>,
        room: Rc<Room>,
        memory: Limit,
    ) -> Shared {
        Shared {
            clock,
            gateway: RefCell::new(gateway),
            dialect,
            clients: RefCell::default(),
            capacity_freed: RefCell::default(),
            phase: watch::Sender::new(Phase::Serving),
            schedule: Cell::new(None),
            room,
            suspects: RefCell::default(),
            probe_scheduled: Notify::new(),
            probed: RefCell::default(),
            probe_ended: Notify::new(),
            memory,
            answers: Pool::new("answer", memory),
            bodies: Pool::new("body", memory),
            budget_members: Cell::new(None),
            source_wakeup: Notify::new(),
            transferred: Notify::new(),
            straggler_reported: Notify::new(),
            can_serve_changed: Notify::new(),
            permits: RefCell::default(),
            socket: OnceCell::new(),
        }
    }

    /// Records that an attempt ended without success, and has its upstream probed.
    pub(crate) fn suspect(&self, attempt: Attempt) {
        self.suspects.borrow_mut().add(attempt);
        self.probe_scheduled.notify_one();
    }

    /// Records that an upstream could not be reached, which is probed if attempts there may have crashed it.
    pub(crate) fn doubt(&self, upstream: &Arc<Upstream>) {
        self.suspects.borrow_mut().doubt(upstream, self.now());
        self.probe_scheduled.notify_one();
    }

    /// Sets the socket for messages to other gateways and sidecars; called once.
    pub(crate) fn set_socket(&self, socket: Rc<UdpSocket>) {
        let is_new = self.socket.set(socket).is_ok();
        debug_assert!(is_new, "the socket is set once");
    }

    /// Sends a message to another process. Delivery is best effort: a message that cannot be sent is dropped.
    pub(crate) fn send(&self, message: &impl Serialize, to: SocketAddr) {
        if let Some(packet) = encode(std::slice::from_ref(message)) {
            self.send_packet(&packet, to);
        }
    }

    /// Sends messages in one packet to each of several processes.
    pub(crate) fn send_all(&self, messages: &[impl Serialize], to: &[SocketAddr]) {
        if let Some(packet) = encode(messages) {
            for to in to {
                self.send_packet(&packet, *to);
            }
        }
    }

    fn send_packet(&self, packet: &[u8], to: SocketAddr) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        if let Err(error) = socket.try_send_to(packet, to) {
            let cause = error.to_string();
            log::debug!(target: "neighbours", cause = cause.as_str(); "failed to send message");
        }
    }

    /// Sends the changes after `since` to the gateways that query this one, without waiting for their next query.
    pub(crate) fn push_changes(&self, since: Revision) {
        let (messages, receivers) = self.gateway().changes_to_push(since, self.now());
        for message in messages {
            self.send_all(&[message], &receivers);
        }
    }

    /// Sends a new configuration to the gateways that have asked for it.
    pub(crate) fn push_configuration(&self) {
        let pushed = self.gateway().configuration_to_push(self.now());
        if let Some((message, receivers)) = pushed {
            self.send_all(&[message], &receivers);
        }
    }

    /// Registers a request that waits for a reply from a limit's home; the receiver yields the reply.
    pub(crate) fn register_permit(&self, number: u64) -> oneshot::Receiver<Permit> {
        let (sender, receiver) = oneshot::channel();
        let mut permits = self.permits.borrow_mut();
        // Drops requests that no longer wait, because the reply timed out or the caller disconnected.
        permits.retain(|_, sender| !sender.is_closed());
        permits.insert(number, sender);
        receiver
    }

    /// Delivers the reply of a limit's home to the request that waits for it. If none does, the reply is late and is counted
    /// as such.
    pub(crate) fn deliver_permit(&self, number: u64, permit: Permit) {
        let waiting = self.permits.borrow_mut().remove(&number);
        let is_delivered = waiting.is_some_and(|sender| sender.send(permit).is_ok());
        if !is_delivered {
            metrics::counter!("auburnline_limit_replies_late_total").increment(1);
        }
    }

    /// Returns the time since the start of the process.
    pub(crate) fn now(&self) -> Monotonic {
        self.clock.now()
    }

    /// Borrows the gateway's decision state. The borrow must not be held across an `await`.
    pub(crate) fn gateway(&self) -> RefMut<'_, Gateway> {
        self.gateway.borrow_mut()
    }

    /// Returns the HTTP client of an upstream, created on first use.
    pub(crate) fn client(&self, upstream: &Upstream) -> Client {
        let mut clients = self.clients.borrow_mut();
        let client = clients.entry(upstream.id.clone());
        let client = client.or_insert_with(|| {
            let timeouts = Timeouts::new();
            let timeouts = timeouts
                .connect(CONNECT_TIMEOUT)
                .silence(MAX_EXCHANGE)
                .whole(MAX_EXCHANGE);
            Client::new(upstream.address, timeouts)
        });
        client.clone()
    }

    /// Returns the notification for requests that wait for capacity at a service.
    pub(crate) fn capacity_freed(&self, service: &ServiceId) -> Rc<Notify> {
        let mut capacity_freed = self.capacity_freed.borrow_mut();
        Rc::clone(capacity_freed.entry(service.clone()).or_default())
    }

    /// Wakes requests that wait for capacity at a service: all of them where they are served in the order of a queue, which
    /// knows whose turn it is, and else one.
    pub(crate) fn wake_waiting(&self, service: &ServiceId) {
        let capacity_freed = self.capacity_freed(service);
        if self.gateway().orders_requests() {
            capacity_freed.notify_waiters();
        } else {
            capacity_freed.notify_one();
        }
    }

    /// Logs changes of the upstream pool, and drops the clients of upstreams that are gone.
    pub(crate) fn upstreams_changed(&self, changes: Vec<upstream::Change>) {
        log_changes(&changes);
        crash::record_changes(self, &changes);
        let mut clients = self.clients.borrow_mut();
        for change in changes {
            if let upstream::Change::Gone(upstream) = change {
                clients.remove(&upstream.id);
            }
        }
    }

    /// Removes upstreams missing from the store, and adds those whose entries were doubted after a restore of the store and have
    /// not expired since. Returns the changes.
    pub(crate) fn expire(&self) -> Vec<upstream::Change> {
        let now = self.now();
        let mut gateway = self.gateway();
        let mut changes = gateway.expire(now);
        changes.extend(gateway.pool.take_trusted(now));
        changes
    }

    /// Updates readiness from the current state, and logs a change.
    pub(crate) fn update_readiness(&self) {
        let now = self.now();
        let mut gateway = self.gateway();
        gateway.confirm_pending(now);
        let is_ready = gateway.can_serve(now) && !self.is_leaving();
        if gateway.roster.set_ready(is_ready) {
            let age = gateway.freshness.age(now).unwrap_or_default();
            let version = gateway.version();
            log::info!(target: "gateway", is_ready, version:?, age_ms = millis(age); "readiness");
            self.can_serve_changed.notify_waiters();
        }
    }

    /// Starts the shutdown: withdraws readiness.
    pub(crate) fn leave(&self, schedule: Schedule) {
        if self.schedule.get().is_none() {
            self.schedule.set(Some(schedule));
            self.phase.send_replace(Phase::Leaving);
            self.gateway().close_startup();
            self.can_serve_changed.notify_waiters();
            self.update_readiness();
        }
    }

    /// Returns whether the shutdown has started.
    pub(crate) fn is_leaving(&self) -> bool {
        self.schedule.get().is_some()
    }

    /// Returns whether the process is about to end in less than `time`.
    pub(crate) fn ends_within(&self, time: Duration) -> bool {
        let schedule = self.schedule.get();
        schedule.is_some_and(|schedule| self.now() + time > schedule.ending)
    }

    /// Enters a later phase of the shutdown.
    pub(crate) fn enter(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let is_later = phase > *current;
            *current = phase.max(*current);
            is_later
        });
    }

    /// Returns the present phase. Refusals begin on time, also where the task that enters the phases is late.
    pub(crate) fn phase(&self) -> Phase {
        let phase = *self.phase.borrow();
        let schedule = self.schedule.get();
        if schedule.is_some_and(|schedule| self.now() >= schedule.refusing) {
            phase.max(Phase::Refusing)
        } else {
            phase
        }
    }

    /// Completes when this phase is entered.
    pub(crate) async fn reached(&self, phase: Phase) {
        let mut phases = self.phases();
        let _ = phases.wait_for(|current| *current >= phase).await;
    }

    /// Returns a receiver that follows the phases.
    pub(crate) fn phases(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }
}

/// Encodes messages one after the other; none if they exceed one packet.
fn encode(messages: &[impl Serialize]) -> Option<Vec<u8>> {
    let mut packet = Vec::new();
    for message in messages {
        let Ok(bytes) = postcard::to_stdvec(message) else {
            log::error!(target: "neighbours", "failed to encode message");
            return None;
        };
        packet.extend(bytes);
    }
    if packet.len() > MAX_DATAGRAM_BYTES {
        log::debug!(target: "neighbours", bytes = packet.len(); "message exceeds the maximum datagram size");
        return None;
    }
    Some(packet)
}

/// Logs that the store answers again after a failure.
pub(crate) fn log_regained(gateway: &Gateway, now: Monotonic) {
    let age_ms = millis(gateway.freshness.age(now).unwrap_or_default());
    log::info!(target: "store", age_ms; "regained");
}
