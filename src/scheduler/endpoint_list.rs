//! Inputs about nodes: the endpoint list, reported queue lengths, and operators' overrides.

use super::node::{mark_unlisted_gone, NewNode, Node};
use super::shard::QueueEnd;
use super::Scheduler;
use crate::interface::{Decision, Instant, ListKind, NodeEntry, NodeId, NodeState, SchedulerEvent};
use crate::policy::concurrency_limit::ConcurrencyLimiter;
use crate::policy::latency::new_latency_histogram;
use crate::policy::node_override::NodeOverride;
use crate::policy::retention::IDLE_RETENTION;
use crate::policy::slow_start::SlowStart;
use crate::state::Timer;

impl Scheduler {
    /// Applies an endpoint list that was received, or schedules another call if `kind` is `ListKind::Failed`.
    pub fn nodes_changed(&mut self, now: Instant, kind: ListKind, entries: &[NodeEntry]) {
        self.now = now;
        if kind == ListKind::Failed {
            return self.retry_list();
        }
        if kind != ListKind::Saved && self.list_failures > 0 {
            self.emit(SchedulerEvent::EndpointListRecovered { failures: self.list_failures });
            self.list_failures = 0;
        }
        if kind != ListKind::Changes {
            mark_unlisted_gone(&mut self.nodes, entries);
        }
        for entry in entries {
            self.update_node(entry);
        }
        self.forget_gone_nodes();
        for id in std::mem::take(&mut self.unplaced_requests) {
            self.enqueue(id, QueueEnd::Front);
        }
        self.pending_shards.extend(self.shards.keys());
    }

    /// Asks the host to watch the endpoint list, unless it was asked before and the call has not failed since.
    pub(super) fn request_list(&mut self) {
        if !self.list_requested {
            self.list_requested = true;
            self.decisions.push_back(Decision::WatchEndpointList);
        }
    }

    fn retry_list(&mut self) {
        let backoff = self.settings.list_backoff.after(self.list_failures, self.random.fraction());
        self.list_failures += 1;
        self.list_requested = false;
        self.timers.set(self.now + backoff, Timer::EndpointList);
        let failures = self.list_failures;
        self.emit(SchedulerEvent::EndpointListUnavailable { failures, retry_in: backoff });
    }

    fn update_node(&mut self, entry: &NodeEntry) {
        let new = Node::new(self.now, entry, self.new_node());
        let Some(node) = self.nodes.get_mut(&entry.node) else {
            self.nodes.insert(entry.node, new);
            return self.add_to_shard(entry);
        };
        node.state = entry.state;
        if entry.up_since > node.up_since {
            node.restart(new);
            let up_since = entry.up_since.unwrap_or(self.now);
            let uptime = self.now - up_since;
            self.emit(SchedulerEvent::NodeRestarted { node: entry.node, uptime });
        }
        self.add_to_shard(entry);
    }

    fn add_to_shard(&mut self, entry: &NodeEntry) {
        self.shards.entry(entry.shard).or_default().nodes.insert(entry.node);
    }

    fn new_node(&mut self) -> NewNode {
        // Random, since otherwise all hosts would begin the rotation at the same node, and would all send to a node in
        // slow start at the same time.
        let rotation = self.random.fraction();
        let settings = &self.settings;
        let (mean_units, host_count) = (settings.mean_units, settings.host_count);
        NewNode {
            latency: vec![new_latency_histogram(); settings.classes.len()],
            rank_count: settings.classes.iter().map(|class| class.priority.rank + 1).max().unwrap_or(1),
            limiter: ConcurrencyLimiter::new(self.now, self.alive_hosts),
            slow_start: SlowStart::new(self.now, &settings.slow_start, rotation, mean_units, host_count),
            rotation,
        }
    }

    /// Drops nodes that are gone and were sent nothing lately. Otherwise a list that keeps naming new nodes would grow the
    /// table without bound.
    fn forget_gone_nodes(&mut self) {
        let since = self.now - IDLE_RETENTION;
        let before = self.nodes.len();
        self.nodes.retain(|_, node| {
            node.state != NodeState::Gone || node.in_flight.attempts > 0 || node.last_sent_at >= since
        });
        // No shard may name a node that is not in the table. A node that moved is named by each shard it was listed for.
        if self.nodes.len() < before {
            for shard in self.shards.values_mut() {
                shard.nodes.retain(|id| self.nodes.contains_key(id));
            }
        }
    }

    /// Records the number of requests that a node reported to be waiting there. Reports lag behind the node's real queue.
    pub fn load_reported(&mut self, now: Instant, node: NodeId, waiting: f64) {
        self.now = now;
        self.nodes.entry(node).and_modify(|node| node.limiter.set_reported_queue(waiting));
    }

    /// Applies an operator's override of a node. `weight` scales what the node would be given otherwise; `is_pinned`
    /// keeps it in service whatever its answers. A weight of 1 and `false` clear the override.
    ///
    /// The endpoint list and the other guards take precedence. An unknown node is ignored.
    pub fn node_overridden(&mut self, now: Instant, id: NodeId, weight: f64, is_pinned: bool) {
        self.now = now;
        if let Some(node) = self.nodes.get_mut(&id) {
            node.operator_override = NodeOverride::new(weight, is_pinned);
            self.pending_shards.insert(node.shard);
        }
    }
}
