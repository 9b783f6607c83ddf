//! A node of the endpoint list, as this host sees it.

use crate::histogram::{mean, Histogram};
use crate::interface::{Instant, NodeEntry, NodeId, NodeState, ShardId, TrafficClassId, ZoneId};
use crate::policy::concurrency_limit::{CapacityRequest, ConcurrencyLimiter, InFlight};
use crate::policy::latency::median_secs;
use crate::policy::loss_detection::UnexplainedTimeout;
use crate::policy::node_override::NodeOverride;
use crate::policy::outlier_detection::OutlierDetector;
use crate::policy::priority::Priority;
use crate::policy::retry_credit::RetryCredit;
use crate::policy::retry_safety::NodeLocation;
use crate::policy::slow_start::SlowStart;
use std::collections::{BTreeMap, BTreeSet};

/// A node of the list, and what was learned of it.
pub struct Node {
    /// As listed.
    pub state: NodeState,
    /// As listed.
    pub zone: ZoneId,
    /// As listed.
    pub shard: ShardId,
    /// When the node last started, where that is known and recent.
    pub up_since: Option<Instant>,
    /// Attempts that have not ended.
    pub in_flight: InFlight,
    /// Attempts that were answered well.
    pub answered: u64,
    /// When an attempt was last sent.
    pub last_sent_at: Instant,
    /// How many attempts may be in flight.
    pub limiter: ConcurrencyLimiter,
    /// Whether nearly all of its answers are bad.
    pub outlier_detector: OutlierDetector,
    /// Retries that its answers have earned.
    pub retry_credit: RetryCredit,
    /// Whether an attempt timed out and may have been lost.
    pub unexplained_timeout: UnexplainedTimeout,
    /// What it was sent while it warms up.
    pub slow_start: SlowStart,
    /// Latencies of its answers, for each traffic class.
    pub latency: Vec<Histogram>,
    /// How far it is behind in the rotation of new objects, in turns.
    pub rotation: f64,
    /// By an operator.
    pub operator_override: NodeOverride,
}

/// What a node starts with that was not seen before.
pub struct NewNode {
    /// Latencies of its answers, for each traffic class.
    pub latency: Vec<Histogram>,
    /// Ranks of traffic classes.
    pub rank_count: usize,
    /// How many attempts may be in flight.
    pub limiter: ConcurrencyLimiter,
    /// What it was sent while it warms up.
    pub slow_start: SlowStart,
    /// How far it is behind in the rotation of new objects, in turns.
    pub rotation: f64,
}

impl Node {
    /// A node of which nothing is known but its entry in the list.
    pub fn new(now: Instant, entry: &NodeEntry, new: NewNode) -> Self {
        Node {
            state: entry.state,
            zone: entry.zone,
            shard: entry.shard,
            up_since: entry.up_since,
            in_flight: InFlight::new(new.rank_count),
            answered: 0,
            last_sent_at: now,
            limiter: new.limiter,
            outlier_detector: OutlierDetector::default(),
            retry_credit: RetryCredit::new(),
            unexplained_timeout: UnexplainedTimeout::default(),
            slow_start: new.slow_start,
            latency: new.latency,
            rotation: new.rotation,
            operator_override: NodeOverride::NONE,
        }
    }

    /// The node has started anew: what was learned of its earlier generation no longer holds. What is in flight still is, and so
    /// is what an operator said.
    pub fn restart(&mut self, new: Node) {
        *self = Node {
            in_flight: std::mem::take(&mut self.in_flight),
            answered: self.answered,
            operator_override: self.operator_override,
            ..new
        };
    }

    /// Where the node stands.
    pub fn location(&self) -> NodeLocation {
        NodeLocation { zone: self.zone, shard: self.shard }
    }

    /// Whether the node gets probes only.
    pub fn is_ejected(&self) -> bool {
        self.outlier_detector.is_ejected(self.operator_override.is_pinned)
    }

    /// What a request of this priority asks of the node's concurrency limiter.
    pub fn capacity_request(&self, priority: Priority, mean_units: f64) -> CapacityRequest<'_> {
        CapacityRequest {
            priority,
            in_flight: &self.in_flight,
            last_sent_at: self.last_sent_at,
            weight: self.operator_override.weight,
            is_ejected: self.is_ejected(),
            mean_units,
        }
    }

    /// Counts an attempt that is sent.
    pub fn attempt_started(&mut self, now: Instant, rank: usize, units: f64) {
        self.in_flight.add(rank, units);
        self.slow_start.attempt_started(units);
        self.last_sent_at = now;
    }

    /// Counts an attempt that was answered well. `work` are the units that it shows the node can do.
    pub fn attempt_answered(&mut self, class: TrafficClassId, latency_secs: f64, work: f64) {
        self.answered += 1;
        self.latency[class.0 as usize].add(latency_secs);
        self.slow_start.attempt_answered(work);
    }

    /// The median latency of a traffic class, in seconds; none without an answer.
    pub fn median_latency_secs(&self, class: TrafficClassId) -> Option<f64> {
        median_secs(&self.latency[class.0 as usize])
    }

    /// The mean over traffic classes of the median latency, in seconds; none without an answer.
    pub fn usual_latency_secs(&self) -> Option<f64> {
        let medians = self.latency.iter().filter_map(median_secs);
        medians.clone().next().map(|_| mean(medians))
    }
}

/// Nodes that a complete list does not name are gone.
pub fn mark_unlisted_gone(nodes: &mut BTreeMap<NodeId, Node>, entries: &[NodeEntry]) {
    let listed: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
    for (_, node) in nodes.iter_mut().filter(|(id, _)| !listed.contains(id)) {
        node.state = NodeState::Gone;
    }
}
