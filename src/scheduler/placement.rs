//! Choice of the shard of a new object.

use super::node::Node;
use super::Scheduler;
use crate::histogram::mean;
use crate::interface::{NodeState, ShardId};
use crate::policy::placement::{next_in_rotation, PlacementCandidate, PlacementWeight};
use crate::policy::priority::Priority;

impl Scheduler {
    /// Returns the shard of the next new object, among the nodes that have capacity, or if none has, among all that are
    /// ready and not ejected. Returns `None` if there is no such node either.
    pub(super) fn place_new_object(&mut self) -> Option<ShardId> {
        let (now, mean_units) = (self.now, self.settings.mean_units);
        let is_in_service = |node: &Node| node.state == NodeState::Ready && !node.is_ejected();
        let has_capacity = |node: &Node| {
            let request = node.capacity_request(Priority::HIGHEST, mean_units);
            is_in_service(node) && node.limiter.check(now, &request).is_ok()
        };
        let any_capacity = self.nodes.values().any(has_capacity);
        let nodes_in_service = self.nodes.values().filter(|node| is_in_service(node));
        let mean_latency_secs = mean(nodes_in_service.filter_map(Node::usual_latency_secs));
        let slow_start = &self.settings.slow_start;
        let mut candidates = Vec::new();
        for node in self.nodes.values_mut() {
            if !(if any_capacity { has_capacity(node) } else { is_in_service(node) }) {
                continue;
            }
            let is_warming_up = slow_start.is_warming_up(now, node.up_since);
            let weight = PlacementWeight {
                concurrency_limit: node.limiter.limit(),
                capacity_fraction: if is_warming_up { slow_start.initial_capacity() } else { 1.0 },
                latency_secs: node.usual_latency_secs(),
                mean_latency_secs,
                operator_weight: node.operator_override.weight,
            };
            let (shard, weight) = (node.shard, weight.weight());
            candidates.push(PlacementCandidate { shard, turns_due: &mut node.rotation, weight });
        }
        next_in_rotation(candidates)
    }
}
