//! Stand-in for the configuration service and the instance list.
//!
//! Every read is counted as a call, and so is a watch that waits. Values and the list are set
//! under `/test` only; nothing else can write.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::pending;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use auburnline_registry::Instances;
use auburnline_registry::VERSION_HEADER;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::answer;
use crate::answer::Answer;
use crate::answer::Body;
use crate::server;
use crate::server::Handle;
use crate::server::Service as Serve;

/// Longest time that a watch may wait.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Stand-in for the platform.
#[derive(Debug)]
pub struct Platform;

/// How the platform fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Not at all.
    #[default]
    None,
    /// Connections are cut before an answer.
    Down,
    /// What was in force when this fault was set is told for as long as it stands.
    Stale,
    /// Every other read is as under [`Fault::Stale`].
    Flapping,
    /// Each call takes this much longer, in milliseconds.
    Slow(u64),
    /// Calls are never answered.
    Silent,
}

/// Counts of calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// All calls so far.
    pub total: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// Calls in each second since the start, the last one not yet over.
    pub per_second: Vec<u64>,
    /// Calls by the first part of the key, and `instances`.
    pub by_kind: BTreeMap<String, u64>,
}

#[derive(Clone, Debug, Default)]
struct Published {
    values: BTreeMap<String, (u64, Bytes)>,
    instances: Instances,
}

impl Platform {
    /// Starts a platform on a thread of its own.
    ///
    /// # Errors
    ///
    /// Returns why it can't listen.
    pub fn start(listen: SocketAddr) -> io::Result<Handle> {
        server::start(listen, Api::new)
    }

    /// Starts a platform on a port of the kernel's choice.
    ///
    /// # Errors
    ///
    /// Returns why it can't listen.
    pub fn start_anywhere() -> io::Result<Handle> {
        Self::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
    }
}

#[derive(Debug)]
struct Api {
    start: Instant,
    now: RefCell<Published>,
    /// What was published when the fault was set.
    old: RefCell<Published>,
    fault: Cell<Fault>,
    flaps: Cell<bool>,
    calls: RefCell<Calls>,
    changed: watch::Sender<()>,
}

/// A watch that waits, counted while it lives.
struct Waiting<'a>(&'a Api);

impl<'a> Waiting<'a> {
    fn new(api: &'a Api) -> Self {
        api.calls.borrow_mut().waiting += 1;
        Self(api)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.calls.borrow_mut().waiting -= 1;
    }
}

impl Api {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            now: RefCell::default(),
            old: RefCell::default(),
            fault: Cell::default(),
            flaps: Cell::default(),
            calls: RefCell::default(),
            changed: watch::Sender::new(()),
        }
    }

    fn count(&self, kind: &str) {
        let mut calls = self.calls.borrow_mut();
        let second = usize::try_from(self.start.elapsed().as_secs()).unwrap_or(0);
        calls.total += 1;
        calls.per_second.resize(second + 1, 0);
        calls.per_second[second] += 1;
        *calls.by_kind.entry(kind.to_owned()).or_default() += 1;
    }

    /// Fails as the fault asks for, before a read.
    async fn fail(&self) -> Result<(), io::Error> {
        match self.fault.get() {
            Fault::Down => Err(answer::cut()),
            Fault::Silent => pending().await,
            Fault::Slow(time) => {
                sleep(Duration::from_millis(time)).await;
                Ok(())
            }
            Fault::None | Fault::Stale | Fault::Flapping => Ok(()),
        }
    }

    /// Returns what is told now: the newest, or the old under a fault.
    fn told(&self) -> &RefCell<Published> {
        let old = match self.fault.get() {
            Fault::Stale => true,
            Fault::Flapping => self.flaps.replace(!self.flaps.get()),
            _ => false,
        };
        if old { &self.old } else { &self.now }
    }

    async fn value(&self, request: Request<Incoming>, key: &str) -> Answer {
        self.count(key.split('/').next().unwrap_or(key));
        self.fail().await?;
        let after = answer::number(&request, "after");
        let wait =
            answer::number(&request, "wait_ms").map_or(Duration::ZERO, Duration::from_millis);
        let until = Instant::now() + wait.min(MAX_WAIT);
        let mut changed = self.changed.subscribe();
        let _waiting = after.map(|_| Waiting::new(self));
        loop {
            let found = self.told().borrow().values.get(key).cloned();
            match (found, after) {
                (Some((version, bytes)), after) if after.is_none_or(|after| version > after) => {
                    return Ok(value(version, bytes));
                }
                (None, None) => {
                    let status = StatusCode::NOT_FOUND;
                    return Ok(answer::bytes(status, "text/plain", "no such key"));
                }
                _ => {}
            }
            if timeout_at(until, changed.changed()).await.is_err() {
                let status = StatusCode::NOT_MODIFIED;
                return Ok(answer::bytes(status, "text/plain", Bytes::new()));
            }
            self.fail().await?;
        }
    }

    async fn put(&self, request: Request<Incoming>, key: &str) -> Answer {
        let version = request
            .headers()
            .get(VERSION_HEADER)
            .and_then(|version| version.to_str().ok()?.parse().ok());
        let bytes = answer::body(request).await?;
        let mut now = self.now.borrow_mut();
        let before = now.values.get(key).map_or(0, |value| value.0);
        let version: u64 = version.unwrap_or(before + 1);
        now.values.insert(key.to_owned(), (version, bytes));
        drop(now);
        self.changed.send_replace(());
        Ok(answer::ok(&version))
    }

    async fn put_instances(&self, request: Request<Incoming>) -> Answer {
        Ok(match answer::read::<Instances>(request).await? {
            Ok(instances) => {
                self.now.borrow_mut().instances = instances;
                answer::ok(&())
            }
            Err(refusal) => refusal,
        })
    }

    async fn set_fault(&self, request: Request<Incoming>) -> Answer {
        Ok(match answer::read::<Fault>(request).await? {
            Ok(fault) => {
                self.old.replace(self.now.borrow().clone());
                self.fault.set(fault);
                self.changed.send_replace(());
                answer::ok(&())
            }
            Err(refusal) => refusal,
        })
    }
}

impl Serve for Api {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let reads = request.method() == Method::GET;
        if let Some(key) = path.strip_prefix("/v1/values/")
            && reads
        {
            return self.value(request, key).await;
        }
        if let Some(key) = path.strip_prefix("/test/values/")
            && request.method() == Method::PUT
        {
            return self.put(request, key).await;
        }
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/instances") => {
                self.count("instances");
                self.fail().await?;
                Ok(answer::ok(&self.told().borrow().instances))
            }
            (&Method::PUT, "/test/instances") => self.put_instances(request).await,
            (&Method::POST, "/test/fault") => self.set_fault(request).await,
            (&Method::GET, "/test/calls") => Ok(answer::ok(&*self.calls.borrow())),
            _ => Ok(answer::not_found()),
        }
    }
}

fn value(version: u64, bytes: Bytes) -> Response<Body> {
    let mut response = answer::bytes(StatusCode::OK, "application/octet-stream", bytes);
    response
        .headers_mut()
        .insert(VERSION_HEADER, version.into());
    response
}
