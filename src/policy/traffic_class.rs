//! Traffic classes, and their ranks by latency objective.

use super::priority::Priority;
use crate::interface::{Effect, TimeDelta};

/// The lower bound on a latency objective in the tightness, in seconds. It keeps the tightness finite for an objective
/// of zero.
const MIN_OBJECTIVE_SECS: f64 = 1e-6;

/// A class of requests with the same latency objective and the same effect.
pub struct TrafficClass {
    /// The time within which a request should be answered. A later answer has little value.
    pub latency_objective: TimeDelta,
    /// The priority among the other classes.
    pub priority: Priority,
    /// The effect of running a request more than once.
    pub effect: Effect,
    /// Whether requests on one key are served in order of arrival.
    pub in_order: bool,
}

/// Sets the priorities of traffic classes by latency objective, tightest first, and returns the tightest objective.
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
