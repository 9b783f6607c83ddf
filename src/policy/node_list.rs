//! Follows the list of nodes.

use super::admission::IDLE_RETENTION;
use super::outliers::INITIAL_RETRY_CREDIT;
use super::settings::{LATENCY_LOWEST_BIN, LATENCY_WINDOW};
use crate::histogram::Histogram;
use crate::interface::*;
use crate::state::*;

const LIST_BACKOFF: f64 = 0.2; // seconds, doubled at each failure
const MAX_LIST_BACKOFF: f64 = 1.0; // so that two more that fail still leave time for one that tells in 6 s

impl Scheduler {
    /// A node list was received, or a call for it failed.
    pub fn nodes_changed(&mut self, now: Instant, kind: ListKind, entries: &[NodeEntry]) {
        self.now = now;
        if kind == ListKind::Failed {
            return self.retry_list();
        }
        if kind != ListKind::Saved && self.list_failures > 0 {
            self.log(format!("node list recovered after {} failures", self.list_failures));
            self.list_failures = 0;
        }
        if kind != ListKind::Changes {
            mark_unlisted_gone(&mut self.nodes, entries);
        }
        entries.iter().for_each(|entry| self.update_node(entry));
        forget_gone_nodes(&mut self.nodes, &mut self.shards, now - TimeDelta::from_secs(IDLE_RETENTION));
        for id in std::mem::take(&mut self.unplaced_requests) {
            self.enqueue(id, QueueEnd::Front);
        }
        self.pending_shards.extend(self.shards.keys());
    }

    fn retry_list(&mut self) {
        let wait = (LIST_BACKOFF * 2f64.powi(self.list_failures)).min(MAX_LIST_BACKOFF);
        self.list_failures += 1;
        self.list_requested = false;
        let wait = TimeDelta::from_secs(wait * (0.5 + self.random.fraction()));
        self.timers.set(self.now + wait, Timer::NodeList);
        let (failures, secs) = (self.list_failures, wait.secs());
        self.log(format!("node list unavailable: failure {failures}, retry in {secs:.2}s"));
    }

    fn update_node(&mut self, entry: &NodeEntry) {
        let (now, defaults) = (self.now, self.node_defaults());
        let new = || Node::new(now, entry, defaults.clone());
        let node = self.nodes.entry(entry.node).or_insert_with(new);
        node.state = entry.state;
        if entry.up_since > node.up_since {
            // What was learned of its earlier generation no longer holds; what is in flight still is.
            node.restart(new());
            let age = entry.up_since.map_or(0.0, |up_since| (now - up_since).secs());
            self.log(format!("node {} restarted: slow start, up for {age:.1}s", entry.node.0));
        }
        self.shards.entry(entry.shard).or_default().nodes.insert(entry.node);
    }

    fn node_defaults(&mut self) -> NodeDefaults {
        // By chance: else all hosts begin the rotation at one node, and all send at once to a cold node.
        let rotation = self.random.fraction();
        let (concurrency_limit, min_concurrency_limit) = self.initial_limits();
        let latency = Histogram::new(LATENCY_LOWEST_BIN, LATENCY_WINDOW);
        NodeDefaults {
            latency: vec![latency; self.classes.len()],
            ranks: self.classes.iter().map(|class| class.priority.rank + 1).max().unwrap_or(1),
            concurrency_limit,
            min_concurrency_limit,
            retry_credit: INITIAL_RETRY_CREDIT,
            rotation,
            slow_start_level: (rotation * self.mean_units - self.initial_safe_units()).max(0.0),
        }
    }
}
