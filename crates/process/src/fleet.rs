//! Sessions and membership of a process, in the terms of the duties.
//!
//! [`Fleet`] holds the decisions of `auburnline-membership` with the sessions that they are about,
//! and turns what happens to sessions into their events and their actions into [`Act`]s. Which
//! sessions are wanted is the role's to say.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use auburnline_configuration::checked::Checked;
use auburnline_configuration::schedule::Member;
use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_core::time::Monotonic;
use auburnline_membership::heartbeat;
use auburnline_membership::list::List;
use auburnline_membership::mark::Cause;
use auburnline_membership::mark::Rumour;
use auburnline_membership::neighbour;
use auburnline_membership::neighbour::Place;
use auburnline_membership::pause::Detector;
use auburnline_membership::view::Action;
use auburnline_membership::view::Event;
use auburnline_membership::view::View;
use auburnline_peer::node::SessionId;
use auburnline_peer::wire::Control;
use auburnline_peer::wire::Frame;
use auburnline_peer::wire::Heartbeat;
use auburnline_peer::wire::Hello;
use auburnline_peer::wire::Topic;
use auburnline_registry::Instances;
use bytes::Bytes;

use crate::link::Link;
use crate::link::Links;

/// Time between two reads of the instance list by a direct reader.
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Time between two reads by any other process, in a fleet of one.
const FOLLOWER_LIST_PERIOD: Duration = Duration::from_secs(20);

/// Time between two looks at who lives.
const LIVE_PERIOD: Duration = Duration::from_secs(1);

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Open a session to this address.
    Dial(SocketAddr),
    /// Close a session.
    Close(SessionId),
    /// Send a frame.
    Send(SessionId, Frame),
    /// Send no new work to this instance any more.
    Stop(InstanceId, Cause),
    /// Read the instance list.
    ReadList,
}

/// Sessions and membership.
#[derive(Debug)]
pub struct Fleet {
    view: View,
    links: Links,
    pause: Detector,
    addresses: BTreeMap<InstanceId, SocketAddr>,
    seeds: Vec<SocketAddr>,
    next_list: Monotonic,
    next_live: Monotonic,
}

impl Fleet {
    /// Starts with no session; `seeds` are dialled until a configuration is in force.
    #[must_use]
    pub fn new(me: InstanceId, incarnation: Incarnation, seeds: Vec<SocketAddr>) -> Fleet {
        Fleet {
            view: View::new(me, incarnation),
            links: Links::new(),
            pause: Detector::default(),
            addresses: BTreeMap::new(),
            seeds,
            next_list: Duration::ZERO,
            next_live: Duration::ZERO,
        }
    }

    /// Returns the view of all instances.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the sessions.
    #[must_use]
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Takes a session that came up.
    pub fn up(
        &mut self,
        now: Monotonic,
        session: SessionId,
        hello: &Hello,
        dialled: Option<SocketAddr>,
    ) -> Vec<Act> {
        self.links.up(now, session, hello, dialled);
        let event = Event::SessionUp(hello.instance.clone(), hello.incarnation);
        self.handle(event, now)
    }

    /// Takes a session that is gone; returns what it was, and whether it was the last to its peer.
    pub fn down(&mut self, now: Monotonic, session: SessionId) -> Option<(Link, bool)> {
        let link = self.links.down(now, session)?;
        let last = self.links.to(&link.instance).is_none();
        if last {
            let acts = self.handle(Event::SessionDown(link.instance.clone()), now);
            debug_assert!(acts.is_empty(), "a lost session asks for nothing at once");
        }
        Some((link, last))
    }

    /// Takes a dial that led to nothing.
    pub fn failed(&mut self, now: Monotonic, address: SocketAddr) {
        self.links.failed(now, address);
        let mut known = self.addresses.iter();
        let instance = known.find(|(_, other)| **other == address);
        if let Some(instance) = instance.map(|(instance, _)| instance.clone())
            && self.links.to(&instance).is_none()
        {
            let _ = self.handle(Event::SessionDown(instance), now);
        }
    }

    /// Takes a heartbeat.
    pub fn beat(&mut self, now: Monotonic, session: SessionId, beat: &Heartbeat) -> Vec<Act> {
        let Some(link) = self.links.get(session) else {
            return Vec::new();
        };
        let heard = heartbeat::Heartbeat {
            next: beat.next,
            is_leaving: beat.leaving,
        };
        let event = Event::Heartbeat(link.instance.clone(), heard);
        self.handle(event, now)
    }

    /// Takes rumours; bytes that are none are ignored.
    pub fn rumours(&mut self, now: Monotonic, session: SessionId, bytes: &[u8]) -> Vec<Act> {
        let rumours: Result<Vec<Rumour>, _> = serde_json::from_slice(bytes);
        let link = self.links.get(session);
        match (link.map(|link| link.instance.clone()), rumours) {
            (Some(from), Ok(rumours)) => self.handle(Event::Rumours(from, rumours), now),
            _ => Vec::new(),
        }
    }

