//! Chooses the shard of a new object: nodes take turns in a smooth weighted rotation.
//!
//! A node's weight is what it was seen to manage, its concurrency limit over its usual latency. Over time each node gets its part of
//! the objects, without runs of objects at one node.

use crate::interface::ShardId;

/// The usual latency of a node is taken to be at least this, in seconds.
const MIN_LATENCY_SECS: f64 = 1e-3;

/// What a node's weight in the rotation depends on.
pub struct PlacementWeight {
    /// In attempts.
    pub concurrency_limit: f64,
    /// The fraction of its capacity that the node has now: below 1 while it warms up.
    pub capacity_fraction: f64,
    /// The node's usual latency, in seconds; none: it has not answered yet.
    pub latency_secs: Option<f64>,
    /// The mean of the usual latencies of the nodes that have answered, in seconds; a node that has not counts like these.
    pub mean_latency_secs: f64,
    /// An operator's weight; 1 changes nothing.
    pub operator_weight: f64,
}

impl PlacementWeight {
    /// The node's weight in the rotation.
    pub fn weight(&self) -> f64 {
        let capacity = self.capacity_fraction * self.concurrency_limit;
        let latency_secs = self.latency_secs.unwrap_or(self.mean_latency_secs).max(MIN_LATENCY_SECS);
        self.operator_weight * capacity / latency_secs
    }
}

/// A node that can take a new object.
pub struct PlacementCandidate<'a> {
    /// What the node holds.
    pub shard: ShardId,
    /// How far the node is behind in the rotation, in turns.
    pub turns_due: &'a mut f64,
    /// The node's weight.
    pub weight: f64,
}

/// The shard of the next new object, by smooth weighted round-robin: each candidate gains its part of the weights, and the one that is
/// furthest behind is chosen.
pub fn next_in_rotation(mut candidates: Vec<PlacementCandidate>) -> Option<ShardId> {
    let total: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    for candidate in &mut candidates {
        *candidate.turns_due += candidate.weight / total;
    }
    let chosen = candidates.into_iter().max_by(|a, b| a.turns_due.total_cmp(b.turns_due))?;
    *chosen.turns_due -= 1.0;
    Some(chosen.shard)
}
