//! Configuration, sessions, heartbeats, load and the end of the process.

use std::collections::BTreeSet;
use std::sync::Arc;

use auburnline_configuration::checked::Checked;
use auburnline_configuration::head::Head;
use auburnline_core::id::InstanceId;
use auburnline_core::id::Revision;
use auburnline_core::load::Report;
use auburnline_peer::node;
use auburnline_peer::node::SessionId;
use auburnline_peer::wire::Frame;
use auburnline_peer::wire::Heartbeat;
use auburnline_peer::wire::Topic;
use auburnline_process::exchange::Effects;
use auburnline_process::fleet::Act;
use auburnline_process::reader;
use auburnline_process::reader::Reading;

use crate::state::State;

impl State {
    /// Takes what happened at a session.
    pub(crate) fn peer(&mut self, event: node::Event) {
        let now = self.clock.now();
        match event {
            node::Event::Up {
                session,
                hello,
                dialled,
            } => {
                let acts = self.fleet.up(now, session, &hello, dialled);
                self.act(acts);
                let effects = self.exchange.up(hello.instance, hello.configuration, now);
                self.apply(effects);
            }
            node::Event::Down { session, .. } => self.down(session),
            node::Event::Failed { dialled } => self.fleet.failed(now, dialled),
            node::Event::Frame { session, frame } => self.frame(session, frame),
        }
    }

    fn down(&mut self, session: SessionId) {
        let now = self.clock.now();
        self.unsubscribe(session);
        if let Some((link, true)) = self.fleet.down(now, session) {
            let effects = self.exchange.down(link.instance, now);
            self.apply(effects);
        }
    }

    /// Takes a frame that is not about requests.
    pub(crate) fn talk(&mut self, session: SessionId, frame: Frame) {
        let now = self.clock.now();
        let link = self.fleet.links().get(session);
        let Some(instance) = link.map(|link| link.instance.clone()) else {
            return;
        };
        let effects = match frame {
            Frame::Heartbeat(beat) => {
                let acts = self.fleet.beat(now, session, &beat);
                self.act(acts);
                self.exchange.heard(instance, beat.configuration, now)
            }
            Frame::Control(control) if control.topic == Topic::Experts => {
                return self.experts_message(session, &control.bytes);
            }
            frame => self
                .exchange
                .frame(instance, frame, now)
                .unwrap_or_default(),
        };
        self.apply(effects);
    }

    /// Takes what the platform answered.
    pub(crate) fn platform(&mut self, reading: Reading) {
        let now = self.clock.now();
        if let Reading::Instances(list) = reading {
            let acts = list.map(|list| self.fleet.list(now, list));
            self.act(acts.unwrap_or_default());
            return;
        }
        let effects = self.exchange.reading(reading, now);
        self.apply(effects);
    }

    /// Does what membership wants done.
    pub(crate) fn act(&mut self, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Dial(address) => {
                    let _ = self.ways.peers.push(node::Order::Dial(address));
                }
                Act::Close(session) => {
                    let _ = self.ways.peers.push(node::Order::Close(session));
                }
                Act::Send(session, frame) => self.send(session, frame),
                Act::Stop(instance, _) if instance == self.settings.instance => {
                    self.stay.listed(self.clock.now());
                    self.follow();
                }
                Act::Stop(..) => {}
                Act::ReadList => {
                    let _ = self.ways.platform.push(reader::Order::Instances);
                }
            }
        }
    }

    /// Makes ledger and heartbeats follow the life cycle.
    pub(crate) fn follow(&mut self) {
        self.ledger.set_draining(self.stay.is_leaving());
        self.beat();
        self.beat_now();
    }

    /// Does what the exchange of configurations wants done.
    pub(crate) fn apply(&mut self, effects: Effects) {
        for (instance, frame) in effects.frames {
            if let Some(link) = self.fleet.links().to(&instance) {
                self.send(link.session, frame);
            }
        }
        for order in effects.reads {
            if self.ways.platform.push(order).is_err() {
                log::warn!(target: "slot", ring = "platform"; "ring full");
            }
        }
        if let Some(checked) = effects.install {
            self.install(&checked);
        }
    }

    fn install(&mut self, checked: &Arc<Checked>) {
        let now = self.clock.now();
        if let Err(error) = self.settings.check_against(checked.fleet()) {
            log::error!(target: "slot", error:% = error; "settings are not as published");
        }
        self.ledger.raise_min_revision(checked.revision());
        let pool = admitting(checked, &self.settings.instance);
        self.candidates.observe(now, checked.revision(), &pool);
        let wanted = self.wanted(checked);
        let mut acts = self.fleet.configure(now, checked, BTreeSet::new());
        acts.extend(self.fleet.want(now, wanted));
        let group = checked.group_of_instance(&self.settings.instance);
        let drains = group.is_some_and(|group| checked.group_drains(group));
        self.stay.configure(now, checked, drains);
        self.act(acts);
        self.tell_live();
        self.place(checked);
        self.follow();
    }

    /// Tells the exchange of configurations who is believed to live.
    pub(crate) fn tell_live(&mut self) {
        let now = self.clock.now();
        let Some(checked) = self.exchange.in_force().cloned() else {
            return;
        };
        if let Some(live) = self.fleet.live(now, &checked) {
            let effects = self.exchange.live(live, now);
            self.apply(effects);
        }
    }

    /// Returns the revision in force, 0 if there is none.
    pub(crate) fn revision(&self) -> Revision {
        self.exchange.head().map_or(0, |head| head.revision)
    }

    /// Returns the instances of the group's other slots, if this one coordinates.
    fn wanted(&self, checked: &Checked) -> BTreeSet<InstanceId> {
        let me = &self.settings.instance;
        let group = checked.group_of_instance(me);
        let instances = group.and_then(|group| checked.group(group));
        let instances = instances
            .map(|group| &group.instances[..])
            .unwrap_or_default();
        if instances.first() != Some(me) {
            return BTreeSet::new();
        }
        instances.iter().skip(1).cloned().collect()
    }

    /// Takes a load report.
    pub(crate) fn load(&mut self, report: Report) {
        self.report = report;
        self.reported = self.clock.now();
    }

    /// Says what heartbeats carry from now on.
    pub(crate) fn beat(&mut self) {
        let now = self.clock.now();
        let mut report = self.report;
        report.age += now.saturating_sub(self.reported);
        report.load.queued += u32::try_from(self.queue.queued()).unwrap_or(u32::MAX);
        let configuration = self.exchange.head().map(Head::short);
        let beat = Heartbeat {
            leaving: self.stay.is_leaving(),
            admitting: !self.stay.is_leaving() && configuration.is_some(),
            configuration,
            report,
            ..Heartbeat::default()
        };
        let _ = self.ways.peers.push(node::Order::Beat(Box::new(beat)));
    }

    fn beat_now(&self) {
        let _ = self.ways.peers.push(node::Order::BeatNow);
    }
}

/// Returns the admitting slots of an instance's pool.
fn admitting(checked: &Checked, instance: &str) -> Vec<InstanceId> {
    let group = checked.group_of_instance(instance);
    let pool = group.and_then(|group| checked.pool_of_group(group));
    let groups = pool.into_iter().flat_map(|pool| checked.groups(pool));
    let slots = groups.filter_map(|(group, _)| checked.admitting(group));
    slots.map(|slot| slot.instance.clone()).collect()
}
