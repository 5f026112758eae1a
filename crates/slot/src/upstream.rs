//! The duty that talks to the upstream: a model engine or a plain service.
//!
//! It starts what it is told to start, once, and tells what came. It never starts anything again:
//! whether work may be repeated is not known here.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use auburnline_core::answer::Head;
use auburnline_core::error::Kind;
use auburnline_core::expert::Map;
use auburnline_core::id::Fence;
use auburnline_core::id::Rank;
use auburnline_core::id::RequestId;
use auburnline_core::id::Step;
use auburnline_core::load::Report;
use auburnline_core::request::Priority;
use auburnline_core::request::Work;
use auburnline_duty::ring;
use auburnline_duty::thread::Thread;
use auburnline_engine as engine;
use auburnline_engine::Action;
use auburnline_engine::ExpertCounts;
use auburnline_engine::Failure;
use auburnline_engine::Generate;
use auburnline_engine::Outcome;
use auburnline_engine::order::RankReport;
use auburnline_experts::order::Command;
use auburnline_experts::order::Refusal;
use auburnline_experts::order::Status;
use auburnline_service as service;
use auburnline_settings as settings;
use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use crate::event;

/// Longest time to hold the upstream back while the deciding duty is busy.
const PUSH_BOUND: Duration = Duration::from_secs(5);
/// Time between two readings of the upstream's load.
const LOAD_PERIOD: Duration = Duration::from_millis(100);
/// Media type of an answer that names none.
const DEFAULT_TYPE: &str = "application/octet-stream";

/// What the duty is told to do.
#[derive(Debug)]
pub(crate) enum Order {
    /// Run this, once.
    Start {
        id: RequestId,
        work: Box<Work>,
        priority: Priority,
    },
    /// Stop this.
    Cancel(RequestId),
    /// Tell these ranks of the upstream's.
    Ranks {
        token: u64,
        fence: Fence,
        ranks: Vec<Rank>,
        command: Box<Command>,
    },
    /// Read the expert counts after a step.
    Counts(Step),
}

/// What ranks made of an order.
#[derive(Debug)]
pub(crate) struct Ranks {
    pub(crate) token: u64,
    /// Ranks that could be asked.
    pub(crate) statuses: BTreeMap<Rank, Status>,
    pub(crate) maps: Vec<Arc<Map>>,
    /// Refusal of any rank that has seen a newer fencing number, else of any.
    pub(crate) refusal: Option<Refusal>,
}

/// What came from the upstream.
#[derive(Debug)]
pub(crate) enum Event {
    /// Bytes of an answer.
    Bytes(RequestId, Bytes),
    /// How a request ended.
    Ended(RequestId, End),
    /// Load of the upstream, measured just now less its age.
    Load(Report),
    /// What ranks made of an order.
    Ranks(Ranks),
    /// Expert counts.
    Counts(ExpertCounts),
}

/// How a request ended at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// With a whole answer.
    Whole,
    /// Without one; the kind tells whether it ran.
    Failed(Kind),
    /// Its fate is lost.
    Lost,
    /// It was stopped.
    Cancelled,
}

#[derive(Clone)]
enum Client {
    Engine(engine::Client),
    Service(service::Client),
}

type Cancels = Rc<RefCell<BTreeMap<RequestId, oneshot::Sender<()>>>>;

#[derive(Clone)]
struct Duty {
    client: Client,
    told: ring::Sender<event::Event>,
    cancels: Cancels,
}

/// Starts the duty.
pub(crate) fn start(
    address: SocketAddr,
    kind: settings::Kind,
    silence: Duration,
    mut orders: ring::Receiver<Order>,
    told: ring::Sender<event::Event>,
) -> io::Result<Thread> {
    Thread::start("upstream", move || async move {
        let timeouts = engine::Timeouts::new().silence(silence);
        let client = match kind {
            settings::Kind::Engine => {
                Client::Engine(engine::Client::with_timeouts(address, timeouts))
            }
            settings::Kind::Service => {
                Client::Service(service::Client::with_timeouts(address, timeouts))
            }
        };
        let duty = Duty {
            client,
            told,
            cancels: Cancels::default(),
        };
        if let Client::Engine(client) = &duty.client {
            spawn_local(watch_load(client.clone(), duty.told.clone()));
        }
        while let Some(order) = orders.pop().await {
            duty.obey(order);
        }
    })
}

async fn watch_load(client: engine::Client, told: ring::Sender<event::Event>) {
    while !told.is_closed() {
        if let Ok(report) = client.load().await {
            // A load that finds no room is stale by the time there is some.
            let _ = told.push(event::Event::Upstream(Event::Load(report)));
        }
        tokio::time::sleep(LOAD_PERIOD).await;
    }
}

impl Duty {
    fn obey(&self, order: Order) {
        match order {
            Order::Start { id, work, priority } => {
                let (cancel, cancelled) = oneshot::channel();
                self.cancels.borrow_mut().insert(id.clone(), cancel);
                spawn_local(self.clone().perform(id, *work, priority, cancelled));
            }
            Order::Cancel(id) => {
                if let Some(cancel) = self.cancels.borrow_mut().remove(&id) {
                    let _ = cancel.send(());
                }
            }
            Order::Ranks {
                token,
                fence,
                ranks,
                command,
            } => {
                spawn_local(self.clone().command(token, fence, ranks, *command));
            }
            Order::Counts(after) => {
                spawn_local(self.clone().count(after));
            }
        }
    }

