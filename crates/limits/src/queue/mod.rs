//! Fair queue of requests in front of one upstream.
//!
//! Each workspace is a flow of start-time fair queueing: a request advances its flow's virtual time
//! by its tokens divided by the workspace's weight, and the flow with the smallest tag is served next.
//! A priority gives a bounded head start in virtual time but no larger share, so no priority and no
//! workspace can starve another. A request that is predicted to miss its deadline is refused or shed
//! at once, with a retry time. A request that leaves the queue without being started comes with a
//! [`NotStarted`], which only this module can construct, and never for a request that was started.

mod estimator;
mod flow;
mod order;
mod outcome;
mod predict;
mod settings;
mod shedding;

pub use outcome::Cancelled;
pub use outcome::NotStarted;
pub use outcome::Popped;
pub use outcome::Pushed;
pub use outcome::Reason;
pub use outcome::RunnerUp;
pub use outcome::Shed;
pub use outcome::Started;
pub use settings::Builder;
pub use settings::Settings;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use auburnline_core::id::WorkspaceId;
use auburnline_core::request::Priority;
use auburnline_core::time::Monotonic;

use self::estimator::Estimator;
use self::flow::Flow;
use self::flow::Position;
use self::predict::to_float;

/// Maximum number of runners-up that a decision reports.
const MAX_RUNNERS_UP: usize = 2;
/// Lower bound of the retry time of a refusal for overload.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Upper bound of the retry time of a refusal for overload.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Request to be queued.
#[derive(Clone, Debug)]
pub struct Waiting<K> {
    /// Identifier, unique among queued and running requests.
    pub key: K,
    /// Workspace to whose flow the request belongs.
    pub workspace: WorkspaceId,
    /// Published weight of the workspace; zero counts as one.
    pub weight: u32,
    /// Gives a head start over other flows, and an earlier position in the request's own flow.
    pub priority: Priority,
    /// Prompt tokens plus the maximum number of tokens to generate.
    pub tokens: u64,
    /// Bytes that the request takes until it has finished.
    pub bytes: usize,
    /// Time by which the request must have finished.
    pub deadline: Monotonic,
}

#[derive(Clone, Debug)]
struct Item {
    workspace: WorkspaceId,
    position: Position,
    tokens: u64,
    bytes: usize,
    deadline: Monotonic,
    since: Monotonic,
}

#[derive(Clone, Debug)]
struct Running {
    workspace: WorkspaceId,
    tokens: u64,
    bytes: usize,
    since: Monotonic,
    /// Whether it was started to measure how fast an idle upstream is now.
    probe: bool,
}

/// Fair queue in front of one upstream.
#[derive(Clone, Debug)]
pub struct Queue<K> {
    settings: Settings,
    items: BTreeMap<K, Item>,
    running: BTreeMap<K, Running>,
    flows: BTreeMap<WorkspaceId, Flow<K>>,
    /// Flows with queued requests, by the tag of their first request.
    by_tag: BTreeSet<(i64, WorkspaceId)>,
    /// Flows with queued requests, by their virtual time.
    by_virtual_time: BTreeSet<(i64, WorkspaceId)>,
    /// Flows with queued requests, by queued tokens divided by weight.
    by_backlog: BTreeSet<(i64, WorkspaceId)>,
    estimator: Estimator,
    last_finish: Monotonic,
    virtual_time: i64,
    sequence: u64,
    queued_tokens: u64,
    running_tokens: u64,
    /// Bytes of queued and running requests.
    bytes: usize,
    /// Sum of weights of the flows with queued requests.
    total_weight: u64,
}

