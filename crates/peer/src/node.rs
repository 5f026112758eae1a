//! The sessions of one process.
//!
//! A node runs in a duty of its own. It takes [`Order`]s over a ring and gives [`Event`]s to a
//! [`Handler`] on its own thread, so that the bytes of answers need not pass through the deciding
//! duty. It dials what it is told to dial, accepts what comes, greets, sends heartbeats, and closes
//! a session that was silent for too long or whose queue is full. It never dials again by itself.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use auburnline_core::id::Incarnation;
use auburnline_core::id::InstanceId;
use auburnline_duty::ring;
use auburnline_membership::heartbeat;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::session;
use crate::traffic::Traffic;
use crate::wire::Frame;
use crate::wire::Heartbeat;
use crate::wire::Hello;
use crate::wire::VERSION;

/// Number of a session in its own process.
pub type SessionId = u64;

/// Time to wait after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a node needs to know of its process.
#[derive(Clone, Debug)]
pub struct Config {
    pub(crate) instance: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) started: Instant,
    pub(crate) heartbeat: Duration,
    pub(crate) silence: Duration,
    pub(crate) queue: usize,
    pub(crate) sessions: usize,
}

impl Config {
    /// Frames that may wait for one session.
    pub const QUEUE: usize = 8192;
    /// Sessions that a node accepts.
    pub const SESSIONS: usize = 2048;

    /// Starts from the defaults.
    #[must_use]
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Config {
        Config {
            instance,
            incarnation,
            started: Instant::now(),
            heartbeat: Duration::from_millis(250),
            silence: Duration::from_secs(1),
            queue: Config::QUEUE,
            sessions: Config::SESSIONS,
        }
    }

    /// Sets the time between heartbeats; with many sessions it is longer.
    #[must_use]
    pub fn heartbeat(mut self, heartbeat: Duration) -> Config {
        self.heartbeat = heartbeat;
        self
    }

    /// Sets the silence after which a session is closed, unless the peer said that it beats slower.
    #[must_use]
    pub fn silence(mut self, silence: Duration) -> Config {
        self.silence = silence;
        self
    }

    /// Sets how many frames may wait for one session.
    #[must_use]
    pub fn queue(mut self, queue: usize) -> Config {
        self.queue = queue;
        self
    }
}

/// What a node is told to do; `N` is what its handler is told.
#[derive(Debug)]
pub enum Order<N> {
    /// Give this to the handler.
    Note(N),
    /// Open a session; ends in `Up` or `Failed`.
    Dial(SocketAddr),
    /// Send a frame; dropped if the session is gone, which `Down` has told or will tell.
    Send(SessionId, Frame),
    /// Close a session.
    Close(SessionId),
    /// Content of heartbeats from now on.
    Beat(Box<Heartbeat>),
    /// Send heartbeats to all sessions now.
    BeatNow,
    /// Close all sessions and end.
    Stop,
}

/// What happened at a node.
#[derive(Debug)]
pub enum Event {
    /// A session is up.
    Up {
        /// Its number.
        session: SessionId,
        /// What the peer said of itself.
        hello: Hello,
        /// Address that was dialled; `None` if the peer dialled.
        dialled: Option<SocketAddr>,
    },
    /// A session that was up is gone.
    Down {
        /// Its number.
        session: SessionId,
        /// Why.
        reason: Reason,
    },
    /// A dial did not lead to a session.
    Failed {
        /// Address that was dialled.
        dialled: SocketAddr,
    },
    /// A frame came.
    Frame {
        /// Session that it came by.
        session: SessionId,
        /// The frame.
        frame: Frame,
    },
}

impl Event {
    /// Returns the session that the event is about.
    #[must_use]
    pub const fn session(&self) -> Option<SessionId> {
        match self {
            Event::Up { session, .. }
            | Event::Down { session, .. }
            | Event::Frame { session, .. } => Some(*session),
            Event::Failed { .. } => None,
        }
    }
}

/// Why a session is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The peer closed it, or the network did.
    Closed,
    /// Nothing came for too long.
    Silent,
    /// Bytes came that are no frame.
    Malformed,
    /// The peer did not take its frames fast enough.
    Overflow,
    /// This process closed it.
    Ordered,
}

/// Takes events on the node's thread.
pub trait Handler {
    /// What the deciding duty tells the handler, in order with the frames it sends.
    type Note;

    /// Takes one event and returns a reply to its session, if any; must not block.
    fn handle(&mut self, event: Event) -> Option<Frame>;

    /// Takes one note; must not block.
    fn note(&mut self, note: Self::Note);
}

/// State that a node's tasks share on their one thread.
pub(crate) struct Shared<H> {
    pub(crate) config: Config,
    pub(crate) handler: RefCell<H>,
    pub(crate) beat: RefCell<(Heartbeat, Instant)>,
    pub(crate) traffic: Traffic,
    sessions: RefCell<BTreeMap<SessionId, session::Handle>>,
    next: RefCell<SessionId>,
}

