//! Server of one stand-in, on a thread of its own.

use std::convert::Infallible;
use std::future::Future;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::pin;
use tokio::runtime::Builder;
use tokio::select;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::answer::Answer;

/// Longest wait for open connections in a graceful stop.
const GRACE: Duration = Duration::from_secs(5);

/// How a stand-in ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stop {
    /// Requests in flight may end.
    Graceful,
    /// All connections are dropped.
    Now,
}

/// A running stand-in; to drop it drops its connections.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    stop: Option<oneshot::Sender<Stop>>,
    thread: Option<JoinHandle<()>>,
}

impl Handle {
    /// Returns the address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops it; requests in flight may end within a bound.
    pub fn stop(mut self) {
        self.end(Stop::Graceful);
    }

    /// Stops it at once, as if the process were killed.
    pub fn kill(mut self) {
        self.end(Stop::Now);
    }

    fn end(&mut self, stop: Stop) {
        if let Some(sender) = self.stop.take() {
            let _ = sender.send(stop);
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.end(Stop::Now);
    }
}

/// What a stand-in does with a request.
pub(crate) trait Service: 'static {
    /// Answers one request.
    fn answer(self: Rc<Self>, request: Request<Incoming>) -> impl Future<Output = Answer>;

    /// Does what goes on beside the requests.
    fn run(self: Rc<Self>) -> impl Future<Output = Infallible> {
        pending()
    }
}

/// Starts a stand-in that `build` makes on its own thread.
pub(crate) fn start<S: Service>(
    listen: SocketAddr,
    build: impl FnOnce() -> S + Send + 'static,
) -> io::Result<Handle> {
    spawn(listen, move |listener, stop| async move {
        serve(listener, Rc::new(build()), stop).await;
    })
}

/// Starts a thread that listens and runs `serve` until it is stopped.
pub(crate) fn spawn<F: Future<Output = ()>>(
    listen: SocketAddr,
    serve: impl FnOnce(TcpListener, oneshot::Receiver<Stop>) -> F + Send + 'static,
) -> io::Result<Handle> {
    let listener = StdListener::bind(listen)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let (stop, stopped) = oneshot::channel();
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let thread = thread::Builder::new()
        .name("standin".to_owned())
        .spawn(move || {
            let local = LocalSet::new();
            local.block_on(&runtime, async {
                match TcpListener::from_std(listener) {
                    Ok(listener) => serve(listener, stopped).await,
                    Err(error) => eprintln!("can't listen: {error}"),
                }
            });
        })?;
    Ok(Handle {
        address,
        stop: Some(stop),
        thread: Some(thread),
    })
}

async fn serve<S: Service>(
    listener: TcpListener,
    service: Rc<S>,
    mut stop: oneshot::Receiver<Stop>,
) {
    let (closing, closed) = watch::channel(false);
    let mut connections = JoinSet::new();
    let background = spawn_local(Rc::clone(&service).run());
    let how = loop {
        select! {
            how = &mut stop => break how.unwrap_or(Stop::Now),
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn_local(connection(stream, Rc::clone(&service), closed.clone()));
                }
            }
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    };
    drop(listener);
    if how == Stop::Graceful {
        closing.send_replace(true);
        let ended = async { while connections.join_next().await.is_some() {} };
        let _ = timeout(GRACE, ended).await;
    }
    background.abort();
}

async fn connection<S: Service>(
    stream: TcpStream,
    service: Rc<S>,
    mut closed: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let answer = service_fn(move |request| Rc::clone(&service).answer(request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), answer);
    pin!(connection);
    let stopped = select! {
        _ = &mut connection => false,
        _ = closed.wait_for(|closed| *closed) => true,
    };
    if stopped {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