impl<K: Ord + Clone> Queue<K> {
    /// Returns an empty queue.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Queue {
            estimator: Estimator::new(settings.token_time),
            settings,
            items: BTreeMap::new(),
            running: BTreeMap::new(),
            flows: BTreeMap::new(),
            by_tag: BTreeSet::new(),
            by_virtual_time: BTreeSet::new(),
            by_backlog: BTreeSet::new(),
            last_finish: Monotonic::ZERO,
            virtual_time: 0,
            sequence: 0,
            queued_tokens: 0,
            running_tokens: 0,
            bytes: 0,
            total_weight: 0,
        }
    }

    /// Queues `request`, or refuses it if it is predicted to miss its deadline or the queue is full.
    pub fn push(&mut self, now: Monotonic, request: Waiting<K>) -> Pushed<K> {
        if self.items.contains_key(&request.key) || self.running.contains_key(&request.key) {
            return Pushed::Duplicate;
        }
        let start_in = self.predict_new(&request);
        if let Some(refused) = self.refuse(now, &request, start_in) {
            return Pushed::Refused(refused);
        }
        let Ok(displaced) = self.make_room(now, &request) else {
            return Pushed::Refused(self.refuse_full(request.key, request.tokens));
        };
        self.insert(now, request);
        Pushed::Queued {
            start_in,
            displaced,
        }
    }

    /// Starts the next request if fewer than the maximum are running. Sheds requests at the head of the order that
    /// can no longer finish by their deadline.
    pub fn pop(&mut self, now: Monotonic) -> Popped<K> {
        let mut shed = Vec::new();
        while self.running.len() < self.settings.max_running {
            let Some((tag, workspace)) = self.by_tag.first().cloned() else {
                break;
            };
            let key = self.head(&workspace);
            if self.is_too_late(now, &self.items[&key]) {
                shed.push(self.shed(now, &key, Reason::WouldMissDeadline, Duration::ZERO));
                continue;
            }
            let started = self.start(now, key, tag);
            return Popped {
                started: Some(started),
                shed,
            };
        }
        Popped {
            started: None,
            shed,
        }
    }

    /// Records that a started request has finished and used `tokens`. Updates the estimate of service times and
    /// credits the tokens that were not used.
    ///
    /// Returns false if no such request is running.
    pub fn finish(&mut self, now: Monotonic, key: &K, tokens: u64) -> bool {
        let Some(running) = self.running.remove(key) else {
            return false;
        };
        self.running_tokens -= running.tokens;
        self.bytes -= running.bytes;
        self.last_finish = now;
        let took = now.saturating_sub(running.since);
        if running.probe {
            self.estimator.restart_if_faster(took, running.tokens);
        }
        self.estimator.record(took, running.tokens);
        self.credit(&running.workspace, running.tokens.saturating_sub(tokens));
        true
    }

    /// Removes a request from the queue. A request that has started is left alone.
    pub fn cancel(&mut self, key: &K) -> Cancelled<K> {
        if self.items.contains_key(key) {
            self.remove(key);
            return Cancelled::Withdrawn(NotStarted::new(key.clone()));
        }
        if self.running.contains_key(key) {
            return Cancelled::Started;
        }
        Cancelled::Absent
    }

    /// Sheds queued requests that are now predicted to miss their deadline.
    pub fn tick(&mut self, now: Monotonic) -> Vec<Shed<K>> {
        let mut late = Vec::new();
        let mut kept_tokens = self.queued_tokens;
        for flow in self.flows.values() {
            let mut ahead = 0;
            for key in flow.keys() {
                let item = &self.items[key];
                let fluid = self.fluid(flow, ahead, item.tokens, item.position.priority);
                let wait = self.predict_wait(fluid.min(to_float(kept_tokens)));
                let wait_tolerance = self.settings.wait_tolerance;
                let discounted = wait.div_f64(wait_tolerance);
                if self.is_late(now, discounted, item.tokens, item.deadline) {
                    kept_tokens -= item.tokens;
                    late.push((key.clone(), wait));
                } else {
                    ahead += item.tokens;
                }
            }
        }
        late.into_iter()
            .map(|(key, wait)| self.shed(now, &key, Reason::WouldMissDeadline, wait))
            .collect()
    }

    /// Sheds all queued requests, because the upstream is draining.
    pub fn drain(&mut self, now: Monotonic) -> Vec<Shed<K>> {
        let keys: Vec<K> = self.items.keys().cloned().collect();
        keys.iter()
            .map(|key| self.shed(now, key, Reason::Draining, Duration::ZERO))
            .collect()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.items.len()
    }

    /// Returns the number of requests that have started and not finished.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the tokens of queued and running requests.
    #[must_use]
    pub fn backlog_tokens(&self) -> u64 {
        self.queued_tokens + self.running_tokens
    }

    /// Returns the number of flows kept, including ones without queued requests.
    #[must_use]
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Checks that the sums and the orders of flows agree with the queued and running requests.
    ///
    /// # Panics
    ///
    /// Panics if they don't agree, or if more requests are queued or running than the settings allow.
    pub fn assert_consistent(&self) {
        let queued: u64 = self.items.values().map(|item| item.tokens).sum();
        let running: u64 = self.running.values().map(|run| run.tokens).sum();
        let waiting = self.flows.values().filter(|flow| !flow.is_empty());
        assert_eq!(queued, self.queued_tokens, "queued tokens");
        assert_eq!(running, self.running_tokens, "running tokens");
        assert_eq!(waiting.count(), self.by_tag.len(), "flows by tag");
        assert_eq!(
            self.by_tag.len(),
            self.by_virtual_time.len(),
            "flows by virtual time"
        );
        let queued: usize = self.items.values().map(|item| item.bytes).sum();
        let running: usize = self.running.values().map(|run| run.bytes).sum();
        assert_eq!(queued + running, self.bytes, "bytes");
        assert_eq!(self.by_tag.len(), self.by_backlog.len(), "flows by backlog");
        assert!(
            self.items.len() <= self.settings.max_queued,
            "queued requests"
        );
        assert!(
            self.running.len() <= self.settings.max_running,
            "running requests"
        );
        assert!(self.items.keys().all(|key| !self.running.contains_key(key)));
    }

    fn start(&mut self, now: Monotonic, key: K, tag: i64) -> Started<K> {
        let runners_up = self.runners_up();
        let item = &self.items[&key];
        let (workspace, tokens) = (item.workspace.clone(), item.tokens);
        self.unlink(&workspace);
        if let Some(flow) = self.flows.get_mut(&workspace) {
            flow.advance(tokens);
        }
        self.link(&workspace);
        let item = self.remove(&key);
        self.running_tokens += tokens;
        self.bytes += item.bytes;
        let probe = self.may_probe(now);
        self.running.insert(
            key.clone(),
            Running {
                workspace: workspace.clone(),
                tokens,
                bytes: item.bytes,
                since: now,
                probe,
            },
        );
        Started {
            key,
            workspace,
            waited: now.saturating_sub(item.since),
            tag,
            runners_up,
        }
    }
}