    /// Takes the instance list.
    pub fn list(&mut self, now: Monotonic, instances: Instances) -> Vec<Act> {
        let list = List {
            version: instances.version,
            live: instances.live.into_iter().collect(),
            leaving: instances.leaving.into_iter().collect(),
        };
        self.handle(Event::List(list), now)
    }

    /// Takes the sessions that the role wants.
    pub fn want(&mut self, now: Monotonic, wanted: BTreeSet<InstanceId>) -> Vec<Act> {
        self.handle(Event::Wanted(wanted), now)
    }

    /// Takes a configuration that came into force, and the entries to gossip with.
    pub fn configure(
        &mut self,
        now: Monotonic,
        checked: &Arc<Checked>,
        gossips: BTreeSet<InstanceId>,
    ) -> Vec<Act> {
        let named = |name: &InstanceId| Some((name.clone(), checked.peer_address(name)?));
        self.addresses = checked.instances().filter_map(named).collect();
        let instances: BTreeSet<InstanceId> = checked.instances().cloned().collect();
        let drains = instances.iter().filter(|name| checked.drains(name));
        let event = Event::Fleet {
            revision: checked.revision(),
            drains: drains.cloned().collect(),
            instances,
        };
        self.next_live = now;
        let mut acts = self.handle(event, now);
        acts.extend(self.handle(Event::Neighbours(gossips), now));
        acts
    }

    /// Returns the published processes that are believed to live, if it is time to tell them.
    pub fn live(&mut self, now: Monotonic, checked: &Checked) -> Option<Vec<Member>> {
        if now < self.next_live {
            return None;
        }
        self.next_live = now + LIVE_PERIOD;
        let live = self.view.live(now).filter_map(|instance| {
            let failure_domain = checked.failure_domain(instance)?.clone();
            let instance = instance.clone();
            Some(Member {
                instance,
                failure_domain,
            })
        });
        Some(live.collect())
    }

    /// Takes the passing of time; `reader` is whether this process reads the platform for others.
    pub fn tick(&mut self, now: Monotonic, reader: bool) -> Vec<Act> {
        let mut acts = Vec::new();
        if let Some(gap) = self.pause.observe(now) {
            log::warn!(target: "decision", gap_ms = gap.as_millis(); "pause");
            acts.extend(self.handle(Event::Paused, now));
        }
        acts.extend(self.handle(Event::Tick, now));
        if self.addresses.is_empty() {
            let due = self.links.due(now, self.seeds.iter().copied());
            acts.extend(due.into_iter().map(Act::Dial));
        }
        if now >= self.next_list {
            self.next_list = now + self.list_period(reader);
            acts.push(Act::ReadList);
        }
        acts
    }

    /// Few processes read the list often, the others the more seldom the larger the fleet is.
    fn list_period(&self, reader: bool) -> Duration {
        if reader {
            return LIST_PERIOD;
        }
        let fleet = u32::try_from(self.addresses.len()).unwrap_or(u32::MAX);
        FOLLOWER_LIST_PERIOD.mul_f64(f64::from(fleet.max(1)).sqrt())
    }

    fn handle(&mut self, event: Event, now: Monotonic) -> Vec<Act> {
        let actions = self.view.handle(event, now);
        actions
            .into_iter()
            .filter_map(|action| self.act(action))
            .collect()
    }

    fn act(&self, action: Action) -> Option<Act> {
        match action {
            Action::Open(instance) => self.addresses.get(&instance).copied().map(Act::Dial),
            Action::Close(instance) => {
                let link = self.links.to(&instance)?;
                Some(Act::Close(link.session))
            }
            Action::Stop(instance, cause) => Some(Act::Stop(instance, cause)),
            Action::Send(instance, rumours) => {
                let session = self.links.to(&instance)?.session;
                let bytes = serde_json::to_vec(&rumours).ok()?;
                let control = Control {
                    topic: Topic::Membership,
                    bytes: Bytes::from(bytes),
                };
                Some(Act::Send(session, Frame::Control(control)))
            }
            Action::Log(note) => {
                log::info!(target: "decision", note:% = note; "membership");
                None
            }
        }
    }
}

/// Returns the entries that an entry keeps sessions to, for gossip.
#[must_use]
pub fn neighbours(me: &str, checked: &Checked) -> BTreeSet<InstanceId> {
    let place = |(name, entry): (&InstanceId, &auburnline_core::published::Entry)| {
        let region = checked.region(&entry.failure_domain)?.clone();
        let place = Place {
            failure_domain: entry.failure_domain.clone(),
            region,
        };
        Some((name.clone(), place))
    };
    let entries = checked.fleet().entries.iter().filter_map(place).collect();
    neighbour::pick(me, &entries)
}
