//! Which instance stands behind which session, and which addresses to dial.
//!
//! Pure: it is told what happened and when, and says what to dial. An instance has one current
//! session, the newest; an older one stays until it goes by itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;
use auburnline_peer::node::SessionId;
use auburnline_peer::wire::Hello;

/// Pause before the first further dial of an address.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between dials of an address.
const LAST_PAUSE: Duration = Duration::from_secs(2);

/// A session that is up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Link {
    /// Its number.
    pub session: SessionId,
    /// Instance behind it.
    pub instance: InstanceId,
    /// That instance's incarnation.
    pub incarnation: Incarnation,
    /// When it came up.
    pub since: Monotonic,
    /// Address that this process dialled.
    pub dialled: Option<SocketAddr>,
}

#[derive(Clone, Copy, Debug)]
struct Dial {
    pause: Duration,
    next: Monotonic,
    open: bool,
}

/// All sessions of a process.
#[derive(Debug, Default)]
pub struct Links {
    sessions: BTreeMap<SessionId, Link>,
    current: BTreeMap<InstanceId, SessionId>,
    dials: BTreeMap<SocketAddr, Dial>,
}

impl Links {
    /// Returns an empty set.
    #[must_use]
    pub fn new() -> Links {
        Links::default()
    }

    /// Notes a session that came up.
    pub fn up(
        &mut self,
        now: Monotonic,
        session: SessionId,
        hello: &Hello,
        dialled: Option<SocketAddr>,
    ) {
        let link = Link {
            session,
            instance: hello.instance.clone(),
            incarnation: hello.incarnation,
            since: now,
            dialled,
        };
        self.current.insert(hello.instance.clone(), session);
        self.sessions.insert(session, link);
        if let Some(dial) = dialled.and_then(|address| self.dials.get_mut(&address)) {
            dial.pause = FIRST_PAUSE;
        }
    }

    /// Notes a session that is gone, and returns what it was.
    pub fn down(&mut self, now: Monotonic, session: SessionId) -> Option<Link> {
        let link = self.sessions.remove(&session)?;
        if self.current.get(&link.instance) == Some(&session) {
            self.current.remove(&link.instance);
            let other = self.sessions.values().rev();
            let other = other.filter(|other| other.instance == link.instance);
            if let Some(other) = other.map(|other| other.session).next() {
                self.current.insert(link.instance.clone(), other);
            }
        }
        if let Some(address) = link.dialled {
            self.failed(now, address);
        }
        Some(link)
    }

    /// Notes a dial that led to nothing, or whose session is gone.
    pub fn failed(&mut self, now: Monotonic, address: SocketAddr) {
        if let Some(dial) = self.dials.get_mut(&address) {
            dial.open = false;
            dial.next = now + dial.pause;
            dial.pause = (dial.pause * 2).min(LAST_PAUSE);
        }
    }

    /// Returns the current session of an instance.
    #[must_use]
    pub fn to(&self, instance: &str) -> Option<&Link> {
        let session = self.current.get(instance)?;
        self.sessions.get(session)
    }

    /// Returns a session that is up.
    #[must_use]
    pub fn get(&self, session: SessionId) -> Option<&Link> {
        self.sessions.get(&session)
    }

    /// Returns all sessions that are up.
    pub fn iter(&self) -> impl Iterator<Item = &Link> {
        self.sessions.values()
    }

    /// Returns the addresses among `wanted` to dial now, and notes them as dialled.
    ///
    /// Addresses that are no longer wanted are forgotten; their sessions stay until they go.
    pub fn due(
        &mut self,
        now: Monotonic,
        wanted: impl IntoIterator<Item = SocketAddr>,
    ) -> Vec<SocketAddr> {
        let mut dials = std::mem::take(&mut self.dials);
        let mut due = Vec::new();
        for address in wanted {
            let mut dial = dials.remove(&address).unwrap_or(Dial {
                pause: FIRST_PAUSE,
                next: now,
                open: false,
            });
            if !dial.open && dial.next <= now {
                dial.open = true;
                due.push(address);
            }
            self.dials.insert(address, dial);
        }
        let open = dials.into_iter().filter(|(_, dial)| dial.open);
        self.dials.extend(open);
        due
    }
}
