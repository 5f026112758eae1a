//! The deciding duty: ledger, queue, sessions, configuration.
//!
//! All decisions are made on this thread, one event after the other. [`work`] takes requests from
//! submission to their end, [`stream`] sends answers to whoever asks for them, and [`fleet`] keeps
//! configuration and sessions.

mod experts;
mod fleet;
mod glance;
mod stream;
mod work;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use auburnline_attempt::candidates::Candidates;
use auburnline_attempt::ledger::Bounds;
use auburnline_attempt::ledger::Ledger;
use auburnline_core::id::Incarnation;
use auburnline_core::id::RequestId;
use auburnline_core::load::Report;
use auburnline_core::time::Monotonic;
use auburnline_duty::clock::Clock;
use auburnline_duty::memory::Limit;
use auburnline_duty::ring;
use auburnline_limits::queue;
use auburnline_limits::queue::Queue;
use auburnline_peer::node;
use auburnline_peer::node::SessionId;
use auburnline_peer::wire::Frame;
use auburnline_process::board::Board;
use auburnline_process::exchange::Exchange;
use auburnline_process::fleet::Fleet;
use auburnline_process::reader;
use auburnline_process::stay::Stay;
use auburnline_settings::Slot;

use self::experts::Experts;
use self::stream::Subscriber;
use self::work::Job;
use crate::event::Event;
use crate::upstream;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(50);
/// Least time that a slot which leaves answers those who have not heard of it.
const LINGER: Duration = Duration::from_secs(1);
/// Part of the heap for requests, and for the answers that are kept: a quarter each.
const PARTS: usize = 4;
/// Events taken at once.
const BATCH: usize = 1024;

/// Rings to the other duties.
pub(crate) struct Ways {
    pub(crate) board: Arc<Board>,
    pub(crate) peers: ring::Sender<node::Order<()>>,
    pub(crate) upstream: ring::Sender<upstream::Order>,
    pub(crate) platform: ring::Sender<reader::Order>,
}

/// State of the deciding duty.
pub(crate) struct State {
    settings: Slot,
    clock: Clock,
    incarnation: Incarnation,
    ways: Ways,
    ledger: Ledger,
    queue: Queue<RequestId>,
    jobs: BTreeMap<RequestId, Job>,
    subscribers: BTreeMap<RequestId, Vec<Subscriber>>,
    fleet: Fleet,
    stay: Stay,
    exchange: Exchange,
    /// Admitting slots of this slot's pool.
    candidates: Candidates,
    experts: Option<Experts>,
    report: Report,
    reported: Monotonic,
}

impl State {
    /// Makes the state of a slot that has just started.
    pub(crate) fn new(
        settings: Slot,
        memory: Limit,
        clock: Clock,
        incarnation: Incarnation,
        ways: Ways,
    ) -> State {
        let now = clock.now();
        let bounds = Bounds {
            bytes: settings.limits.max_answer_bytes.min(memory.heap / PARTS),
            answer: settings.timing.answer_lifetime(),
            ..Bounds::default()
        };
        let queue = queue::Settings::builder()
            .max_running(settings.limits.max_running)
            .max_queued(settings.limits.max_in_flight)
            .max_bytes(memory.heap / PARTS)
            .build();
        let exchange = Exchange::new(
            settings.instance.clone(),
            settings.failure_domain.clone(),
            incarnation,
            now,
        );
        let fleet = Fleet::new(
            settings.instance.clone(),
            incarnation,
            settings.seeds.clone(),
        );
        let linger = LINGER.max(2 * settings.timing.heartbeat());
        let stay = Stay::new(linger, settings.timing.drain_deadline());
        State {
            clock,
            incarnation,
            ways,
            ledger: Ledger::new(now, incarnation, bounds),
            queue: Queue::new(queue),
            jobs: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            fleet,
            stay,
            exchange,
            candidates: Candidates::new(),
            experts: None,
            report: Report::default(),
            reported: now,
            settings,
        }
    }

    /// Takes events until the process may end.
    pub(crate) async fn run(mut self, mut inbox: ring::Receiver<Event>) {
        let mut ticks = tokio::time::interval(TICK);
        let mut events = Vec::with_capacity(BATCH);
        while !self.stay.is_over() {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                count = inbox.pop_many(&mut events, BATCH) => {
                    if count == 0 {
                        return;
                    }
                }
            }
            for event in events.drain(..) {
                self.take(event);
            }
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Peer(event) => self.peer(event),
            Event::Upstream(event) => self.upstream(event),
            Event::Platform(reading) => self.platform(reading),
            Event::Stop => {
                self.stay.signal(self.clock.now());
                self.follow();
            }
            Event::Drain => {
                self.stay.order(self.clock.now());
                self.follow();
            }
        }
    }

    fn frame(&mut self, session: SessionId, frame: Frame) {
        match frame {
            Frame::Submit(submit) => self.submit(session, &submit),
            Frame::Locate(reference) => self.locate(session, reference),
            Frame::Fence(stream, fence) => self.fence(session, stream, &fence),
            Frame::Cancel(reference) => self.cancel(session, reference),
            Frame::Attach(attach) => self.attach(session, &attach),
            Frame::Acknowledge(attach) => {
                let now = self.clock.now();
                self.ledger.acknowledge(now, &attach.id, attach.offset);
            }
            other => self.talk(session, other),
        }
    }

    fn upstream(&mut self, event: upstream::Event) {
        match event {
            upstream::Event::Bytes(id, bytes) => self.bytes(&id, &bytes),
            upstream::Event::Ended(id, end) => self.ended(&id, end),
            upstream::Event::Load(report) => self.load(report),
            upstream::Event::Ranks(ranks) => self.ranks(ranks),
            upstream::Event::Counts(counts) => self.counts(&counts),
        }
    }

    fn send(&self, session: SessionId, frame: Frame) {
        if self
            .ways
            .peers
            .push(node::Order::Send(session, frame))
            .is_err()
        {
            // A session that misses a frame must not go on as if it had it.
            log::error!(target: "slot", session; "ring of the peers' duty is full");
            let _ = self.ways.peers.push(node::Order::Close(session));
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.ledger.tick(now);
        for shed in self.queue.tick(now) {
            self.shed(shed);
        }
        self.pump();
        let effects = self.exchange.tick(now);
        self.apply(effects);
        self.tell_live();
        let acts = self.fleet.tick(now, self.exchange.spread().is_reader());
        self.act(acts);
        if self.subscribers.is_empty() {
            // Answers on their way keep a slot that leaves, and so does what runs.
            self.stay.tick(now);
        }
        self.tick_experts(now);
        self.beat();
        self.publish();
    }
}
