//! What all tasks of a gateway share.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::cell::RefMut;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_gateway::Gateway;
use auburnline_gateway::knowledge;
use auburnline_gateway::message::Datagram;
use auburnline_gateway::route::ServiceId;
use auburnline_gateway::spread::Question;
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
use crate::dialect::Dialect;
use crate::source::log_changes;
use crate::tell::millis;

/// Longest wait for a connection to an upstream: many times a round trip between failure domains,
/// and short beside the aims of callers, so that another upstream can still answer in time.
const CONNECT: Duration = Duration::from_millis(300);
/// Bound on waits within an exchange that the request's own deadline does not bound sooner.
const LONGEST: Duration = Duration::from_mins(1);

/// Longest message to another process: a configuration of some hundred routes, and within one datagram.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 60 << 10;
/// Age of a question after which its sender is told nothing unasked.
const ASKER_AGE: Duration = Duration::from_secs(3);

/// State of one gateway.
pub(crate) struct Shared {
    clock: Clock,
    gateway: RefCell<Gateway>,
    pub(crate) dialect: Rc<dyn Dialect>,
    clients: RefCell<HashMap<UpstreamId, Client>>,
    places: RefCell<HashMap<ServiceId, Rc<Notify>>>,
    leaving: watch::Sender<bool>,
    left_at: Cell<Option<Monotonic>>,
    open: Cell<usize>,
    /// Tells the source that there may be something to read.
    pub(crate) news: Notify,
    /// Tells streams that a rank turned slow.
    pub(crate) slowed: Notify,
    /// Gateways that asked for changes, and when.
    askers: RefCell<HashMap<SocketAddr, Monotonic>>,
    /// Requests that wait for the permit of a limit's home, by the number of the question.
    permits: RefCell<HashMap<u64, oneshot::Sender<Permit>>>,
    socket: OnceCell<Rc<UdpSocket>>,
}

impl Shared {
    pub(crate) fn new(clock: Clock, gateway: Gateway, dialect: Rc<dyn Dialect>) -> Shared {
        Shared {
            clock,
            gateway: RefCell::new(gateway),
            dialect,
            clients: RefCell::default(),
            places: RefCell::default(),
            leaving: watch::Sender::new(false),
            left_at: Cell::new(None),
            open: Cell::new(0),
            news: Notify::new(),
            slowed: Notify::new(),
            askers: RefCell::default(),
            permits: RefCell::default(),
            socket: OnceCell::new(),
        }
    }

    /// Sets the socket towards other gateways and sidecars.
    pub(crate) fn set_socket(&self, socket: Rc<UdpSocket>) {
        let is_new = self.socket.set(socket).is_ok();
        debug_assert!(is_new, "the socket is set once");
    }

