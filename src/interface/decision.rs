//! What the host is to do next, why a request is held, and why it ends without being done.

use super::{Instant, NodeId, RequestId, SchedulerEvent, TimeDelta};

/// What the host is to do next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send an attempt.
    Send {
        /// Of this request.
        request: RequestId,
        /// To this node.
        node: NodeId,
        /// Give up after this time; none: when the client gives up.
        timeout: Option<TimeDelta>,
        /// An attempt whose first byte has not been written by then must not be sent any more: the nodes may have
        /// forgotten the first one that ran.
        begin_by: Option<Instant>,
    },
    /// Final answer: not done, and a retry is safe.
    Reject {
        /// The request that is over.
        request: RequestId,
        /// The client should come back after this time, where one is given.
        retry_after: Option<TimeDelta>,
        /// Why it was not done.
        reason: FailureReason,
    },
    /// Final answer: not done, and no promise about its effect.
    Fail {
        /// The request that is over.
        request: RequestId,
        /// Why it was not done.
        reason: FailureReason,
    },
    /// Subscribe to changes of the endpoint list.
    WatchEndpointList,
    /// Something for the log; nothing is to be done.
    Event(SchedulerEvent),
}

/// Why a request got its final answer without being done. Whether that answer is a rejection or a failure depends only on
/// whether a retry is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// Its deadline came.
    DeadlineReached {
        /// The guard that held it when it was last looked at; none: an attempt was in flight, or it waited behind others.
        held_by: Option<HoldReason>,
    },
    /// It can't be answered within its latency objective any more, and no late request is wanted: its volume has a limit, or as
    /// many late requests wait at the node as may be in flight there.
    TooLate {
        /// The guard that held it when it was last looked at; none: it waited behind others.
        held_by: Option<HoldReason>,
    },
    /// It costs more than this host's share of its volume's burst, so no wait would let it pass.
    ExceedsBurst,
    /// An attempt may have run, and running the request again is not safe.
    RetryUnsafe,
    /// It had as many attempts as the settings allow.
    AttemptsExhausted,
    /// An attempt failed after the latency objective was over.
    RetryTooLate,
}

impl FailureReason {
    /// The reason's name, without the guard.
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

    /// The guard that held the request when it was last looked at, where the reason depends on it.
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

/// Which guard holds a request. The guards are asked in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// The shard has no node that takes requests.
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
    /// The node's answers have not earned a retry.
    RetryCredit,
    /// The host's retry budget is spent.
    RetryBudget,
    /// Another request on the same key goes first.
    KeyOrder,
    /// It costs more than this host's share of its volume's burst.
    ExceedsBurst,
    /// The volume's limit is used up for now.
    VolumeLimit,
    /// The node is warming up.
    SlowStart,
}