impl<H: Handler> Shared<H> {
    /// Gives an event to the handler.
    pub(crate) fn tell(&self, event: Event) {
        let session = event.session();
        let reply = self.handler.borrow_mut().handle(event);
        if let (Some(session), Some(frame)) = (session, reply) {
            self.send(session, frame);
        }
    }

    fn send(&self, session: SessionId, frame: Frame) {
        if let Some(handle) = self.sessions.borrow().get(&session) {
            handle.send(frame);
        }
    }

    /// Returns the heartbeat as it is now, with ages grown and the time until the next.
    pub(crate) fn heartbeat(&self) -> Heartbeat {
        let (beat, since) = &*self.beat.borrow();
        let mut beat = beat.clone();
        beat.report.age += since.elapsed();
        beat.next = self.period();
        beat
    }

    /// Returns the time between two heartbeats, longer the more sessions there are.
    pub(crate) fn period(&self) -> Duration {
        heartbeat::period_at_least(self.config.heartbeat, self.sessions.borrow().len())
    }

    /// Returns this side's greeting.
    pub(crate) fn hello(&self) -> Hello {
        Hello {
            version: VERSION,
            instance: self.config.instance.clone(),
            incarnation: self.config.incarnation,
            uptime: self.config.started.elapsed(),
            configuration: self.beat.borrow().0.configuration.clone(),
        }
    }

    fn enter(&self, handle: session::Handle) -> SessionId {
        let mut next = self.next.borrow_mut();
        *next += 1;
        self.sessions.borrow_mut().insert(*next, handle);
        *next
    }

    fn leave(&self, session: SessionId) {
        self.sessions.borrow_mut().remove(&session);
    }
}

/// Binds the listening socket of a node.
///
/// # Errors
///
/// The system's error if the address can't be bound.
pub fn bind(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Runs a node until it is told to stop or its ring of orders ends.
///
/// # Errors
///
/// The system's error if the listener can't be used by the runtime.
pub async fn run<H: Handler + 'static>(
    config: Config,
    listener: std::net::TcpListener,
    mut orders: ring::Receiver<Order<H::Note>>,
    handler: H,
) -> std::io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let shared = Rc::new(Shared {
        config,
        handler: RefCell::new(handler),
        beat: RefCell::new((Heartbeat::default(), Instant::now())),
        traffic: Traffic::new(),
        sessions: RefCell::default(),
        next: RefCell::default(),
    });
    let accepting = spawn_local(accept(Rc::clone(&shared), listener));
    while let Some(order) = orders.pop().await {
        if matches!(order, Order::Stop) {
            break;
        }
        obey(&shared, order);
    }
    accepting.abort();
    let sessions = std::mem::take(&mut *shared.sessions.borrow_mut());
    for handle in sessions.into_values() {
        handle.close();
    }
    Ok(())
}

async fn accept<H: Handler + 'static>(shared: Rc<Shared<H>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok(_) if shared.sessions.borrow().len() >= shared.config.sessions => {
                log::warn!(target: "peer", limit = shared.config.sessions; "too many sessions");
            }
            Ok((stream, _)) => {
                spawn_local(serve(Rc::clone(&shared), stream, None));
            }
            Err(error) => {
                log::warn!(target: "peer", error:% = error; "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn obey<H: Handler + 'static>(shared: &Rc<Shared<H>>, order: Order<H::Note>) {
    match order {
        Order::Dial(address) => {
            spawn_local(dial(Rc::clone(shared), address));
        }
        Order::Note(note) => shared.handler.borrow_mut().note(note),
        Order::Send(session, frame) => shared.send(session, frame),
        Order::Close(session) => {
            if let Some(handle) = shared.sessions.borrow().get(&session) {
                handle.close();
            }
        }
        Order::Beat(beat) => *shared.beat.borrow_mut() = (*beat, Instant::now()),
        Order::BeatNow => {
            let beat = shared.heartbeat();
            for handle in shared.sessions.borrow().values() {
                handle.send(Frame::Heartbeat(beat.clone()));
            }
        }
        Order::Stop => {}
    }
}

async fn dial<H: Handler + 'static>(shared: Rc<Shared<H>>, address: SocketAddr) {
    let bound = shared.config.silence;
    match timeout(bound, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => serve(shared, stream, Some(address)).await,
        _ => shared.tell(Event::Failed { dialled: address }),
    }
}

async fn serve<H: Handler + 'static>(
    shared: Rc<Shared<H>>,
    stream: TcpStream,
    dialled: Option<SocketAddr>,
) {
    let greeted = session::greet(&shared, stream).await;
    let Some(open) = greeted else {
        if let Some(dialled) = dialled {
            shared.tell(Event::Failed { dialled });
        }
        return;
    };
    let (handle, queue) = session::Handle::new(shared.config.queue);
    let session = shared.enter(handle.clone());
    let hello = open.hello.clone();
    shared.tell(Event::Up {
        session,
        hello,
        dialled,
    });
    let reason = session::run(&shared, session, open, handle, queue).await;
    shared.leave(session);
    shared.tell(Event::Down { session, reason });
}
