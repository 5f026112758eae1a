//! Stand-in for a plain service: a dispatch desk and case records.
//!
//! Reads may be repeated; each post has an effect of its own, also under a key that was seen, so
//! that a request that ran twice shows. Every answer repeats the idempotency key and the path, so
//! that an answer to another's request shows too.

use std::cell::RefCell;
use std::future::pending;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use auburnline_core::hash::stable;
use auburnline_core::id::RequestId;
use auburnline_service::KEY_HEADER;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::sleep;

use crate::answer;
use crate::answer::Answer;
use crate::answer::Body;
use crate::effects::Effects;
use crate::effects::Event;
use crate::server;
use crate::server::Handle;
use crate::server::Service as Serve;

/// Stand-in for a plain service.
#[derive(Debug)]
pub struct Service;

/// Settings of the service's stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Time of a call.
    pub time: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            time: Duration::ZERO,
        }
    }
}

/// Faults of a plain service; each post replaces all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Every call takes this much longer.
    pub stall_ms: u64,
    /// Calls take effect and are never answered.
    pub silent: bool,
    /// Calls are refused with this status, not run.
    pub refuse: Option<u16>,
    /// Calls take effect, then the connection is cut.
    pub kill_after_effect: bool,
    /// Calls take effect, then fail with status 500.
    pub fail_after_effect: bool,
}

/// Answer of the service to any call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Idempotency key of the call.
    pub key: RequestId,
    /// Path and query of the call.
    pub path: String,
    /// Number of the effect, zero for a read.
    pub effect: u64,
    /// What is on record.
    pub record: String,
}

impl Service {
    /// Starts a service on a thread of its own.
    ///
    /// # Errors
    ///
    /// Returns why it can't listen.
    pub fn start(config: Config) -> io::Result<Handle> {
        server::start(config.listen, move || Api {
            time: config.time,
            state: RefCell::default(),
        })
    }
}

#[derive(Debug)]
struct Api {
    time: Duration,
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    effects: Effects,
    count: u64,
}

impl Api {
    async fn call(&self, request: Request<Incoming>) -> Answer {
        let fault = self.state.borrow().fault.clone();
        if let Some(status) = fault.refuse {
            return Ok(answer::refused(status, "refused"));
        }
        let key: RequestId = request
            .headers()
            .get(KEY_HEADER)
            .and_then(|key| key.to_str().ok())
            .unwrap_or_default()
            .into();
        let path = request.uri().to_string();
        let reads = request.method() == Method::GET;
        let body = answer::body(request).await?;
        let effect = if reads { 0 } else { self.effect(&key, &path) };
        let time = self.time + Duration::from_millis(fault.stall_ms);
        if !time.is_zero() {
            sleep(time).await;
        }
        if fault.silent {
            pending::<()>().await;
        }
        if fault.kill_after_effect {
            return Err(answer::cut());
        }
        if fault.fail_after_effect {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return Ok(answer::bytes(status, "text/plain", "failed by a test"));
        }
        Ok(response(key, path, effect, &body))
    }

    fn effect(&self, key: &str, path: &str) -> u64 {
        let mut state = self.state.borrow_mut();
        state.count += 1;
        state.effects.push(Event::Started, key, path);
        state.count
    }

    async fn fault(&self, request: Request<Incoming>) -> Answer {
        Ok(match answer::read(request).await? {
            Ok(fault) => {
                self.state.borrow_mut().fault = fault;
                answer::ok(&())
            }
            Err(refusal) => refusal,
        })
    }
}

impl Serve for Api {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/test/fault") => self.fault(request).await,
            (&Method::GET, "/test/effects") => {
                let lines = self.state.borrow().effects.lines();
                Ok(answer::bytes(StatusCode::OK, "application/jsonl", lines))
            }
            _ => self.call(request).await,
        }
    }
}

fn response(key: RequestId, path: String, effect: u64, body: &[u8]) -> Response<Body> {
    let Some(record) = record(&path, effect, body) else {
        return answer::json(StatusCode::NOT_FOUND, &"nothing on record");
    };
    answer::ok(&Record {
        key,
        path,
        effect,
        record,
    })
}

/// Returns sample data: it follows from the path alone, or tells of the effect.
fn record(path: &str, effect: u64, body: &[u8]) -> Option<String> {
    let path = path.split('?').next().unwrap_or_default();
    let mut parts = path.trim_start_matches('/').split('/');
    let (what, name, detail) = (parts.next()?, parts.next(), parts.next());
    let draw = stable(0, path.as_bytes());
    match (what, name, detail) {
        ("mechanics", Some(name), Some("position")) => Some(format!(
            "{name} is {} km from the depot, free from {:02}:00",
            draw % 80,
            7 + draw % 10
        )),
        ("farmers", Some(name), Some("cover")) => {
            let covered = if draw.is_multiple_of(4) { "not " } else { "" };
            Some(format!("{name} is {covered}covered"))
        }
        ("cases", Some(name), Some("summary")) => Some(format!(
            "case {name}: {} children, {} agreed clauses",
            1 + draw % 4,
            draw % 12
        )),
        ("cases", Some(name), Some("hearings")) => {
            Some(format!("case {name}: hearing on day {}", 1 + draw % 28))
        }
        ("dispatches" | "hearings" | "clauses", _, _) if effect > 0 => Some(format!(
            "{what} number {effect}, {} bytes on file",
            body.len()
        )),
        _ => None,
    }
}
