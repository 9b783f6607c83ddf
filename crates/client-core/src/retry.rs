//! When a call is retried, and what its caller is answered otherwise.
//!
//! A retry is made only where the answer says that it is safe, or for a read; only within a budget, so that retries never become a
//! load of their own; and never past the call's deadline.

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
    /// The gateway says that it did not run.
    Rejected {
        /// How long to wait before a retry, where the gateway said so.
        retry_after: Option<TimeDelta>,
    },
    /// The gateway makes no promise about its effect.
    Failed,
    /// Its session ended while it was in flight.
    SessionLost,
}

/// An attempt that ended, with what the decision on a retry depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    /// How it ended.
    pub(crate) end: AttemptEnd,
    /// The operation changes the volume.
    pub(crate) is_write: bool,
    /// Attempts of the call so far, this one among them.
    pub(crate) attempts: u32,
    /// From its sending to its end.
    pub(crate) duration: TimeDelta,
    /// Of the call.
    pub(crate) deadline: Instant,
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryVerdict {
    /// Retry at this time.
    RetryAt(Instant),
    /// Answer the caller: it did not run, with how long to wait where the gateway said so.
    Reject(Option<TimeDelta>),
    /// Answer the caller: no promise about its effect.
    Fail,
}

impl EndedAttempt {
    /// Whether a retry can do no harm. A write that may have run could overwrite what another client wrote meanwhile.
    fn is_retry_safe(&self) -> bool {
        match self.end {
            AttemptEnd::Rejected { .. } => true,
            AttemptEnd::Failed | AttemptEnd::SessionLost => !self.is_write,
        }
    }

    /// How long the gateway asks the caller to wait.
    fn retry_after(&self) -> Option<TimeDelta> {
        match self.end {
            AttemptEnd::Rejected { retry_after } => retry_after,
            AttemptEnd::Failed | AttemptEnd::SessionLost => None,
        }
    }

    /// The answer where no retry is made. An attempt that may have run is never answered as rejected.
    fn verdict_without_retry(&self) -> RetryVerdict {
        match self.end {
            AttemptEnd::Rejected { retry_after } => RetryVerdict::Reject(retry_after),
            AttemptEnd::Failed | AttemptEnd::SessionLost => RetryVerdict::Fail,
        }
    }

    /// Whether a retry at `retry_at` can be expected to end by the deadline, if it takes as long as this attempt. One that cannot would
    /// be in flight at the deadline, and an answer that promises no effect would become one that promises nothing.
    fn leaves_time(&self, retry_at: Instant) -> bool {
        retry_at + self.duration < self.deadline
    }
}

/// Decides on the retries of a client, and on its pauses between connects.
#[derive(Debug)]
pub(crate) struct RetryDecider {
    policy: RetryPolicy,
    budget: RetryBudget,
    jitter: Jitter,
}

impl RetryDecider {
    /// A decider of which no budget is spent; `seed` makes its jitter reproducible.
    pub(crate) fn new(policy: RetryPolicy, seed: u64) -> Self {
        RetryDecider { policy, budget: RetryBudget::new(&policy), jitter: Jitter::new(seed) }
    }

    /// Counts a call, which earns a part of a retry.
    pub(crate) fn record_call(&mut self) {
        self.budget.record_call();
    }

    /// Decides what follows an attempt that ended at `now`, and spends the budget for a retry.
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

    /// How long to wait before the next connect, after so many failures in a row.
    pub(crate) fn connect_backoff(&mut self, failures: u32) -> TimeDelta {
        self.jitter.lengthen(connect_backoff(failures, self.policy.max_connect_backoff))
    }
}
