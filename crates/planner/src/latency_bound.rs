//! A bound on each load's latency at a node (paper, equation 1).

use crate::curve::Point;
use crate::load::{rank_by_objective, Load, Node};

/// Returns an upper bound on the latency of each load, in seconds: the wait by equation 1, plus the round trip, the request's own service
/// and looser loads in flight. The bounds are infinite if the node is overloaded.
pub fn latency_bounds(node: &Node, loads: &[&Load], points: &[Point]) -> Vec<f64> {
    let mut bounds = vec![f64::INFINITY; loads.len()];
    let total_rate: f64 = points.iter().map(|point| point.rate).sum();
    let ranks = rank_by_objective(loads);
    let (mut bursts, mut tighter_rates) = (0.0, 0.0);
    for (rank, indices) in ranks.iter().enumerate() {
        bursts += indices.iter().map(|index| points[*index].burst).sum::<f64>();
        let available = node.capacity - tighter_rates;
        if available > 0.0 && total_rate <= node.capacity {
            for index in indices {
                let load = loads[*index];
                let wait_s = bursts / available;
                bounds[*index] = load.latency_objective_s - node.slack_s(load, rank, &ranks) + wait_s;
            }
        }
        tighter_rates += indices.iter().map(|index| points[*index].rate).sum::<f64>();
    }
    bounds
}
