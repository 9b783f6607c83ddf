//! How waiting requests rank: by latency objective, then by reservation, then by weighted fair queueing.

use crate::interface::{Effect, TimeDelta};

/// Keeps the tightness of a class with a latency objective of zero finite, in seconds.
const MIN_OBJECTIVE_SECS: f64 = 1e-6;

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

/// Requests with one latency objective and one effect.
pub struct TrafficClass {
    /// Time within which an answer has its full worth.
    pub latency_objective: TimeDelta,
    /// Among the other classes.
    pub priority: Priority,
    /// What a retry may do.
    pub effect: Effect,
    /// Whether requests on one key are served in order of arrival.
    pub in_order: bool,
}

/// The order in which requests are sent; the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Score {
    /// Of the traffic class, the tighter first.
    pub rank: usize,
    /// Beyond the volume's reservation.
    pub is_best_effort: bool,
    /// Of the volume at the shard, by start-time fair queueing.
    pub start_tag: f64,
}

/// Ranks traffic classes by latency objective, the tighter first; gives the tightest.
pub fn rank_by_latency_objective(classes: &mut [TrafficClass]) -> TimeDelta {
    let mut objectives: Vec<TimeDelta> = classes.iter().map(|class| class.latency_objective).collect();
    objectives.sort();
    objectives.dedup();
    let tightest = objectives.first().copied().unwrap_or_default();
    for class in classes {
        class.priority = Priority {
            rank: objectives.iter().position(|objective| *objective == class.latency_objective).unwrap_or(0),
            tightness: tightest.secs() / class.latency_objective.secs().max(MIN_OBJECTIVE_SECS),
            is_reserved: false,
        };
    }
    tightest
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