    /// Sends a message to another process; one that can't be sent is lost, as on the way.
    pub(crate) fn tell(&self, message: &impl Serialize, to: SocketAddr) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let Ok(bytes) = postcard::to_stdvec(message) else {
            log::error!(target: "neighbours", "a message can't be written");
            return;
        };
        if bytes.len() > MAX_DATAGRAM_BYTES {
            log::debug!(target: "neighbours", bytes = bytes.len(); "message too long to be sent");
            return;
        }
        if let Err(error) = socket.try_send_to(&bytes, to) {
            let cause = error.to_string();
            log::debug!(target: "neighbours", cause = cause.as_str(); "message not sent");
        }
    }

    /// Answers another gateway's question what changed.
    pub(crate) fn answer(&self, question: Question, from: SocketAddr) {
        let now = self.now();
        self.askers.borrow_mut().insert(from, now);
        let gateway = self.gateway();
        let Some(age) = gateway.knowledge.age(now) else {
            return;
        };
        let answer = gateway.spread.answer(question, age);
        let told = gateway.spread.told(question).cloned();
        drop(gateway);
        // First what the configuration that is asked for is part of.
        if let Some(answer) = answer {
            self.tell(&Datagram::Answer(answer), from);
        }
        if let Some(told) = told {
            self.tell(&Datagram::Configuration(Box::new(told)), from);
        }
    }

    /// Tells those who ask what changed after `since`, without waiting for their next question.
    pub(crate) fn push(&self, since: Revision) {
        let now = self.now();
        let mut askers = self.askers.borrow_mut();
        askers.retain(|_, asked| now.saturating_sub(*asked) < ASKER_AGE);
        let gateway = self.gateway();
        let age = gateway.knowledge.age(now).unwrap_or_default();
        let Some(answer) = gateway.spread.since(since, age) else {
            return;
        };
        drop(gateway);
        let message = Datagram::Answer(answer);
        askers.keys().for_each(|asker| self.tell(&message, *asker));
    }

    /// Returns what yields the reply to a question to a limit's home.
    pub(crate) fn await_permit(&self, number: u64) -> oneshot::Receiver<Permit> {
        let (sender, receiver) = oneshot::channel();
        let mut permits = self.permits.borrow_mut();
        // Questions whose reply was lost, or whose caller left.
        permits.retain(|_, sender| !sender.is_closed());
        permits.insert(number, sender);
        receiver
    }

    /// Passes the reply of a limit's home on to the request that waits for it; without one it is late.
    pub(crate) fn permit(&self, number: u64, permit: Permit) {
        let waiting = self.permits.borrow_mut().remove(&number);
        let is_taken = waiting.is_some_and(|sender| sender.send(permit).is_ok());
        if !is_taken {
            metrics::counter!("auburnline_limit_replies_late_total").increment(1);
        }
    }

    /// Returns the time.
    pub(crate) fn now(&self) -> Monotonic {
        self.clock.now()
    }

    /// Returns the decisions; never held across a wait.
    pub(crate) fn gateway(&self) -> RefMut<'_, Gateway> {
        self.gateway.borrow_mut()
    }

    /// Returns the client of an upstream.
    pub(crate) fn client(&self, upstream: &Upstream) -> Client {
        let mut clients = self.clients.borrow_mut();
        let client = clients.entry(upstream.id.clone());
        let client = client.or_insert_with(|| {
            let timeouts = Timeouts::new();
            let timeouts = timeouts.connect(CONNECT).silence(LONGEST).whole(LONGEST);
            Client::new(upstream.address, timeouts)
        });
        client.clone()
    }

    /// Returns what tells that a place at a service may be free.
    pub(crate) fn place(&self, service: &ServiceId) -> Rc<Notify> {
        let mut places = self.places.borrow_mut();
        Rc::clone(places.entry(service.clone()).or_default())
    }

    /// Takes changes of the pool.
    pub(crate) fn upstreams_changed(&self, changes: Vec<upstream::Change>) {
        log_changes(&changes);
        let mut clients = self.clients.borrow_mut();
        for change in changes {
            if let upstream::Change::Gone(upstream) = change {
                clients.remove(&upstream.id);
            }
        }
    }

    /// Removes upstreams that are missing, and takes those that were doubted long enough.
    pub(crate) fn expire(&self) -> Vec<upstream::Change> {
        let now = self.now();
        let mut gateway = self.gateway();
        let is_doubtful = gateway.knowledge.is_doubtful(now);
        let mut changes = gateway.pool.expire(is_doubtful);
        changes.extend(gateway.pool.admit(now));
        changes
    }

    /// Sets readiness anew from what is known.
    pub(crate) fn refresh(&self) {
        let now = self.now();
        let mut gateway = self.gateway();
        let change = gateway.settle(now);
        if change == knowledge::Change::Regained {
            tell_regained(&gateway, now);
        }
        let is_ready = gateway.is_able(now) && !self.is_leaving();
        if gateway.roster.set_ready(is_ready) {
            let age = gateway.knowledge.age(now).unwrap_or_default();
            let version = gateway.version();
            log::info!(target: "gateway", is_ready, version:?, age_ms = millis(age); "readiness");
        }
    }

    /// Serves which revisions of the store are known.
    pub(crate) fn measure(&self) {
        let gateway = self.gateway();
        let known = gateway.spread.revision().unwrap_or_default();
        let (heard, read) = gateway.spread.configurations();
        drop(gateway);
        for (of, revision) in [
            ("store", known),
            ("configuration_heard", heard),
            ("configuration_read", read),
        ] {
            metrics::gauge!("auburnline_revision", "of" => of).set(real(revision.number));
            metrics::gauge!("auburnline_generation", "of" => of).set(real(revision.generation));
        }
    }

    /// Begins to leave.
    pub(crate) fn leave(&self) {
        if self.left_at.get().is_none() {
            self.left_at.set(Some(self.now()));
            self.leaving.send_replace(true);
            self.refresh();
        }
    }

    /// Returns whether this gateway is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.left_at.get().is_some()
    }

    /// Returns for how long this gateway has been leaving.
    pub(crate) fn leaving_for(&self) -> Option<Duration> {
        let since = self.left_at.get()?;
        Some(self.now().saturating_sub(since))
    }

    /// Returns what tells that this gateway begins to leave.
    pub(crate) fn leaving(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }

    /// Counts an open connection of a caller.
    pub(crate) fn opened(&self) {
        self.open.set(self.open.get() + 1);
    }

    /// Counts a connection of a caller that ended.
    pub(crate) fn closed(&self) {
        self.open.set(self.open.get() - 1);
    }

    /// Returns how many connections of callers are open.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }
}

/// Logs that the store answers again.
pub(crate) fn tell_regained(gateway: &Gateway, now: Monotonic) {
    let age_ms = millis(gateway.knowledge.age(now).unwrap_or_default());
    log::info!(target: "store", age_ms; "regained");
}

#[expect(clippy::cast_precision_loss, reason = "revisions are far below 2^52")]
fn real(number: u64) -> f64 {
    number as f64
}
