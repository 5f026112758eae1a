//! Relay between two ends of a TCP connection that cuts, delays or goes silent on demand.
//!
//! `POST /test/relay` on a second port sets the [`Mode`]. A connection that went silent stays so
//! for good, also when the mode changes: neither end hears that the other left. Only a cut ends it.
//!
//! `POST /test/apart` names who is cut off, as if the others were in another part of a parted
//! network: connections whose first bytes hold one of the names are reset.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::pending;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use http::Request;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use socket2::SockRef;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::select;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::answer;
use crate::answer::Answer;
use crate::server;
use crate::server::Handle;
use crate::server::Service;
use crate::server::Stop;

/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 << 10;
/// Chunks on their way in one direction.
const WAITING_CHUNKS: usize = 256;

/// What the relay does with connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Passes all on.
    #[default]
    Pass,
    /// Resets open connections and refuses new ones.
    Cut,
    /// Keeps connections open and passes nothing.
    Silent {
        /// Whether new connections work.
        new: bool,
    },
    /// Passes all on, this many milliseconds later.
    Delay(u64),
}

/// A mode with the number of changes so far, and who is cut off.
#[derive(Clone, Debug, Default)]
struct Order {
    mode: Mode,
    number: u64,
    apart: Vec<String>,
}

impl Order {
    /// Whether a connection that began with these bytes is cut off.
    fn parts(&self, head: &[u8]) -> bool {
        let holds = |name: &String| {
            let mut windows = head.windows(name.len().max(1));
            windows.any(|window| window == name.as_bytes())
        };
        self.apart.iter().any(holds)
    }
}

/// First bytes of a connection, from the end that opened it.
#[derive(Debug, Default)]
struct Head {
    bytes: RefCell<Vec<u8>>,
    came: Notify,
}

/// Relay between two ends.
#[derive(Debug)]
pub struct Relay {
    data: Handle,
    control: Handle,
}

impl Relay {
    /// Starts a relay to `to`, with its control on a port of its own.
    ///
    /// # Errors
    ///
    /// Returns why it can't listen.
    pub fn start(listen: SocketAddr, control: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let (orders, order) = watch::channel(Order::default());
        let control = server::start(control, move || Control { orders })?;
        let data = server::spawn(listen, move |listener, stop| {
            relay(listener, stop, to, order)
        })?;
        Ok(Self { data, control })
    }

    /// Starts a relay on ports of the kernel's choice.
    ///
    /// # Errors
    ///
    /// Returns why it can't listen.
    pub fn start_anywhere(to: SocketAddr) -> io::Result<Self> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self::start(any, any, to)
    }

    /// Returns the address that passes on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.data.address()
    }

    /// Returns the address that takes modes.
    #[must_use]
    pub const fn control(&self) -> SocketAddr {
        self.control.address()
    }

    /// Stops it and drops all connections.
    pub fn stop(self) {
        self.data.kill();
        self.control.kill();
    }
}

#[derive(Debug)]
struct Control {
    orders: watch::Sender<Order>,
}

impl Service for Control {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/test/relay") => self.set_mode(request).await,
            (&Method::POST, "/test/apart") => self.set_apart(request).await,
            _ => Ok(answer::not_found()),
        }
    }
}

impl Control {
    async fn set_mode(&self, request: Request<Incoming>) -> Answer {
        Ok(match answer::read::<Mode>(request).await? {
            Ok(mode) => {
                self.orders.send_modify(|order| {
                    order.mode = mode;
                    order.number += 1;
                });
                answer::ok(&())
            }
            Err(refusal) => refusal,
        })
    }

    async fn set_apart(&self, request: Request<Incoming>) -> Answer {
        Ok(match answer::read::<Vec<String>>(request).await? {
            Ok(apart) => {
                self.orders.send_modify(|order| order.apart = apart);
                answer::ok(&())
            }
            Err(refusal) => refusal,
        })
    }
}

async fn relay(
    listener: TcpListener,
    mut stop: oneshot::Receiver<Stop>,
    to: SocketAddr,
    order: watch::Receiver<Order>,
) {
    let mut connections = JoinSet::new();
    loop {
        select! {
            _ = &mut stop => return,
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn_local(connection(stream, to, order.clone()));
                }
            }
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
}

/// How the passing of a connection ends.
enum End {
    Done,
    Cut,
    Silent,
}

async fn connection(near: TcpStream, to: SocketAddr, mut order: watch::Receiver<Order>) {
    let mode = order.borrow_and_update().mode;
    match mode {
        Mode::Cut => return reset(&near),
        Mode::Silent { new: false } => {
            cut(&mut order).await;
            return reset(&near);
        }
        _ => {}
    }
    match TcpStream::connect(to).await {
        Ok(far) => joined(near, far, order, delay(mode)).await,
        Err(_) => reset(&near),
    }
}

async fn joined(
    mut near: TcpStream,
    mut far: TcpStream,
    mut order: watch::Receiver<Order>,
    late: Duration,
) {
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let late = Cell::new(late);
    let head = Head::default();
    let asked = order.clone();
    let end = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let passing = async {
            tokio::join!(
                pass(near_read, far_write, &late, Some((&head, &asked))),
                pass(far_read, near_write, &late, None)
            )
        };
        select! {
            _ = passing => End::Done,
            end = ordered(&mut order, &late, &head) => end,
        }
    };
    match end {
        End::Done => return,
        End::Cut => {}
        End::Silent => cut(&mut order).await,
    }
    reset(&near);
    reset(&far);
}

/// Follows the orders until one of them ends the passing.
async fn ordered(order: &mut watch::Receiver<Order>, late: &Cell<Duration>, head: &Head) -> End {
    loop {
        let changed = select! {
            changed = order.changed() => match changed {
                Ok(()) => true,
                Err(_) => pending().await,
            },
            () = head.came.notified() => false,
        };
        let now = order.borrow_and_update().clone();
        if now.parts(&head.bytes.borrow()) {
            return End::Cut;
        }
        match now.mode {
            _ if !changed => {}
            Mode::Cut => return End::Cut,
            Mode::Silent { .. } => return End::Silent,
            Mode::Pass | Mode::Delay(_) => late.set(delay(now.mode)),
        }
    }
}

/// Waits for an order to cut.
async fn cut(order: &mut watch::Receiver<Order>) {
    let ordered = order
        .wait_for(|order| order.mode == Mode::Cut)
        .await
        .is_ok();
    if !ordered {
        pending::<()>().await;
    }
}

/// Passes one direction on; the first bytes of who opened the connection are noted.
async fn pass(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    late: &Cell<Duration>,
    head: Option<(&Head, &watch::Receiver<Order>)>,
) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(WAITING_CHUNKS);
    let read = async move {
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(length @ 1..) = from.read(&mut chunk).await {
            if let Some((head, order)) = head.filter(|(head, _)| head.bytes.borrow().is_empty()) {
                head.bytes.replace(chunk[..length].to_vec());
                head.came.notify_one();
                if order.borrow().parts(&chunk[..length]) {
                    pending::<()>().await;
                }
            }
            let part = (Instant::now() + late.get(), chunk[..length].to_vec());
            if sender.send(part).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((at, part)) = receiver.recv().await {
            if at > Instant::now() {
                sleep_until(at).await;
            }
            if to.write_all(&part).await.is_err() {
                return;
            }
        }
        let _ = to.shutdown().await;
    };
    tokio::join!(read, write);
}

const fn delay(mode: Mode) -> Duration {
    match mode {
        Mode::Delay(time) => Duration::from_millis(time),
        _ => Duration::ZERO,
    }
}

/// Lets the close of a socket reset its connection.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
