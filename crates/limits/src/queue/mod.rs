//! Fair queue of requests before one upstream.
//!
//! Each workspace is a flow of start-time fair queueing: a request advances its flow's virtual time
//! by its tokens over the workspace's weight, and the flow that is furthest behind goes next. A
//! priority gives a bounded head start in virtual time and no larger share, so no priority and no
//! workspace can starve another. A request that is predicted to miss its deadline is refused or
//! shed at once with a time to come back. What leaves the queue unstarted carries a [`NotStarted`],
//! which only this module can make; what was popped can't be made into one.

mod estimator;
mod flow;
mod order;
mod outcome;
mod predict;
mod settings;

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

use auburnline_core::error::Kind;
use auburnline_core::id::WorkspaceId;
use auburnline_core::request::Priority;
use auburnline_core::time::Monotonic;

use self::estimator::Estimator;
use self::flow::Flow;
use self::flow::Position;
use self::predict::to_float;

/// Runners-up that a decision names.
const MAX_RUNNERS_UP: usize = 2;
/// Shortest time to come back that a refusal gives.
const MIN_RETURN: Duration = Duration::from_millis(100);
/// Longest time to come back that a refusal gives.
const MAX_RETURN: Duration = Duration::from_secs(30);

/// A request that asks to wait.
#[derive(Clone, Debug)]
pub struct Waiting<K> {
    /// Name of the request, unique among waiting and running ones.
    pub key: K,
    /// Workspace that pays.
    pub workspace: WorkspaceId,
    /// The workspace's published weight.
    pub weight: u32,
    /// Order among waiting requests.
    pub priority: Priority,
    /// Prompt tokens and most tokens to generate.
    pub tokens: u64,
    /// When the answer becomes worthless.
    pub deadline: Monotonic,
}

#[derive(Clone, Debug)]
struct Item {
    workspace: WorkspaceId,
    position: Position,
    tokens: u64,
    deadline: Monotonic,
    since: Monotonic,
}

#[derive(Clone, Debug)]
struct Running {
    workspace: WorkspaceId,
    tokens: u64,
    since: Monotonic,
    /// Whether it tries how fast an idle upstream is.
    probe: bool,
}

