//! The order of waiting requests: by latency objective, then by reservation, then by weighted fair queueing.

use crate::interface::TimeDelta;

/// The priority of a request, or of a traffic class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Priority {
    /// The rank of the latency objective; 0 is the tightest.
    pub rank: usize,
    /// The ratio of the tightest latency objective to this one, from 0 to 1.
    pub tightness: f64,
    /// The request is within its volume's reservation.
    pub is_reserved: bool,
}

impl Priority {
    /// The priority of best effort with the tightest latency objective.
    pub const HIGHEST: Priority = Priority { rank: 0, tightness: 1.0, is_reserved: false };
}

/// The sort key by which requests are sent, lowest first. The fields are compared in this order.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Score {
    /// The rank of the latency objective; 0 is the tightest.
    pub rank: usize,
    /// The request exceeds its volume's reservation.
    pub is_best_effort: bool,
    /// The start tag of the volume at the shard, from start-time fair queueing.
    pub start_tag: f64,
}

/// Returns the current priority of a request. Once a reserved request has no more time left than the tightest latency
/// objective, it gets the priority of that objective: otherwise best effort in tighter classes could starve the
/// reservation of a loose class.
pub fn current_priority(
    class: Priority,
    is_reserved: bool,
    time_to_objective: TimeDelta,
    tightest_objective: TimeDelta,
) -> Priority {
    let is_urgent = is_reserved && time_to_objective <= tightest_objective;
    let priority = if is_urgent { Priority::HIGHEST } else { class };
    Priority { is_reserved, ..priority }
}

/// Returns the cost of a request in fair queueing: its units divided by the plan's weight, or `None` for reserved
/// units, which are not charged.
pub fn weighted_cost(units: f64, plan_weight: f64, is_reserved: bool) -> Option<f64> {
    (!is_reserved).then_some(units / plan_weight)
}
