//! Stand-in for the weight store: `GET /v1/weights/NAME?bytes=N` at a rate that all readers share.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt as _;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::answer;
use crate::answer::Answer;
use crate::effects::Effects;
use crate::effects::Event;
use crate::server;
use crate::server::Handle;
use crate::server::Service;

/// Bytes that are sent at once.
const CHUNK_BYTES: u64 = 64 << 10;
/// Chunks that may wait for a slow reader.
const WAITING_CHUNKS: usize = 2;

/// Stand-in for the weight store.
#[derive(Debug)]
pub struct Weights;

/// Settings of the weight store's stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Bytes a second over all readers.
    pub rate: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            rate: 256 << 20,
        }
    }
}

impl Weights {
    /// Starts a weight store on a thread of its own.
    ///
    /// # Errors
    ///
    /// Returns why it can't listen.
    pub fn start(config: Config) -> io::Result<Handle> {
        server::start(config.listen, move || Api {
            rate: config.rate.max(1),
            free: Cell::new(Instant::now()),
            effects: RefCell::default(),
        })
    }
}

#[derive(Debug)]
struct Api {
    rate: u64,
    /// When the store may send again.
    free: Cell<Instant>,
    effects: RefCell<Effects>,
}

impl Api {
    /// Takes its turn for `bytes`, and returns when they may go.
    fn turn(&self, bytes: u64) -> Instant {
        let time = Duration::from_nanos(bytes.saturating_mul(1_000_000_000) / self.rate);
        let start = self.free.get().max(Instant::now());
        self.free.set(start + time);
        start + time
    }

    async fn send(self: Rc<Self>, mut bytes: u64, parts: mpsc::Sender<Bytes>) {
        while bytes > 0 {
            let chunk = bytes.min(CHUNK_BYTES);
            sleep_until(self.turn(chunk)).await;
            let length = usize::try_from(chunk).unwrap_or(0);
            if parts.send(Bytes::from(vec![0; length])).await.is_err() {
                return;
            }
            bytes -= chunk;
        }
    }
}

impl Service for Api {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        if request.method() != Method::GET {
            return Ok(answer::not_found());
        }
        if path == "/test/effects" {
            let lines = self.effects.borrow().lines();
            return Ok(answer::bytes(StatusCode::OK, "application/jsonl", lines));
        }
        let Some(name) = path.strip_prefix("/v1/weights/") else {
            return Ok(answer::not_found());
        };
        let bytes = answer::number(&request, "bytes").unwrap_or(CHUNK_BYTES);
        self.effects
            .borrow_mut()
            .push(Event::Started, name, bytes.to_string());
        let (sender, receiver) = mpsc::channel(WAITING_CHUNKS);
        spawn_local(Rc::clone(&self).send(bytes, sender));
        let parts = stream::unfold(receiver, |mut receiver| async {
            let part = receiver.recv().await?;
            Some((Ok(Frame::data(part)), receiver))
        });
        let mut response = answer::bytes(StatusCode::OK, "application/octet-stream", Bytes::new());
        *response.body_mut() = StreamBody::new(parts).boxed_unsync();
        Ok(response)
    }
}