/// Fair queue before one upstream.
#[derive(Clone, Debug)]
pub struct Queue<K> {
    settings: Settings,
    items: BTreeMap<K, Item>,
    running: BTreeMap<K, Running>,
    flows: BTreeMap<WorkspaceId, Flow<K>>,
    /// Flows that wait, by the virtual time at which their head goes.
    by_tag: BTreeSet<(i64, WorkspaceId)>,
    /// Flows that wait, by their own virtual time.
    by_virtual_time: BTreeSet<(i64, WorkspaceId)>,
    /// Flows that wait, by tokens over weight.
    by_backlog: BTreeSet<(i64, WorkspaceId)>,
    estimator: Estimator,
    last_finish: Monotonic,
    virtual_time: i64,
    sequence: u64,
    queued_tokens: u64,
    running_tokens: u64,
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
            total_weight: 0,
        }
    }

    /// Queues `request`, or refuses it at once if it can't be served in time.
    pub fn push(&mut self, now: Monotonic, request: Waiting<K>) -> Pushed<K> {
        if self.items.contains_key(&request.key) || self.running.contains_key(&request.key) {
            return Pushed::Present;
        }
        let start_in = self.predict_new(&request);
        if let Some(refused) = self.refuse(now, &request, start_in) {
            return Pushed::Refused(refused);
        }
        let Ok(displaced) = self.make_room(now, &request) else {
            return Pushed::Refused(self.full(request.key, request.tokens));
        };
        self.insert(now, request);
        Pushed::Queued {
            start_in,
            displaced,
        }
    }

    /// Starts the next request if the upstream has room; sheds what can't end in time on the way.
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

    /// Frees the place of a started request that used `tokens`, and learns from it.
    ///
    /// Returns false if no such request runs.
    pub fn finish(&mut self, now: Monotonic, key: &K, tokens: u64) -> bool {
        let Some(running) = self.running.remove(key) else {
            return false;
        };
        self.running_tokens -= running.tokens;
        self.last_finish = now;
        let took = now.saturating_sub(running.since);
        if running.probe {
            self.estimator.restart_if_faster(took, running.tokens);
        }
        self.estimator.record(took, running.tokens);
        self.credit(&running.workspace, running.tokens.saturating_sub(tokens));
        true
    }

    /// Takes a request out of the queue; one that has started stays as it is.
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

    /// Sheds what is no longer predicted to end in time.
    pub fn tick(&mut self, now: Monotonic) -> Vec<Shed<K>> {
        let mut doomed = Vec::new();
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
                    doomed.push((key.clone(), wait));
                } else {
                    ahead += item.tokens;
                }
            }
        }
        doomed
            .into_iter()
            .map(|(key, wait)| self.shed(now, &key, Reason::WouldMissDeadline, wait))
            .collect()
    }

    /// Takes every waiting request out, as for a drain.
    pub fn drain(&mut self, now: Monotonic) -> Vec<Shed<K>> {
        let keys: Vec<K> = self.items.keys().cloned().collect();
        keys.iter()
            .map(|key| self.shed(now, key, Reason::Draining, Duration::ZERO))
            .collect()
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.items.len()
    }

    /// Returns how many requests have started and not finished.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the tokens of waiting and started requests.
    #[must_use]
    pub fn backlog_tokens(&self) -> u64 {
        self.queued_tokens + self.running_tokens
    }

    /// Returns how many flows are kept.
    #[must_use]
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Checks that the sums and orders agree with the items.
    ///
    /// # Panics
    ///
    /// If they do not.
    pub fn assert_consistent(&self) {
        let queued: u64 = self.items.values().map(|item| item.tokens).sum();
        let running: u64 = self.running.values().map(|run| run.tokens).sum();
        let waiting = self.flows.values().filter(|flow| !flow.is_empty());
        assert_eq!(queued, self.queued_tokens, "queued tokens");
        assert_eq!(running, self.running_tokens, "running tokens");
        assert_eq!(waiting.count(), self.by_tag.len(), "flows in order");
        assert_eq!(
            self.by_tag.len(),
            self.by_virtual_time.len(),
            "flows by service"
        );
        assert_eq!(self.by_tag.len(), self.by_backlog.len(), "flows by length");
        assert!(self.items.len() <= self.settings.max_queued, "queue bound");
        assert!(
            self.running.len() <= self.settings.max_running,
            "admission bound"
        );
        assert!(self.items.keys().all(|key| !self.running.contains_key(key)));
    }

    fn refuse(&self, now: Monotonic, request: &Waiting<K>, wait: Duration) -> Option<Shed<K>> {
        let shed = |kind, reason, retry_after| Shed {
            proof: NotStarted::new(request.key.clone()),
            kind,
            reason,
            predicted_wait: wait,
            retry_after,
        };
        if request.deadline <= now {
            return Some(shed(
                Kind::DeadlinePassed,
                Reason::DeadlinePassed,
                Duration::ZERO,
            ));
        }
        if !self.is_late(now, wait, request.tokens, request.deadline) {
            return None;
        }
        let end = now + wait + self.estimator.service_time(request.tokens);
        let excess = end.saturating_sub(request.deadline);
        let excess = excess.clamp(MIN_RETURN, MAX_RETURN);
        Some(shed(Kind::Overloaded, Reason::WouldMissDeadline, excess))
    }

    fn full(&self, key: K, tokens: u64) -> Shed<K> {
        Shed {
            proof: NotStarted::new(key),
            kind: Kind::Overloaded,
            reason: Reason::QueueFull,
            predicted_wait: self.predict_wait(to_float(self.queued_tokens)),
            retry_after: self
                .predict_wait(to_float(tokens))
                .clamp(MIN_RETURN, MAX_RETURN),
        }
    }

    /// Frees a place for `request` by shedding the newest of the longest flow.
    fn make_room(&mut self, now: Monotonic, request: &Waiting<K>) -> Result<Option<Shed<K>>, ()> {
        if self.items.len() < self.settings.max_queued {
            return Ok(None);
        }
        let Some((length, workspace)) = self.by_backlog.last().cloned() else {
            return Err(());
        };
        let own = self
            .flows
            .get(&request.workspace)
            .map_or(0, Flow::normalized_backlog);
        let longest = &self.flows[&workspace];
        let (position, last) = longest.last();
        let longer = own + flow::virtual_tokens(request.tokens, request.weight) < length;
        let lower = workspace == request.workspace && position.priority < request.priority;
        if !longer && !lower {
            return Err(());
        }
        let last = last.clone();
        Ok(Some(self.shed(
            now,
            &last,
            Reason::Displaced,
            Duration::ZERO,
        )))
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
        let probe = self.may_probe(now);
        self.running.insert(
            key.clone(),
            Running {
                workspace: workspace.clone(),
                tokens,
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

    fn shed(&mut self, now: Monotonic, key: &K, reason: Reason, wait: Duration) -> Shed<K> {
        let item = self.remove(key);
        let end = now + wait + self.estimator.service_time(item.tokens);
        let excess = end.saturating_sub(item.deadline);
        let (kind, retry_after) = match reason {
            Reason::Draining => (Kind::Leaving, Duration::ZERO),
            _ => (Kind::Overloaded, excess.clamp(MIN_RETURN, MAX_RETURN)),
        };
        Shed {
            proof: NotStarted::new(key.clone()),
            kind,
            reason,
            predicted_wait: wait,
            retry_after,
        }
    }
}
