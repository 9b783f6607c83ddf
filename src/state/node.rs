//! What is known of a node.

use super::{Bucket, Shard};
use crate::histogram::Histogram;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// Why a request can't be sent now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Blocked {
    /// Look again then.
    Until(Instant),
    /// Only an answer can change it.
    UntilAnswer,
}

/// Whether a request can be sent now.
pub type Check = Result<(), Blocked>;

/// Whether a time has come.
pub fn check_due(at: Instant, now: Instant) -> Check {
    if at > now {
        return Err(Blocked::Until(at));
    }
    Ok(())
}

/// A node of the list, as this host sees it.
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
    pub in_flight: usize,
    /// Units of attempts that have not ended.
    pub in_flight_units: f64,
    /// Attempts that have not ended, by rank of their traffic class.
    pub in_flight_by_rank: Vec<usize>,
    /// Attempts that were answered well.
    pub answered: u64,
    /// Attempts that may be in flight at once; below one, pauses between them.
    pub concurrency_limit: f64,
    /// The concurrency limit is never cut below this.
    pub min_concurrency_limit: f64,
    /// When the concurrency limit was last cut.
    pub limit_cut_at: Instant,
    /// Requests that wait there, as the node last reported.
    pub reported_queue: f64,
    /// Seconds that the last attempt took.
    pub last_latency: f64,
    /// Retries that the node's answers have earned.
    pub retry_credit: f64,
    /// Good answers lately.
    pub successes: f64,
    /// Bad answers lately.
    pub failures: f64,
    /// Nearly all of its last answers are bad.
    pub is_outlier: bool,
    /// An attempt timed out and none was answered since.
    pub has_unexplained_timeout: bool,
    /// When an attempt was last sent.
    pub last_sent_at: Instant,
    /// Units sent while it warms up and neither answered nor drained by time.
    pub slow_start: Bucket,
    /// Times of its answers, for each traffic class.
    pub latency: Vec<Histogram>,
    /// How far it is behind in the rotation of new objects.
    pub rotation: f64,
    /// Operator override: the part of what it would be given otherwise.
    pub weight: f64,
    /// Operator override: it stays in service whatever its health.
    pub is_pinned: bool,
}

/// What a node starts with that was not seen before.
#[derive(Clone)]
pub struct NodeDefaults {
    /// For each traffic class.
    pub latency: Vec<Histogram>,
    /// Ranks of traffic classes.
    pub ranks: usize,
    /// See `Node::concurrency_limit`.
    pub concurrency_limit: f64,
    /// See `Node::min_concurrency_limit`.
    pub min_concurrency_limit: f64,
    /// See `Node::retry_credit`.
    pub retry_credit: f64,
    /// See `Node::rotation`.
    pub rotation: f64,
    /// Level of `Node::slow_start`.
    pub slow_start_level: f64,
}

impl Node {
    /// A node that nothing is known of but its entry in the list.
    pub fn new(now: Instant, entry: &NodeEntry, defaults: NodeDefaults) -> Self {
        Node {
            state: entry.state,
            zone: entry.zone,
            shard: entry.shard,
            up_since: entry.up_since,
            in_flight: 0,
            in_flight_units: 0.0,
            in_flight_by_rank: vec![0; defaults.ranks],
            answered: 0,
            concurrency_limit: defaults.concurrency_limit,
            min_concurrency_limit: defaults.min_concurrency_limit,
            limit_cut_at: now,
            reported_queue: 0.0,
            last_latency: 0.0,
            retry_credit: defaults.retry_credit,
            successes: 0.0,
            failures: 0.0,
            is_outlier: false,
            has_unexplained_timeout: false,
            last_sent_at: now,
            slow_start: Bucket { level: defaults.slow_start_level, updated_at: now },
            latency: defaults.latency,
            rotation: defaults.rotation,
            weight: 1.0,
            is_pinned: false,
        }
    }

