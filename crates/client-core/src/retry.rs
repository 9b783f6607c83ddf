//! Decides whether a call is retried, and how it is answered otherwise.
//!
//! A call is retried only if the gateway reported that it did not run or if it is a read, only within a budget, so that retries
//! don't multiply the load, and never past its deadline.

mod backoff;
mod budget;
mod policy;
#[cfg(test)]
mod tests;

pub use policy::RetryPolicy;

use backoff::{connect_backoff, Jitter};
use budget::RetryBudget;
use tackmast::interface::{Instant, TimeDelta};

/// How one attempt ended without being done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The gateway reported that it did not run.
    Rejected {
        /// How long the gateway asks the client to wait before a retry, or `None` if it named no delay.
        retry_after: Option<TimeDelta>,
    },
    /// The gateway reported a failure; whether the attempt took effect is unknown.
    Failed,
    /// Its session ended while it was in flight.
    SessionLost,
}

/// An attempt that ended, with the facts that decide on a retry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    /// How the attempt ended.
    pub(crate) end: AttemptEnd,
    /// Whether the operation changes the volume.
    pub(crate) is_write: bool,
    /// Number of attempts of the call so far, including this one.
    pub(crate) attempts: u32,
    /// Time from the sending of the attempt to its end.
    pub(crate) duration: TimeDelta,
    /// Deadline of the call.
    pub(crate) deadline: Instant,
}

/// The decision on a call whose attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryVerdict {
    /// Retry the call at this time.
    RetryAt(Instant),
    /// Answer that the call did not run, with the delay that the gateway asked for, if any.
    Reject(Option<TimeDelta>),
    /// Answer that the call failed, and that its effect is unknown.
    Fail,
}

impl EndedAttempt {
    /// Returns whether a retry is safe. Repeating a write that may have run could overwrite what another client has written since.
    fn is_retry_safe(&self) -> bool {
        match self.end {
            AttemptEnd::Rejected { .. } => true,
            AttemptEnd::Failed | AttemptEnd::SessionLost => !self.is_write,
        }
    }

    /// Returns the delay that the gateway asked for, if any.
    fn retry_after(&self) -> Option<TimeDelta> {
        match self.end {
            AttemptEnd::Rejected { retry_after } => retry_after,
            AttemptEnd::Failed | AttemptEnd::SessionLost => None,
        }
    }

    /// Returns the answer to a call that is not retried. A call whose attempt may have run is never answered as rejected.
    fn verdict_without_retry(&self) -> RetryVerdict {
        match self.end {
            AttemptEnd::Rejected { retry_after } => RetryVerdict::Reject(retry_after),
            AttemptEnd::Failed | AttemptEnd::SessionLost => RetryVerdict::Fail,
        }
    }

    /// Returns whether a retry at `retry_at` that takes as long as this attempt would end before the deadline. A longer one would
    /// be in flight at the deadline, and a call that could be answered as rejected would be answered as failed.
    fn leaves_time(&self, retry_at: Instant) -> bool {
        retry_at + self.duration < self.deadline
    }
}

/// Decides on the retries of a client and on the backoff between its connects.
#[derive(Debug)]
pub(crate) struct RetryDecider {
    policy: RetryPolicy,
    budget: RetryBudget,
    jitter: Jitter,
}

impl RetryDecider {
    /// Creates a decider with a full budget. The same `seed` yields the same jitter.
    pub(crate) fn new(policy: RetryPolicy, seed: u64) -> Self {
        RetryDecider { policy, budget: RetryBudget::new(&policy), jitter: Jitter::new(seed) }
    }

    /// Records a call, which adds a fraction of a retry to the budget.
    pub(crate) fn record_call(&mut self) {
        self.budget.record_call();
    }

    /// Decides whether to retry a call whose attempt ended at `now`, and charges a retry to the budget.
    pub(crate) fn decide(&mut self, now: Instant, attempt: &EndedAttempt) -> RetryVerdict {
        if !attempt.is_retry_safe() {
            return attempt.verdict_without_retry();
        }
        let min_backoff = self.policy.min_backoff;
        let backoff = attempt.retry_after().unwrap_or(min_backoff).max(min_backoff);
        let retry_at = now + self.jitter.lengthen(backoff);
        let may_retry = attempt.leaves_time(retry_at) && attempt.attempts < self.policy.max_attempts;
        if may_retry && self.budget.try_spend() {
            return RetryVerdict::RetryAt(retry_at);
        }
        attempt.verdict_without_retry()
    }

    /// Returns how long to wait before the next connect after `failures` consecutive failures.
    pub(crate) fn connect_backoff(&mut self, failures: u32) -> TimeDelta {
        self.jitter.lengthen(connect_backoff(failures, self.policy.max_connect_backoff))
    }
}
