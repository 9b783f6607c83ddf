//! How waiting requests rank: by latency objective, then by reservation, then by weighted fair queueing.

use crate::interface::TimeDelta;

/// How a request ranks among others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Priority {
    /// 0 is the tightest latency objective.
    pub rank: usize,
    /// The tightest latency objective over this one's, from 0 to 1.
    pub tightness: f64,
    /// Within its volume's reservation.
    pub is_reserved: bool,
}

impl Priority {
    /// Of the tightest latency objective, beyond any reservation.
    pub const HIGHEST: Priority = Priority { rank: 0, tightness: 1.0, is_reserved: false };
}

/// The order in which requests are sent, the lowest first. The fields are compared one after the other, in this order.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Score {
    /// Of the traffic class, the tighter first.
    pub rank: usize,
    /// Beyond the volume's reservation.
    pub is_best_effort: bool,
    /// Of the volume at the shard, by start-time fair queueing.
    pub start_tag: f64,
}

/// The priority of a request now. Once a reserved request has no more time left than the tightest latency objective, it is as tight
/// as the tightest: else the best effort of tighter classes could starve what a loose class has reserved.
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

/// What its volume is charged in fair queueing for a request: its units over the plan's weight; nothing for reserved units.
pub fn weighted_cost(units: f64, plan_weight: f64, is_reserved: bool) -> Option<f64> {
    (!is_reserved).then_some(units / plan_weight)
}
