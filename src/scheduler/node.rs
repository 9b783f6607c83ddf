//! A node of the endpoint list, with the state that this host keeps for it.

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

/// A node of the endpoint list, with what this host has observed of it since the node's start.
pub struct Node {
    /// Whether the node takes requests, by the endpoint list.
    pub state: NodeState,
    /// Zone in which the node runs, by the endpoint list.
    pub zone: ZoneId,
    /// Shard that the node holds, by the endpoint list.
    pub shard: ShardId,
    /// When the node last started; `None` if unknown or long ago.
    pub up_since: Option<Instant>,
    /// Attempts of this host that have not ended.
    pub in_flight: InFlight,
    /// Number of attempts that the node answered without an error, over all its starts.
    pub answered: u64,
    /// When an attempt was last sent to the node; when its start was listed if none was sent since.
    pub last_sent_at: Instant,
    /// Bounds the attempts in flight.
    pub limiter: ConcurrencyLimiter,
    /// Ejects the node while nearly all of its attempts fail.
    pub outlier_detector: OutlierDetector,
    /// Retries that the node's answers have earned.
    pub retry_credit: RetryCredit,
    /// Whether the last timeout at the node may have been a lost attempt.
    pub unexplained_timeout: UnexplainedTimeout,
    /// Units sent to the node while it warms up.
    pub slow_start: SlowStart,
    /// Latencies of the node's answers, by traffic class.
    pub latency: Vec<Histogram>,
    /// How far the node is behind in the rotation of new objects, in turns.
    pub rotation: f64,
    /// Override set by an operator; it survives a restart of the node.
    pub operator_override: NodeOverride,
}

/// The initial state of a node that is new in the list or has restarted, as far as it depends on settings or chance.
pub struct NewNode {
    /// Empty latency histograms, by traffic class.
    pub latency: Vec<Histogram>,
    /// Number of priority ranks of the traffic classes.
    pub rank_count: usize,
    /// Bounds the attempts in flight.
    pub limiter: ConcurrencyLimiter,
    /// Units sent to the node while it warms up.
    pub slow_start: SlowStart,
    /// How far the node is behind in the rotation of new objects, in turns.
    pub rotation: f64,
}

impl Node {
    /// Creates a node of which nothing is known but its entry in the endpoint list.
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

    /// Replaces what was observed of the node's earlier generation by `new` after a restart. The attempts in flight, the
    /// count of answers and the operator's override stay.
    pub fn restart(&mut self, new: Node) {
        *self = Node {
            in_flight: std::mem::take(&mut self.in_flight),
            answered: self.answered,
            operator_override: self.operator_override,
            ..new
        };
    }

    /// Returns the node's zone and shard.
    pub fn location(&self) -> NodeLocation {
        NodeLocation { zone: self.zone, shard: self.shard }
    }

    /// Returns whether the node is ejected, so that it is sent probes only.
    pub fn is_ejected(&self) -> bool {
        self.outlier_detector.is_ejected(self.operator_override.is_pinned)
    }

    /// Returns what the node's concurrency limiter needs to check a request of this priority.
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

    /// Records an attempt that is sent to the node; `rank` is that of its traffic class.
    pub fn attempt_started(&mut self, now: Instant, rank: usize, units: f64) {
        self.in_flight.add(rank, units);
        self.slow_start.attempt_started(units);
        self.last_sent_at = now;
    }

    /// Records an attempt that was answered without an error. `work` is the number of units that the answer shows the node
    /// can do.
    pub fn attempt_answered(&mut self, class: TrafficClassId, latency_secs: f64, work: f64) {
        self.answered += 1;
        self.latency[class.0 as usize].add(latency_secs);
        self.slow_start.attempt_answered(work);
    }

    /// Returns the median latency of a traffic class at this node, in seconds; `None` before the first answer.
    pub fn median_latency_secs(&self, class: TrafficClassId) -> Option<f64> {
        median_secs(&self.latency[class.0 as usize])
    }

    /// Returns the mean of the median latencies of the traffic classes, in seconds; `None` before the first answer.
    pub fn usual_latency_secs(&self) -> Option<f64> {
        let medians = self.latency.iter().filter_map(median_secs);
        medians.clone().next().map(|_| mean(medians))
    }
}

/// Marks the nodes that a complete list does not name as gone.
pub fn mark_unlisted_gone(nodes: &mut BTreeMap<NodeId, Node>, entries: &[NodeEntry]) {
    let listed: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
    for (_, node) in nodes.iter_mut().filter(|(id, _)| !listed.contains(id)) {
        node.state = NodeState::Gone;
    }
}
