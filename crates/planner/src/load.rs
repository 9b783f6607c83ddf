//! Loads, nodes, and the order in which latency objectives rank loads.

use crate::curve::Curve;

/// The load of one volume in one traffic class at one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// A name, for people.
    pub name: String,
    /// The time within which its requests have to be answered, in seconds.
    pub latency_objective_s: f64,
    /// The cost of its largest request, in units.
    pub max_request_units: f64,
    /// The rates and bursts with which none of its requests waits.
    pub curve: Curve,
}

/// The capacity and the delays of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Node {
    /// The capacity of all cores together, in units per second.
    pub capacity: f64,
    /// The service time of a unit at one core, in seconds: a request is not spread over cores.
    pub unit_service_s: f64,
    /// The units of looser loads that may be in flight at the node when a request of a tighter load arrives: the sum of the concurrency
    /// limits of all hosts. In the paper the queue itself serves by priority; here a node serves in order of arrival, so these units
    /// are served first.
    pub in_flight_units: f64,
    /// The network round trip, in seconds.
    pub round_trip_s: f64,
}

impl Node {
    /// Returns how long a request of the load may wait for others so that its latency objective holds, in seconds. `rank` is the load's
    /// index in `ranks`.
    pub(crate) fn slack_s(&self, load: &Load, rank: usize, ranks: &[Vec<usize>]) -> f64 {
        let is_loosest = rank + 1 == ranks.len();
        let looser_s = if is_loosest { 0.0 } else { self.in_flight_units / self.capacity };
        let service_s = load.max_request_units * self.unit_service_s;
        load.latency_objective_s - self.round_trip_s - service_s - looser_s
    }
}

/// Groups the indices of loads by latency objective, tightest first. Loads with equal objectives are in the same group.
pub(crate) fn rank_by_objective(loads: &[&Load]) -> Vec<Vec<usize>> {
    let objective = |index: usize| loads[index].latency_objective_s;
    let mut order: Vec<usize> = (0..loads.len()).collect();
    order.sort_by(|a, b| objective(*a).total_cmp(&objective(*b)));
    order.chunk_by(|a, b| objective(*a) == objective(*b)).map(<[usize]>::to_vec).collect()
}