    /// Becomes the new one, but for what is in flight and the operator override.
    pub fn restart(&mut self, new: Node) {
        *self = Node {
            in_flight: self.in_flight,
            in_flight_units: self.in_flight_units,
            in_flight_by_rank: std::mem::take(&mut self.in_flight_by_rank),
            answered: self.answered,
            weight: self.weight,
            is_pinned: self.is_pinned,
            ..new
        };
    }

    /// Counts an attempt that is sent.
    pub fn attempt_started(&mut self, now: Instant, rank: usize, units: f64) {
        self.in_flight += 1;
        self.in_flight_units += units;
        self.in_flight_by_rank[rank] += 1;
        self.slow_start.level += units;
        self.last_sent_at = now;
    }

    /// Counts an attempt that has ended, however it did.
    pub fn attempt_finished(&mut self, rank: usize, units: f64) {
        self.in_flight -= 1;
        self.in_flight_units -= units;
        self.in_flight_by_rank[rank] -= 1;
    }

    /// Counts an attempt that was answered well. `work` are the units that it shows the node can do.
    pub fn attempt_answered(&mut self, class: TrafficClassId, latency: f64, work: f64) {
        self.answered += 1;
        self.latency[class.0 as usize].add(latency);
        self.slow_start.level = (self.slow_start.level - work).max(0.0);
    }

    /// The mean over traffic classes of the median time, in seconds.
    pub fn mean_latency(&self) -> Option<f64> {
        let medians = self.latency.iter().filter_map(|histogram| histogram.at(0.5));
        medians.clone().next().map(|_| mean(medians))
    }

    /// Halves the counts of good and bad answers once there are `window` of them.
    pub fn halve_health(&mut self, window: f64) {
        if self.successes + self.failures >= window {
            self.successes /= 2.0;
            self.failures /= 2.0;
        }
    }
}

/// The mean of the values; zero of none.
pub fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 {
        sum / count
    } else {
        0.0
    }
}

/// Smooth weighted round-robin: each gains its part of the weights; the one that has most is chosen.
pub fn next_in_rotation<'a>(nodes: impl Iterator<Item = (&'a mut Node, f64)>) -> Option<ShardId> {
    let mut nodes: Vec<_> = nodes.collect();
    let total: f64 = nodes.iter().map(|(_, weight)| weight).sum();
    nodes.iter_mut().for_each(|(node, weight)| node.rotation += *weight / total);
    let (node, _) = nodes.into_iter().max_by(|a, b| a.0.rotation.total_cmp(&b.0.rotation))?;
    node.rotation -= 1.0;
    Some(node.shard)
}

/// Whether both nodes discard each other's repeats.
pub fn in_same_scope(scope: DedupScope, a: Option<&Node>, b: Option<&Node>) -> bool {
    match scope {
        DedupScope::All => true,
        DedupScope::Zone => a.map(|node| node.zone) == b.map(|node| node.zone),
        DedupScope::Shard => a.map(|node| node.shard) == b.map(|node| node.shard),
    }
}

/// Nodes that a complete list does not name are gone.
pub fn mark_unlisted_gone(nodes: &mut BTreeMap<NodeId, Node>, entries: &[NodeEntry]) {
    let listed: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
    for (_, node) in nodes.iter_mut().filter(|(id, _)| !listed.contains(id)) {
        node.state = NodeState::Gone;
    }
}

/// Drops nodes that are gone and were sent nothing since.
pub fn forget_gone_nodes(
    nodes: &mut BTreeMap<NodeId, Node>,
    shards: &mut BTreeMap<ShardId, Shard>,
    since: Instant,
) {
    let before = nodes.len();
    nodes.retain(|_, node| node.state != NodeState::Gone || node.in_flight > 0 || node.last_sent_at >= since);
    // Also from shards that it was once listed for: none may name a node that is not known.
    if nodes.len() < before {
        shards.values_mut().for_each(|shard| shard.nodes.retain(|id| nodes.contains_key(id)));
    }
}
