//! Why a waiting request can't be sent now, and when to look again.

use crate::interface::{HoldReason, Instant, TimeDelta};

/// How long a held request waits before its guards are asked again, where no guard can tell when it will let the request pass.
pub const GUARD_RECHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(50);
/// A held request is not looked at again before this, so that a guard which names a time in the past can't make the host spin.
pub const MIN_RECHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(1);

/// A guard that holds a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hold {
    /// Which guard.
    pub reason: HoldReason,
    /// When to look again; none: only an answer can change it.
    pub until: Option<Instant>,
}

impl Hold {
    /// Holds until then.
    pub fn until(reason: HoldReason, at: Instant) -> Self {
        Hold { reason, until: Some(at) }
    }

    /// Holds until the node's next answer.
    pub fn until_answer(reason: HoldReason) -> Self {
        Hold { reason, until: None }
    }

    /// Holds while `at` is still to come.
    pub fn check(reason: HoldReason, at: Instant, now: Instant) -> Result<(), Hold> {
        if at > now {
            return Err(Hold::until(reason, at));
        }
        Ok(())
    }
}
