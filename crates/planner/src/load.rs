//! Loads, nodes, and the order in which latency objectives rank loads.

use crate::curve::Curve;

/// What a volume asks of one traffic class at one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// For people.
    pub name: String,
    /// The time within which its requests are to be answered, seconds.
    pub latency_objective_s: f64,
    /// Units of its largest request.
    pub max_request_units: f64,
    /// Rates and bursts with which none of its requests would wait.
    pub curve: Curve,
}

/// What a node can serve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Node {
    /// Units a second.
    pub capacity: f64,
    /// Seconds that a unit takes at one core: a request's own work is not spread over cores.
    pub unit_service_s: f64,
    /// Units of looser loads that may be in flight at the node when a tighter one arrives: concurrency limits of all hosts
    /// together. The paper's priorities are kept at the queue itself; here a node serves in order of arrival, so these go first.
    pub in_flight_units: f64,
    /// Seconds of the way there and back.
    pub round_trip_s: f64,
}

impl Node {
    /// Seconds that a load may wait behind others, for its latency objective to hold; `rank` is one of `ranks`.
    pub(crate) fn slack_s(&self, load: &Load, rank: usize, ranks: &[Vec<usize>]) -> f64 {
        let is_loosest = rank + 1 == ranks.len();
        let looser_s = if is_loosest { 0.0 } else { self.in_flight_units / self.capacity };
        let service_s = load.max_request_units * self.unit_service_s;
        load.latency_objective_s - self.round_trip_s - service_s - looser_s
    }
}

/// Indices of loads by latency objective: those of equal ones together, tightest first.
pub(crate) fn rank_by_objective(loads: &[&Load]) -> Vec<Vec<usize>> {
    let objective = |index: usize| loads[index].latency_objective_s;
    let mut order: Vec<usize> = (0..loads.len()).collect();
    order.sort_by(|a, b| objective(*a).total_cmp(&objective(*b)));
    order.chunk_by(|a, b| objective(*a) == objective(*b)).map(<[usize]>::to_vec).collect()
}
