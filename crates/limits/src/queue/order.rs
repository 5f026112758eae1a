//! Bookkeeping of queued requests. A flow is in three ordered sets while it has queued requests.

use auburnline_core::id::WorkspaceId;
use auburnline_core::time::Monotonic;

use super::Item;
use super::MAX_RUNNERS_UP;
use super::Queue;
use super::RunnerUp;
use super::Waiting;
use super::flow::Flow;
use super::flow::Position;

impl<K: Ord + Clone> Queue<K> {
    pub(super) fn insert(&mut self, now: Monotonic, request: Waiting<K>) {
        self.unlink(&request.workspace);
        let position = Position {
            effective_arrival: now + self.settings.delay(request.priority),
            sequence: self.sequence,
            priority: request.priority,
        };
        self.sequence += 1;
        let virtual_time = self.virtual_time;
        let flow = self
            .flows
            .entry(request.workspace.clone())
            .or_insert_with(|| Flow::new(virtual_time, request.weight));
        if flow.is_empty() {
            flow.join(virtual_time);
        }
        flow.weight = request.weight.max(1);
        flow.push(position, request.key.clone(), request.tokens);
        self.queued_tokens += request.tokens;
        self.bytes += request.bytes;
        self.items.insert(
            request.key,
            Item {
                workspace: request.workspace.clone(),
                position,
                tokens: request.tokens,
                bytes: request.bytes,
                deadline: request.deadline,
                since: now,
            },
        );
        self.link(&request.workspace);
    }

    pub(super) fn remove(&mut self, key: &K) -> Item {
        let item = self
            .items
            .remove(key)
            .expect("the caller checked that the key is queued");
        self.unlink(&item.workspace);
        self.queued_tokens -= item.tokens;
        self.bytes -= item.bytes;
        if let Some(flow) = self.flows.get_mut(&item.workspace) {
            flow.remove(item.position, item.tokens);
        }
        self.link(&item.workspace);
        self.drop_idle(&item.workspace);
        item
    }

    pub(super) fn credit(&mut self, workspace: &WorkspaceId, unused: u64) {
        self.unlink(workspace);
        let virtual_time = self.virtual_time;
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.credit(unused, virtual_time);
        }
        self.link(workspace);
        self.drop_idle(workspace);
    }

    /// Removes a flow from the ordered sets; must be called before the flow changes.
    pub(super) fn unlink(&mut self, workspace: &WorkspaceId) {
        let Some(flow) = self.flows.get(workspace) else {
            return;
        };
        if flow.is_empty() {
            return;
        }
        let tag = flow.tag(&self.settings);
        self.by_tag.remove(&(tag, workspace.clone()));
        self.by_virtual_time
            .remove(&(flow.virtual_time(), workspace.clone()));
        self.by_backlog
            .remove(&(flow.normalized_backlog(), workspace.clone()));
        self.total_weight -= u64::from(flow.weight);
    }

    /// Inserts a flow into the ordered sets after it changed, and advances the queue's virtual time to the smallest
    /// of the flows with queued requests.
    pub(super) fn link(&mut self, workspace: &WorkspaceId) {
        if let Some(flow) = self.flows.get(workspace).filter(|flow| !flow.is_empty()) {
            let tag = flow.tag(&self.settings);
            self.by_tag.insert((tag, workspace.clone()));
            self.by_virtual_time
                .insert((flow.virtual_time(), workspace.clone()));
            self.by_backlog
                .insert((flow.normalized_backlog(), workspace.clone()));
            self.total_weight += u64::from(flow.weight);
        }
        if let Some(&(least, _)) = self.by_virtual_time.first() {
            self.virtual_time = self.virtual_time.max(least);
        }
    }

    /// Drops the flow of `workspace` if it is empty and not ahead of the queue's virtual time. Drops all flows once
    /// nothing is queued, and all empty ones when too many are kept.
    fn drop_idle(&mut self, workspace: &WorkspaceId) {
        if self.items.is_empty() {
            self.flows.clear();
            return;
        }
        let virtual_time = self.virtual_time;
        let idle = |flow: &Flow<K>| flow.is_empty() && flow.virtual_time() <= virtual_time;
        if self.flows.get(workspace).is_some_and(idle) {
            self.flows.remove(workspace);
        }
        if self.flows.len() > 2 * self.settings.max_queued {
            self.flows.retain(|_, flow| !flow.is_empty());
        }
    }

    pub(super) fn head(&self, workspace: &WorkspaceId) -> K {
        let (_, key) = self.flows[workspace].first();
        key.clone()
    }

    pub(super) fn runners_up(&self) -> Vec<RunnerUp> {
        self.by_tag
            .iter()
            .skip(1)
            .take(MAX_RUNNERS_UP)
            .map(|(tag, workspace)| RunnerUp {
                workspace: workspace.clone(),
                tag: *tag,
            })
            .collect()
    }
}
