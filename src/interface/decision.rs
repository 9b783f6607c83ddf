//! The decisions that a host carries out, the reasons for holding a request, and the reasons for a final answer
//! other than done.

use super::{Instant, NodeId, RequestId, SchedulerEvent, TimeDelta};

/// An action that the host carries out next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send an attempt.
    Send {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The node to send it to.
        node: NodeId,
        /// How long the host waits for the answer; `None`: until the client's deadline.
        timeout: Option<TimeDelta>,
        /// The time by which the first byte must be written. After it the attempt must not be sent any more: the
        /// nodes may no longer know the idempotency key of the first attempt that ran. `None`: no bound.
        begin_by: Option<Instant>,
    },
    /// Give the final answer "rejected": the request was not done, and a retry is safe.
    Reject {
        /// The request that gets the answer.
        request: RequestId,
        /// How long the client is asked to wait before it retries; `None`: the answer names no time.
        retry_after: Option<TimeDelta>,
        /// Why it was not done.
        reason: FailureReason,
    },
    /// Give the final answer "failed": the request was not done, and may nevertheless have had an effect.
    Fail {
        /// The request that gets the answer.
        request: RequestId,
        /// Why it was not done.
        reason: FailureReason,
    },
    /// Subscribe to changes of the endpoint list.
    WatchEndpointList,
    /// Log an event; the host takes no other action.
    Event(SchedulerEvent),
}

/// Why a request was rejected or failed. Which of the two it is depends only on whether a retry is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// Its deadline passed.
    DeadlineReached {
        /// The guard that held it when it was last checked; `None`: an attempt was in flight, or the request
        /// waited behind others.
        held_by: Option<HoldReason>,
    },
    /// It can no longer be answered within its latency objective, and it is not kept as a late request: its volume
    /// has a limit, or as many late requests already wait at the node as its concurrency limit allows in flight.
    TooLate {
        /// The guard that held it when it was last checked; `None`: it waited behind others.
        held_by: Option<HoldReason>,
    },
    /// It costs more than this host's share of its volume's burst, so it could never be sent.
    ExceedsBurst,
    /// An attempt may have run, and running the request again is not safe.
    RetryUnsafe,
    /// It has used all attempts that the settings allow.
    AttemptsExhausted,
    /// An attempt failed after the latency objective had passed.
    RetryTooLate,
}

impl FailureReason {
    /// Returns the name of the reason, without the guard.
    pub fn name(&self) -> &'static str {
        match self {
            FailureReason::DeadlineReached { .. } => "DeadlineReached",
            FailureReason::TooLate { .. } => "TooLate",
            FailureReason::ExceedsBurst => "ExceedsBurst",
            FailureReason::RetryUnsafe => "RetryUnsafe",
            FailureReason::AttemptsExhausted => "AttemptsExhausted",
            FailureReason::RetryTooLate => "RetryTooLate",
        }
    }

    /// Returns the guard that held the request when it was last checked, for the reasons that record one.
    pub fn held_by(&self) -> Option<HoldReason> {
        match self {
            FailureReason::DeadlineReached { held_by } | FailureReason::TooLate { held_by } => *held_by,
            FailureReason::ExceedsBurst
            | FailureReason::RetryUnsafe
            | FailureReason::AttemptsExhausted
            | FailureReason::RetryTooLate => None,
        }
    }
}

/// The guard that holds a request. The guards are checked in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// The shard has no node that accepts requests.
    NoReadyNode,
    /// The node has as many attempts in flight as its concurrency limit allows.
    ConcurrencyLimit,
    /// The node's concurrency limit is below one, and the pause since the last attempt is not over.
    SendPause,
    /// The backoff before a retry is not over.
    Backoff,
    /// An attempt may have run, and running the request again at this node is not safe.
    RetryUnsafe,
    /// The node is ejected, and its next probe is not due.
    Ejected,
    /// The node's retry credit is used up.
    RetryCredit,
    /// The host's retry budget is used up.
    RetryBudget,
    /// An earlier request on the same key is sent first, or may still be running.
    KeyOrder,
    /// It costs more than this host's share of its volume's burst.
    ExceedsBurst,
    /// The volume's limit is used up for now.
    VolumeLimit,
    /// The node is warming up, and this host's part of what it can take is in use.
    SlowStart,
}
