//! Decides whether the request at the head of a queue is sent, moved, set aside as late, or rejected.
//!
//! A request that can no longer be answered within its latency objective has little value. It must not displace
//! requests that can still be in time, so it is set aside and sent only when no request in time waits at its shard.
//! The number of late requests set aside is bounded by the node's concurrency limit.

use crate::interface::{FailureReason, HoldReason, Instant, TimeDelta};

/// How long before the deadline a final answer is given, in addition to two steps of the clock.
pub const DEADLINE_MARGIN: TimeDelta = TimeDelta::from_millis(1);

/// The multiple of the expected latency that the client of a late request is asked to wait before it retries: the
/// node may have caught up by then.
const TOO_LATE_RETRY_LATENCIES: usize = 2;

/// The request at the head of a queue, with the inputs of the decision on it.
pub struct QueueHead {
    /// The time by which it has to be answered to meet its latency objective.
    pub objective_at: Instant,
    /// The time by which it must get its final answer.
    pub deadline: Instant,
    /// The expected latency of the shard's node; zero without a node.
    pub expected_latency: TimeDelta,
    /// Whether the shard has a node that accepts requests.
    pub has_node: bool,
    /// It is a new object that another shard can still store.
    pub can_move: bool,
    /// A retry is safe, or there has been no attempt.
    pub is_retry_safe: bool,
    /// It costs more than this host's share of its volume's burst.
    pub exceeds_burst: bool,
    /// Its volume has a limit.
    pub is_limited: bool,
    /// The guard that held it when it was last checked.
    pub held_by: Option<HoldReason>,
    /// The number of late requests that are set aside at its shard.
    pub late_requests: usize,
    /// The concurrency limit of the shard's node, in attempts; zero without a node.
    pub concurrency_limit: f64,
    /// The longest time that a client may be asked to wait before a retry.
    pub max_retry_after: TimeDelta,
}

/// What happens to the request at the head of a queue.
#[derive(Debug, PartialEq)]
pub enum QueueHeadAction {
    /// It is sent next, once its guards allow it.
    Send,
    /// It is moved to another shard.
    Move,
    /// It is set aside as late, until no request in time waits at its shard.
    SetAside,
    /// It gets its final answer: rejected if a retry is safe, else failed.
    Reject {
        /// Why it gets this answer.
        reason: FailureReason,
        /// How long the client is asked to wait before a retry.
        retry_after: TimeDelta,
    },
}

impl QueueHead {
    /// Returns what happens to the request at this time.
    pub fn action(&self, now: Instant) -> QueueHeadAction {
        if !self.has_node && self.can_move && now < self.objective_at {
            return QueueHeadAction::Move;
        }
        let never_sent = self.reason_never_to_send();
        let is_in_time = now + self.expected_latency < self.objective_at.min(self.deadline);
        match never_sent {
            // If it were held, it would block the requests behind it until it is late.
            Some(reason) => QueueHeadAction::Reject { reason, retry_after: self.max_retry_after },
            None if is_in_time => QueueHeadAction::Send,
            // A late request of a limited volume would use units that requests in time need.
            None if self.is_limited || self.late_requests as f64 >= self.concurrency_limit => {
                QueueHeadAction::Reject {
                    reason: FailureReason::TooLate { held_by: self.held_by },
                    retry_after: self.too_late_retry_after(),
                }
            }
            None => QueueHeadAction::SetAside,
        }
    }

    fn too_late_retry_after(&self) -> TimeDelta {
        std::iter::repeat_n(self.expected_latency, TOO_LATE_RETRY_LATENCIES)
            .fold(TimeDelta::ZERO, |sum, latency| sum + latency)
    }

    /// Returns why no guard could ever let the request pass, if that is so.
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
