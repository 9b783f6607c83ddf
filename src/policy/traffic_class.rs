//! Traffic classes, and how they rank by latency objective.

use super::priority::Priority;
use crate::interface::{Effect, TimeDelta};

/// Keeps the tightness of a class with a latency objective of zero finite, in seconds.
const MIN_OBJECTIVE_SECS: f64 = 1e-6;

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
