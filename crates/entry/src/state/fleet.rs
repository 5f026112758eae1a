//! Configuration, sessions, discovery and the end of the process.

use std::collections::BTreeMap;
use std::sync::Arc;

use auburnline_configuration::checked::Checked;
use auburnline_configuration::head::Head;
use auburnline_core::id::GroupId;
use auburnline_core::id::InstanceId;
use auburnline_core::id::Revision;
use auburnline_core::published::Serves;
use auburnline_core::time::Monotonic;
use auburnline_peer::node;
use auburnline_peer::node::SessionId;
use auburnline_peer::wire::Frame;
use auburnline_peer::wire::Heartbeat;
use auburnline_peer::wire::Topic;
use auburnline_process::exchange::Effects;
use auburnline_process::fleet;
use auburnline_process::fleet::Act;
use auburnline_process::reader;
use auburnline_process::reader::Reading;
use auburnline_routing::Mark;
use auburnline_routing::Member;

use crate::state::State;
use crate::state::ejection::Shard;

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
                let effects = self
                    .configurations
                    .up(hello.instance, hello.configuration, now);
                self.apply(effects);
                self.reached(session);
            }
            node::Event::Down { session, .. } => self.down(session),
            node::Event::Failed { dialled } => self.fleet.failed(now, dialled),
            node::Event::Frame { session, frame } => self.frame(session, frame),
        }
    }

    fn reached(&mut self, session: SessionId) {
        let Some(link) = self.fleet.links().get(session).cloned() else {
            return;
        };
        if let Some(group) = self.admits.get(&link.instance).cloned() {
            self.router.set_session_up(&group, true);
            self.retries.is_stale = true;
        }
        self.resume_all(&link);
    }

    fn down(&mut self, session: SessionId) {
        let now = self.clock.now();
        let Some((link, true)) = self.fleet.down(now, session) else {
            return;
        };
        if let Some(group) = self.admits.get(&link.instance).cloned() {
            self.router.set_session_up(&group, false);
            self.retries.is_stale = true;
        }
        self.claims_lost(&link.instance);
        let effects = self.configurations.down(link.instance, now);
        self.apply(effects);
    }

    fn frame(&mut self, session: SessionId, frame: Frame) {
        let now = self.clock.now();
        let Some(link) = self.fleet.links().get(session).cloned() else {
            return;
        };
        match frame {
            Frame::Heartbeat(beat) => {
                let acts = self.fleet.beat(now, session, &beat);
                self.act(acts);
                self.heartbeat(&link.instance, beat);
            }
            Frame::Control(control) if control.topic == Topic::Limits => {
                self.limit_message(&link, &control.bytes);
            }
            Frame::Control(control) if control.topic == Topic::Membership => {
                let acts = self.fleet.rumours(now, session, &control.bytes);
                self.act(acts);
            }
            Frame::Found(found) => {
                let stream = found.stream;
                if self.search_found(stream, &link, &found) {
                    return;
                }
                self.claim_found(stream, &link.instance, &found);
                self.resume_found(stream, &link, &found);
            }
            other => {
                let effects = self.configurations.frame(link.instance, other, now);
                self.apply(effects.unwrap_or_default());
            }
        }
    }

    fn heartbeat(&mut self, from: &InstanceId, beat: Heartbeat) {
        let now = self.clock.now();
        if let Some(group) = self.admits.get(from).cloned() {
            self.router.report(&group, beat.report, now);
        }
        let effects = self
            .configurations
            .heard(from.clone(), beat.configuration, now);
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
        let effects = self.configurations.reading(reading, now);
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
                Act::Send(session, frame) => {
                    self.send(session, frame);
                }
                Act::Stop(instance, _) if instance == self.settings.instance => {
                    self.stay.listed(self.clock.now());
                    self.beat_now();
                }
                Act::Stop(instance, _) => self.mark(&instance),
                Act::ReadList => {
                    let _ = self.ways.platform.push(reader::Order::Instances);
                }
            }
        }
    }

    /// Sends no new work to the group of an instance that leaves: its ranks leave together.
    fn mark(&mut self, instance: &InstanceId) {
        let checked = self.configurations.in_force();
        let group = checked.and_then(|checked| checked.group_of_instance(instance));
        if let Some(group) = group.cloned() {
            self.router.set_mark(&group, Mark::Leaving, true);
        }
    }

    /// Marks each group by the status of all its instances.
    pub(crate) fn mark_all(&mut self, now: Monotonic) {
        let Some(checked) = self.configurations.in_force() else {
            return;
        };
        let view = self.fleet.view();
        for group in self.admits.values() {
            let published = checked.group(group);
            let mut instances = published.iter().flat_map(|group| &group.instances);
            let leaves = instances.any(|name| view.status(name, now).leaving.is_some());
            self.router.set_mark(group, Mark::Leaving, leaves);
        }
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
                log::warn!(target: "entry", ring = "platform"; "ring full");
            }
        }
        if let Some(checked) = effects.install {
            self.install(&checked);
        }
    }

    fn install(&mut self, checked: &Arc<Checked>) {
        let now = self.clock.now();
        if let Err(error) = self.settings.check_against(checked.fleet()) {
            log::error!(target: "entry", error:% = error; "settings are not as published");
        }
        self.observe(checked);
        let me = &self.settings.instance;
        let drains = checked.drains(me);
        self.gossips = fleet::neighbours(me, checked);
        self.stay.configure(now, checked, drains);
        let acts = self.fleet.configure(now, checked, self.gossips.clone());
        self.act(acts);
        self.want();
        self.mark_all(now);
        self.tell_live();
        self.beat_now();
        self.catch_up();
    }

    /// Says which sessions are wanted: to admitting slots, for gossip, and to homes of limits.
    pub(crate) fn want(&mut self) {
        let now = self.clock.now();
        let all = self
            .admits
            .keys()
            .chain(&self.gossips)
            .chain(self.limits.homes());
        let wanted = all.cloned().collect();
        let acts = self.fleet.want(now, wanted);
        self.act(acts);
    }

    /// Takes pools and groups from a configuration.
    fn observe(&mut self, checked: &Arc<Checked>) {
        let now = self.clock.now();
        let known: Vec<GroupId> = self.router.groups().cloned().collect();
        for group in known.iter().filter(|group| checked.group(group).is_none()) {
            self.router.remove(group);
        }
        self.admits.clear();
        let mut slots: BTreeMap<_, Vec<InstanceId>> = BTreeMap::new();
        for (pool, published) in &checked.fleet().pools {
            for group in published.groups.keys() {
                let Some(slot) = checked.admitting(group) else {
                    continue;
                };
                let model = checked.placement(group).map(|it| it.model.clone());
                let served = model.is_some() || published.serves == Serves::Calls;
                let member = Member {
                    pool: pool.clone(),
                    model,
                    failure_domain: slot.failure_domain.clone(),
                };
                self.router.insert(group.clone(), member);
                let up = self.fleet.links().to(slot.instance).is_some();
                self.router.set_session_up(group, up);
                let drains = checked.group_drains(group) || !served;
                self.router.set_mark(group, Mark::Fenced, drains);
                self.admits.insert(slot.instance.clone(), group.clone());
                slots
                    .entry(pool.clone())
                    .or_default()
                    .push(slot.instance.clone());
            }
        }
        for (pool, slots) in slots {
            let candidates = self.candidates.entry(pool).or_default();
            candidates.observe(now, checked.revision(), &slots);
        }
        self.retries.is_stale = true;
    }

    /// Tells the judge of failures which groups could serve.
    pub(crate) fn observe_sessions(&mut self, now: Monotonic) {
        let Some(checked) = self.configurations.in_force() else {
            return;
        };
        let mut members: BTreeMap<Shard, Vec<GroupId>> = BTreeMap::new();
        for (pool, published) in &checked.fleet().pools {
            for group in published.groups.keys() {
                let slot = checked.admitting(group).map(|slot| slot.instance);
                let up = slot.is_some_and(|slot| self.fleet.links().to(slot).is_some());
                let model = checked.placement(group).map(|it| it.model.clone());
                let members = members.entry((pool.clone(), model)).or_default();
                if up && !checked.group_drains(group) {
                    members.push(group.clone());
                }
            }
        }
        let pools = &mut self.retries.pools;
        pools.observe(now, &members, &mut self.router);
    }

    /// Tells the exchange of configurations who is believed to live.
    pub(crate) fn tell_live(&mut self) {
        let now = self.clock.now();
        let Some(checked) = self.configurations.in_force().cloned() else {
            return;
        };
        if let Some(live) = self.fleet.live(now, &checked) {
            let effects = self.configurations.live(live, now);
            self.apply(effects);
        }
    }

    /// Returns the revision in force, 0 if there is none.
    pub(crate) fn revision(&self) -> Revision {
        self.configurations.head().map_or(0, |head| head.revision)
    }

    /// Returns whether a slot takes new work, as far as this entry knows.
    pub(crate) fn admits_work(&self, slot: &InstanceId) -> bool {
        let drains = self.configurations.in_force().is_some_and(|checked| {
            let group = checked.group_of_instance(slot);
            group.is_some_and(|group| checked.group_drains(group))
        });
        !drains && self.fleet.view().may_get_work(slot, self.clock.now())
    }

    /// Says what heartbeats carry from now on.
    pub(crate) fn beat(&mut self) {
        let configuration = self.configurations.head().map(Head::short);
        let beat = Heartbeat {
            leaving: self.stay.is_leaving(),
            admitting: !self.stay.is_leaving() && configuration.is_some(),
            configuration,
            ..Heartbeat::default()
        };
        let _ = self.ways.peers.push(node::Order::Beat(Box::new(beat)));
    }

    /// Tells all sessions at once what has changed.
    pub(crate) fn beat_now(&mut self) {
        self.beat();
        let _ = self.ways.peers.push(node::Order::BeatNow);
    }
}
