//! The fate of the request at the head of a queue: sent, moved, set aside as late, or rejected.
//!
//! A request that can't be answered within its latency objective any more earns little. It must not displace work that can still be in
//! time, so it is set aside and sent only when nothing in time waits at its shard, and a node's worth of such requests is enough.

use crate::interface::{FailureReason, HoldReason, Instant, TimeDelta};

/// Final answers are given this long before the deadline, beside two steps of the clock.
pub const DEADLINE_MARGIN: TimeDelta = TimeDelta::from_millis(1);

/// How many expected latencies the client of a late request is asked to stay away: the node may have caught up by then.
const TOO_LATE_RETRY_LATENCIES: usize = 2;

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
    /// The guard that held it when it was last looked at.
    pub held_by: Option<HoldReason>,
    /// Late requests that are set aside at its shard.
    pub late_requests: usize,
    /// The concurrency limit of the shard's node, in attempts; zero without a node.
    pub concurrency_limit: f64,
    /// The longest time for which a client may be asked to stay away.
    pub max_retry_after: TimeDelta,
}

/// What becomes of a queue's head.
#[derive(Debug, PartialEq)]
pub enum QueueHeadAction {
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
    pub fn action(&self, now: Instant) -> QueueHeadAction {
        if !self.has_node && self.can_move && now < self.objective_at {
            return QueueHeadAction::Move;
        }
        let can_never_be_sent = self.reason_never_to_send();
        let is_in_time = now + self.expected_latency < self.objective_at.min(self.deadline);
        match can_never_be_sent {
            // Held, it would block all that wait behind it until it is late.
            Some(reason) => QueueHeadAction::Reject { reason, retry_after: self.max_retry_after },
            None if is_in_time => QueueHeadAction::Send,
            // A late request of a limited volume would use up units that requests in time need.
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
