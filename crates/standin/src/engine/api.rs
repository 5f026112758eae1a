//! Paths of the engine's stand-in, and the loop of its steps.

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use auburnline_core::id::Step;
use auburnline_engine::Generate;
use auburnline_engine::Order;
use auburnline_engine::order::Enter;
use auburnline_engine::order::Entered;
use auburnline_engine::wire;
use auburnline_http::Client;
use auburnline_http::Connection;
use auburnline_http::Failure;
use auburnline_http::Timeouts;
use auburnline_http::json;
use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt as _;
use futures::future::join_all;
use http::Method;
use http::Request;
use http::StatusCode;
use hyper::body::Incoming;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::answer;
use crate::answer::Answer;
use crate::engine::config::Config;
use crate::engine::fault::Fault;
use crate::engine::state::Begin;
use crate::engine::state::State;
use crate::engine::stream;
use crate::server::Service;

/// Longest wait before a held step is tried again.
const HELD: Duration = Duration::from_millis(5);

/// Longest wait for an answer of a follower.
const FOLLOWER: Duration = Duration::from_secs(2);

/// The engine behind its paths.
#[derive(Debug)]
pub(crate) struct Api {
    state: RefCell<State>,
    wake: Notify,
    followers: Vec<Client>,
}

impl Api {
    pub(crate) fn new(config: Config) -> Self {
        let timeouts = Timeouts::new().head(FOLLOWER).silence(FOLLOWER);
        let followers = config.followers.iter();
        let followers = followers.map(|&address| Client::new(address, timeouts));
        Self {
            followers: followers.collect(),
            state: RefCell::new(State::new(config)),
            wake: Notify::new(),
        }
    }

    /// Lets all ranks of the group enter a step; `None` if one holds or can't be asked.
    async fn enter_all(&self, step: Step) -> Option<Vec<Entered>> {
        let own = self.state.borrow_mut().enter(step, Instant::now());
        let others = self.followers.iter().map(|follower| ask(follower, step));
        let mut entered = join_all(others).await;
        entered.push(Ok(own));
        entered
            .into_iter()
            .map(|entered| entered.ok().filter(|entered| !entered.hold))
            .collect()
    }

    async fn enter(&self, request: Request<Incoming>) -> Answer {
        Ok(match answer::read::<Enter>(request).await? {
            Ok(enter) => {
                let mut state = self.state.borrow_mut();
                answer::ok(&state.enter(enter.step, Instant::now()))
            }
            Err(refusal) => refusal,
        })
    }

    async fn generate(&self, request: Request<Incoming>) -> Answer {
        let generate: Generate = match answer::read(request).await? {
            Ok(generate) => generate,
            Err(refusal) => return Ok(refusal),
        };
        let admitted = self.state.borrow_mut().generate(generate, Instant::now());
        self.wake.notify_one();
        if self.state.borrow().fault.kill_head {
            return Err(answer::cut());
        }
        Ok(match admitted {
            Ok((items, silent)) => stream::response(items, silent),
            Err(status) => answer::refused(status, "refused"),
        })
    }

    async fn cancel(&self, request: Request<Incoming>) -> Answer {
        let cancel: wire::Cancel = match answer::read(request).await? {
            Ok(cancel) => cancel,
            Err(refusal) => return Ok(refusal),
        };
        let known = self.state.borrow_mut().cancel(&cancel.id, Instant::now());
        Ok(answer::ok(&wire::Cancelled { known }))
    }

    async fn order(&self, request: Request<Incoming>) -> Answer {
        let order: Order = match answer::read(request).await? {
            Ok(order) => order,
            Err(refusal) => return Ok(refusal),
        };
        let outcome = self.state.borrow_mut().order(&order, Instant::now());
        self.wake.notify_one();
        Ok(match outcome {
            Ok(outcome) => answer::ok(&outcome),
            Err(status) => answer::refused(status, "refused"),
        })
    }

    async fn fault(&self, request: Request<Incoming>) -> Answer {
        let fault: Fault = match answer::read(request).await? {
            Ok(fault) => fault,
            Err(refusal) => return Ok(refusal),
        };
        self.state.borrow_mut().set_fault(fault, Instant::now());
        self.wake.notify_one();
        Ok(answer::ok(&()))
    }
}

impl Service for Api {
    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Answer {
        let now = Instant::now();
        let after = answer::number(&request, "after").unwrap_or(0);
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/generate") => self.generate(request).await,
            (&Method::POST, "/v1/cancel") => self.cancel(request).await,
            (&Method::POST, "/v1/order") => self.order(request).await,
            (&Method::POST, "/v1/step") => self.enter(request).await,
            (&Method::POST, "/test/fault") => self.fault(request).await,
            (&Method::GET, path) => {
                let state = self.state.borrow();
                Ok(match path {
                    "/v1/load" => answer::ok(&state.load(now)),
                    "/v1/cache-events" => answer::ok(&state.cache_events(after, now)),
                    "/v1/expert-counts" => answer::ok(&state.expert_counts(after)),
                    "/v1/holdings" => answer::ok(&state.held.told(now)),
                    "/test/effects" => {
                        answer::bytes(StatusCode::OK, "application/jsonl", state.effects.lines())
                    }
                    _ => answer::not_found(),
                })
            }
            _ => Ok(answer::not_found()),
        }
    }

    async fn run(self: Rc<Self>) -> Infallible {
        loop {
            let begin = self.state.borrow().begin(Instant::now());
            let step = match begin {
                Begin::Idle => {
                    self.wake.notified().await;
                    continue;
                }
                Begin::Held => {
                    let _ = timeout(HELD, self.wake.notified()).await;
                    continue;
                }
                Begin::Enter(step) => step,
            };
            let Some(entered) = self.enter_all(step).await else {
                let _ = timeout(HELD, self.wake.notified()).await;
                continue;
            };
            let now = Instant::now();
            let time = self.state.borrow_mut().step(step, &entered, now);
            sleep(time).await;
            self.state.borrow_mut().finish(Instant::now());
        }
    }
}

async fn ask(follower: &Client, step: Step) -> Result<Entered, Report<Failure>> {
    let enter = serde_json::to_vec(&Enter { step }).change_context(Failure::NotSent)?;
    let request = Request::post(follower.uri("/v1/step")?)
        .body(Bytes::from(enter).into())
        .change_context(Failure::NotSent)?;
    json(follower.send(request, Connection::Kept).await?).await
}
