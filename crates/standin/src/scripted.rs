//! Upstream that answers each request with bytes that a test wrote, be they HTTP or not.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::server;
use crate::server::Handle;

/// Bytes that are read at once.
const CHUNK_BYTES: usize = 4 << 10;

/// What follows an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    /// The connection is closed.
    Close,
    /// The connection is reset.
    Reset,
    /// The connection stays open and carries nothing more.
    Hold,
    /// The connection takes another request.
    Again,
    /// The connection takes another request, and answers it with the same bytes.
    Twice,
    /// The answer goes byte by byte with this pause between, then the connection is closed.
    Trickle(Duration),
}

/// Answer to one request.
#[derive(Clone, Debug)]
pub struct Script {
    /// Bytes, passed on as they are.
    pub answer: Vec<u8>,
    /// What follows.
    pub then: Then,
}

impl Script {
    /// Returns a script.
    #[must_use]
    pub fn new(answer: impl Into<Vec<u8>>, then: Then) -> Self {
        Self {
            answer: answer.into(),
            then,
        }
    }
}

#[derive(Debug, Default)]
struct Shared {
    scripts: Vec<Script>,
    requests: Vec<Vec<u8>>,
    connections: usize,
}

/// Upstream that follows scripts, one a request; with none left it closes.
#[derive(Debug)]
pub struct Scripted {
    handle: Handle,
    shared: Arc<Mutex<Shared>>,
}

impl Scripted {
    /// Starts it on a port of the kernel's choice.
    ///
    /// # Errors
    ///
    /// Returns why it can't listen.
    pub fn start(mut scripts: Vec<Script>) -> io::Result<Self> {
        scripts.reverse();
        let shared = Arc::new(Mutex::new(Shared {
            scripts,
            ..Shared::default()
        }));
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let own = Arc::clone(&shared);
        let handle = server::spawn(any, move |listener, stop| async move {
            tokio::select! {
                _ = stop => {}
                () = serve(listener, own) => {}
            }
        })?;
        Ok(Self { handle, shared })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.handle.address()
    }

    /// Returns the whole requests that were read so far.
    #[must_use]
    pub fn requests(&self) -> Vec<Vec<u8>> {
        lock(&self.shared).requests.clone()
    }

    /// Returns the connections that were opened so far.
    #[must_use]
    pub fn connections(&self) -> usize {
        lock(&self.shared).connections
    }
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(listener: TcpListener, shared: Arc<Mutex<Shared>>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        lock(&shared).connections += 1;
        connections.spawn_local(connection(stream, Arc::clone(&shared)));
    }
}

async fn connection(mut stream: TcpStream, shared: Arc<Mutex<Shared>>) {
    let mut buffer = Vec::new();
    let mut kept: Option<Script> = None;
    while let Some(request) = request(&mut stream, &mut buffer).await {
        let script = {
            let mut shared = lock(&shared);
            shared.requests.push(request);
            kept.take().or_else(|| shared.scripts.pop())
        };
        let Some(script) = script else {
            return;
        };
        if !follow(&mut stream, &script).await {
            return;
        }
        kept = (script.then == Then::Twice).then_some(script);
    }
}

/// Answers one request; returns whether the connection takes another.
async fn follow(stream: &mut TcpStream, script: &Script) -> bool {
    if let Then::Trickle(pause) = script.then {
        for byte in &script.answer {
            sleep(pause).await;
            if stream.write_all(&[*byte]).await.is_err() {
                return false;
            }
        }
        return false;
    }
    if stream.write_all(&script.answer).await.is_err() {
        return false;
    }
    match script.then {
        Then::Again | Then::Twice => true,
        Then::Hold => std::future::pending().await,
        Then::Reset => {
            let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            false
        }
        Then::Close | Then::Trickle(_) => false,
    }
}

/// Reads one whole request.
async fn request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Vec<u8>> {
    loop {
        if let Some(length) = whole(buffer) {
            return Some(buffer.drain(..length).collect());
        }
        let mut chunk = [0; CHUNK_BYTES];
        match stream.read(&mut chunk).await {
            Ok(length @ 1..) => buffer.extend_from_slice(&chunk[..length]),
            _ => return None,
        }
    }
}

/// Returns the length of the first request, once it is whole.
fn whole(buffer: &[u8]) -> Option<usize> {
    let end = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buffer[..end]).to_ascii_lowercase();
    let body = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok())
        .unwrap_or(0);
    let length = end + body;
    (buffer.len() >= length).then_some(length)
}
