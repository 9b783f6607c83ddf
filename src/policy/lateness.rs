//! What becomes of the request at the head of a queue: sent, moved, set aside as late, or rejected.
//!
//! A request that can't be answered within its latency objective any more earns little. It must not displace work that can still be in
//! time, so it is set aside and sent only when nothing in time waits at its shard, and a node's worth of such requests is enough.

use crate::interface::{FailureReason, Instant, TimeDelta};

/// Final answers are given this long before the deadline, beside two steps of the clock.
pub const DEADLINE_MARGIN: TimeDelta = TimeDelta::from_millis(1);

/// What the fate of a queue's head depends on.
pub struct QueueHead {
    /// When its latency objective ends.
    pub objective_at: Instant,
    /// When it must have its final answer.
    pub deadline: Instant,
    /// How long an answer of the shard's node is expected to take; zero without a node.
    pub expected_latency: TimeDelta,
    /// Whether the shard has a node that takes requests.
    pub has_node: bool,
    /// A new object that another shard can still take.
    pub can_move: bool,
    /// A retry would do no harm, or it has had no attempt.
    pub is_retry_safe: bool,
    /// It costs more than this host's share of its volume's burst.
    pub exceeds_burst: bool,
    /// Its volume has a limit.
    pub is_limited: bool,
    /// Late requests that are set aside at its shard.
    pub late_requests: usize,
    /// The concurrency limit of the shard's node, in attempts; zero without a node.
    pub concurrency_limit: f64,
    /// The longest time for which a client may be asked to stay away.
    pub max_retry_after: TimeDelta,
}

/// What becomes of a queue's head.
#[derive(Debug, PartialEq)]
pub enum QueueHeadFate {
    /// It is next to be sent, when its guards let it.
    Send,
    /// It finds another shard.
    Move,
    /// It waits until nothing in time waits at its shard.
    SetAside,
    /// It gets its final answer.
    Reject {
        /// Why.
        reason: FailureReason,
        /// When its client should come back.
        retry_after: TimeDelta,
    },
}

impl QueueHead {
    /// What becomes of it at this time.
    pub fn fate(&self, now: Instant) -> QueueHeadFate {
        if !self.has_node && self.can_move && now < self.objective_at {
            return QueueHeadFate::Move;
        }
        let can_never_be_sent = self.reason_never_to_send();
        let is_in_time = now + self.expected_latency < self.objective_at.min(self.deadline);
        match can_never_be_sent {
            // Held, it would block all that wait behind it until it is late.
            Some(reason) => QueueHeadFate::Reject { reason, retry_after: self.max_retry_after },
            None if is_in_time => QueueHeadFate::Send,
            None if self.is_limited || self.late_requests as f64 >= self.concurrency_limit => {
                QueueHeadFate::Reject {
                    reason: FailureReason::TooLate,
                    retry_after: self.expected_latency + self.expected_latency,
                }
            }
            None => QueueHeadFate::SetAside,
        }
    }

    fn reason_never_to_send(&self) -> Option<FailureReason> {
        if !self.is_retry_safe {
            Some(FailureReason::RetryUnsafe)
        } else if self.exceeds_burst {
            Some(FailureReason::ExceedsBurst)
        } else {
            None
        }
    }
}

/// A failed attempt's request, as far as the decision on a retry goes.
pub struct FailedAttempt {
    /// Attempts that the request has had.
    pub attempts: u32,
    /// Attempts that the settings allow.
    pub max_attempts: u32,
    /// When the request's latency objective ends.
    pub objective_at: Instant,
    /// A retry would do no harm at some node.
    pub is_retry_safe: bool,
}

impl FailedAttempt {
    /// Why there is no retry; none: there is one, as soon as the guards allow it.
    pub fn reason_not_to_retry(&self, now: Instant) -> Option<FailureReason> {
        if self.attempts >= self.max_attempts {
            Some(FailureReason::AttemptsExhausted)
        } else if self.objective_at <= now {
            Some(FailureReason::RetryTooLate)
        } else if !self.is_retry_safe {
            Some(FailureReason::RetryUnsafe)
        } else {
            None
        }
    }
}
