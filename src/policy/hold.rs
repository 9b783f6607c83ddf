//! Why a waiting request can't be sent now, and when to check it again.

use crate::interface::{HoldReason, Instant, TimeDelta};

/// How long a held request waits until its guards are checked again, if its guard can't tell when it will let the
/// request pass.
pub const GUARD_RECHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(50);
/// The shortest time until a held request is checked again. It keeps the host from spinning if a guard names a time
/// in the past.
pub const MIN_RECHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(1);

/// The result of a guard that holds a request back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hold {
    /// The guard that holds the request.
    pub reason: HoldReason,
    /// When to check the guard again; `None`: only an answer of the node can change the result.
    pub until: Option<Instant>,
}

impl Hold {
    /// Creates a hold until `at`.
    pub fn until(reason: HoldReason, at: Instant) -> Self {
        Hold { reason, until: Some(at) }
    }

    /// Creates a hold until the node's next answer.
    pub fn until_answer(reason: HoldReason) -> Self {
        Hold { reason, until: None }
    }

    /// Returns a hold until `at` if that is after `now`, and `Ok` otherwise.
    pub fn check(reason: HoldReason, at: Instant, now: Instant) -> Result<(), Hold> {
        if at > now {
            return Err(Hold::until(reason, at));
        }
        Ok(())
    }
}