    async fn perform(
        self,
        id: RequestId,
        work: Work,
        priority: Priority,
        cancelled: oneshot::Receiver<()>,
    ) {
        let end = tokio::select! {
            biased;
            Ok(()) = cancelled => self.cancel(&id).await,
            end = self.work(&id, work, priority) => end,
        };
        self.cancels.borrow_mut().remove(&id);
        self.tell(Event::Ended(id, end)).await;
    }

    async fn work(&self, id: &RequestId, work: Work, priority: Priority) -> End {
        let done = match (&self.client, work) {
            (
                Client::Engine(client),
                Work::Draft {
                    model,
                    prompt,
                    max_tokens,
                },
            ) => {
                let generate = Generate {
                    id: id.clone(),
                    model,
                    prompt,
                    max_tokens,
                    priority,
                    fence: None,
                };
                self.generate(client, &generate).await
            }
            (
                Client::Service(client),
                Work::Call {
                    method, path, body, ..
                },
            ) => {
                let call = service::Call {
                    id: id.clone(),
                    method,
                    path,
                    body: Bytes::from(body),
                };
                self.call(client, &call).await
            }
            _ => return End::Failed(Kind::UnknownRoute),
        };
        match done {
            Ok(()) => End::Whole,
            Err(failure) => end(failure),
        }
    }

    async fn generate(&self, client: &engine::Client, generate: &Generate) -> Result<(), Failure> {
        let started = client.generate(generate).await;
        let mut tokens = started.map_err(|report| *report.current_context())?;
        while let Some(token) = tokens.next().await {
            // After the start, a failure to send is no proof that nothing ran.
            let token = token.map_err(|report| after_start(*report.current_context()))?;
            self.tell(Event::Bytes(generate.id.clone(), token)).await;
        }
        Ok(())
    }

    async fn call(&self, client: &service::Client, call: &service::Call) -> Result<(), Failure> {
        let answered = client.call(call).await;
        let answer = answered.map_err(|report| *report.current_context())?;
        let head = Head {
            status: answer.status,
            content_type: answer
                .content_type
                .unwrap_or_else(|| DEFAULT_TYPE.to_owned()),
        };
        let line = Bytes::from(head.line());
        self.tell(Event::Bytes(call.id.clone(), line)).await;
        self.tell(Event::Bytes(call.id.clone(), answer.body)).await;
        Ok(())
    }

    /// Tells each rank, and what came of it.
    async fn command(self, token: u64, fence: Fence, ranks: Vec<Rank>, command: Command) {
        let Client::Engine(client) = &self.client else {
            return;
        };
        let mut made = Ranks {
            token,
            statuses: BTreeMap::new(),
            maps: Vec::new(),
            refusal: None,
        };
        for rank in ranks {
            let command = command.clone();
            let action = Action::Rank { rank, command };
            let told = client.order(&engine::Order { fence, action }).await;
            if let Ok(Outcome::Rank(report)) = told {
                made.take(report);
            }
        }
        self.tell(Event::Ranks(made)).await;
    }

    async fn count(self, after: Step) {
        let Client::Engine(client) = &self.client else {
            return;
        };
        if let Ok(counts) = client.expert_counts(after).await {
            self.tell(Event::Counts(counts)).await;
        }
    }

    async fn cancel(&self, id: &RequestId) -> End {
        match &self.client {
            Client::Engine(client) => match client.cancel(id.clone()).await {
                Ok(_) => End::Cancelled,
                Err(_) => End::Lost,
            },
            // A plain service can't be told to stop, and may have done its work.
            Client::Service(_) => End::Lost,
        }
    }

    async fn tell(&self, event: Event) {
        let pushed = self
            .told
            .push_within(event::Event::Upstream(event), PUSH_BOUND);
        if pushed.await.is_err() {
            log::error!(target: "slot", ring = "decide"; "deciding duty does not take answers");
        }
    }
}

impl Ranks {
    fn take(&mut self, report: RankReport) {
        self.statuses.insert(report.rank, report.status);
        for map in report.maps {
            if self
                .maps
                .iter()
                .all(|known| known.generation != map.generation)
            {
                self.maps.push(map);
            }
        }
        let stale = matches!(self.refusal, Some(Refusal::StaleFence(_)));
        if !stale {
            self.refusal = report.refusal.or(self.refusal);
        }
    }
}

const fn after_start(failure: Failure) -> Failure {
    match failure {
        Failure::NotSent | Failure::Refused(_) => Failure::Lost,
        other => other,
    }
}

const fn end(failure: Failure) -> End {
    match failure {
        Failure::NotSent => End::Failed(Kind::Unreachable),
        Failure::Refused(_) => End::Failed(Kind::Overloaded),
        Failure::Failed => End::Failed(Kind::UpstreamFailed),
        Failure::Lost | Failure::Malformed => End::Lost,
    }
}
