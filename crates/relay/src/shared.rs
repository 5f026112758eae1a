//! What all tasks of a gateway share.

use std::cell::Cell;
use std::cell::RefCell;
use std::cell::RefMut;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use auburnline_core::time::Monotonic;
use auburnline_gateway::Gateway;
use auburnline_gateway::route::ServiceId;
use auburnline_gateway::upstream;
use auburnline_gateway::upstream::Upstream;
use auburnline_gateway::upstream::UpstreamId;
use auburnline_http::Client;
use auburnline_http::Timeouts;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::source::log_changes;

/// Longest wait for a connection to an upstream: many times a round trip between failure domains,
/// and short beside the aims of callers, so that another upstream can still answer in time.
const CONNECT: Duration = Duration::from_millis(300);
/// Bound on waits within an exchange that the request's own deadline does not bound sooner.
const LONGEST: Duration = Duration::from_mins(1);

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

    /// Removes upstreams that are missing.
    pub(crate) fn expire(&self) -> Vec<upstream::Change> {
        let now = self.now();
        let mut gateway = self.gateway();
        let is_doubtful = gateway.knowledge.is_doubtful(now);
        gateway.pool.expire(is_doubtful)
    }

    /// Sets readiness anew from what is known.
    pub(crate) fn refresh(&self) {
        let now = self.now();
        let mut gateway = self.gateway();
        let is_ready = gateway.is_able(now) && !self.is_leaving();
        if gateway.roster.set_ready(is_ready) {
            let age = gateway.knowledge.age(now).unwrap_or_default();
            let version = gateway.version();
            log::info!(target: "gateway", is_ready, version:?, age_ms = crate::exchange::millis(age); "readiness");
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
