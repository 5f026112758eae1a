//! The thread that serves operators.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::thread::JoinHandle;

use dropshot::ConfigDropshot;
use dropshot::HandlerTaskMode;
use dropshot::HttpServer;
use dropshot::ServerBuilder;
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::sync::oneshot;

use crate::api;
use crate::api::Context;
use crate::front;
use crate::source::Source;
use crate::token::Token;

/// Most connections unless told otherwise.
const MAX_CONNECTIONS: usize = 64;
/// Largest body; no call has one.
const MAX_BODY_BYTES: usize = 1_024;
/// Largest sum of headers unless told otherwise.
const MAX_HEADER_BYTES: usize = 8_192;

/// Builder of a [`Server`].
pub struct Options {
    address: SocketAddr,
    token: Token,
    max_connections: usize,
    max_header_bytes: usize,
}

impl Options {
    /// Returns the options of a server on `address` that asks for `token`.
    #[must_use]
    pub fn new(address: SocketAddr, token: &str) -> Options {
        Options {
            address,
            token: Token::new(token),
            max_connections: MAX_CONNECTIONS,
            max_header_bytes: MAX_HEADER_BYTES,
        }
    }

    /// Sets the most connections at once.
    #[must_use]
    pub fn max_connections(mut self, most: usize) -> Options {
        self.max_connections = most;
        self
    }

    /// Sets the largest sum of a request's headers, in bytes.
    #[must_use]
    pub fn max_header_bytes(mut self, most: usize) -> Options {
        self.max_header_bytes = most;
        self
    }

    /// Starts the server on a thread of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound or the thread can't start.
    pub fn start(self, source: Arc<dyn Source>, log: slog::Logger) -> io::Result<Server> {
        let listener = std::net::TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let (started, start) = sync_channel(1);
        let thread = thread::Builder::new()
            .name("operator".to_owned())
            .spawn(move || serve(&self, listener, source, &log, &started, stopped))?;
        start.recv().map_err(io::Error::other)??;
        Ok(Server {
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }
}

/// Running server; it stops when it is dropped.
pub struct Server {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Returns the address that was bound.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was printed; there is nothing left to do about it.
            let _ = thread.join();
        }
    }
}

fn serve(
    options: &Options,
    listener: std::net::TcpListener,
    source: Arc<dyn Source>,
    log: &slog::Logger,
    started: &SyncSender<io::Result<()>>,
    stopped: oneshot::Receiver<()>,
) {
    let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            let _ = started.send(Err(error));
            return;
        }
    };
    runtime.block_on(async {
        let parts = TcpListener::from_std(listener)
            .and_then(|listener| Ok((listener, inner(options, source, log)?)));
        let (listener, server) = match parts {
            Ok(parts) => parts,
            Err(error) => {
                let _ = started.send(Err(error));
                return;
            }
        };
        let _ = started.send(Ok(()));
        tokio::select! {
            () = front::run(listener, server.local_addr(), options.max_connections) => {}
            _ = stopped => {}
        }
    });
    // Connections that are still open end with the runtime.
    runtime.shutdown_background();
}

fn inner(
    options: &Options,
    source: Arc<dyn Source>,
    log: &slog::Logger,
) -> io::Result<HttpServer<Context>> {
    let context = Context {
        source,
        token: options.token.clone(),
        max_header_bytes: options.max_header_bytes,
    };
    let config = ConfigDropshot {
        bind_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        default_request_body_max_bytes: MAX_BODY_BYTES,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(
        api::description().map_err(io::Error::other)?,
        context,
        log.clone(),
    )
    .config(config)
    .start()
    .map_err(io::Error::other)
}
