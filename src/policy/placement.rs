//! Chooses the shard of a new object by smooth weighted round-robin over the nodes.
//!
//! A node's weight is its observed throughput: its concurrency limit divided by its usual latency. Over time each node
//! gets objects in proportion to its weight, without runs of objects at one node.

use crate::interface::ShardId;

/// The lower bound on the usual latency of a node in the weight, in seconds.
const MIN_LATENCY_SECS: f64 = 1e-3;

/// The inputs of a node's weight.
pub struct PlacementWeight {
    /// The node's concurrency limit, in attempts.
    pub concurrency_limit: f64,
    /// The fraction of its full capacity that the node has now; below 1 while it warms up.
    pub capacity_fraction: f64,
    /// The node's usual latency, in seconds; `None`: it has not answered yet.
    pub latency_secs: Option<f64>,
    /// The mean of the usual latencies of the nodes that have answered, in seconds, which is used for nodes that have
    /// not.
    pub mean_latency_secs: f64,
    /// An operator's weight; 1 changes nothing.
    pub operator_weight: f64,
}

impl PlacementWeight {
    /// Returns the node's weight.
    pub fn weight(&self) -> f64 {
        let capacity = self.capacity_fraction * self.concurrency_limit;
        let latency_secs = self.latency_secs.unwrap_or(self.mean_latency_secs).max(MIN_LATENCY_SECS);
        self.operator_weight * capacity / latency_secs
    }
}

/// A node that can take a new object.
pub struct PlacementCandidate<'a> {
    /// The shard that the node holds.
    pub shard: ShardId,
    /// The number of objects by which the node is behind its proportional part.
    pub turns_due: &'a mut f64,
    /// The node's weight.
    pub weight: f64,
}

/// Returns the shard of the next new object, or `None` without candidates. In smooth weighted round-robin, each
/// candidate gains its fraction of the total weight, and the one that is furthest behind is chosen.
pub fn next_in_rotation(mut candidates: Vec<PlacementCandidate>) -> Option<ShardId> {
    let total: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    for candidate in &mut candidates {
        *candidate.turns_due += candidate.weight / total;
    }
    let chosen = candidates.into_iter().max_by(|a, b| a.turns_due.total_cmp(b.turns_due))?;
    *chosen.turns_due -= 1.0;
    Some(chosen.shard)
}
