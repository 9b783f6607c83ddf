//! Traffic classes, and how they rank.

use crate::interface::{Effect, TimeDelta};

/// How a request ranks among others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Priority {
    /// 0 is the tightest latency objective.
    pub rank: usize,
    /// The tightest latency objective over this one's.
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

/// Ranks traffic classes by latency objective, the tighter first; gives the tightest.
pub fn rank_by_latency_objective(classes: &mut [TrafficClass]) -> TimeDelta {
    let mut objectives: Vec<TimeDelta> = classes.iter().map(|class| class.latency_objective).collect();
    objectives.sort();
    objectives.dedup();
    let tightest = objectives.first().copied().unwrap_or_default();
    for class in classes {
        class.priority = Priority {
            rank: objectives.iter().position(|objective| *objective == class.latency_objective).unwrap_or(0),
            tightness: tightest.secs() / class.latency_objective.secs().max(1e-6),
            is_reserved: false,
        };
    }
    tightest
}
