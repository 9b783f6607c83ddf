//! Decides whether a retry is safe (rule 2), whether a request gets a retry after a failed attempt, and whether a
//! request that was not done is rejected or failed.
//!
//! A request must not take effect twice. The node and the time of its first attempt that may have had an effect are
//! kept until an outcome proves that the attempt did not run.

use crate::interface::{DedupScope, Effect, FailureReason, Instant, ShardId, TimeDelta, ZoneId};

/// How long before the end of the nodes' dedup window an attempt must have begun. It covers clock differences and
/// transmission delays.
const DEDUP_WINDOW_MARGIN: TimeDelta = TimeDelta::from_millis(20);
/// The backoff before the retry of a failed attempt.
pub const RETRY_BACKOFF: TimeDelta = TimeDelta::from_millis(20);

/// The location of a node, which determines the nodes that share its idempotency keys.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct NodeLocation {
    /// The zone in which the node runs.
    pub zone: ZoneId,
    /// The shard that the node holds.
    pub shard: ShardId,
}

/// The facts about a request from which it follows whether a retry is safe.
pub struct RetrySafety {
    /// The effect of the request's traffic class.
    pub effect: Effect,
    /// When the first attempt that may have had an effect was sent; `None`: there is no such attempt.
    pub first_effect_at: Option<Instant>,
    /// The location of the node of that attempt; `None`: the node is no longer known.
    pub first_location: Option<NodeLocation>,
}

impl RetrySafety {
    /// Returns whether a retry is safe at some node.
    pub fn allows_retry(&self, now: Instant) -> bool {
        self.first_effect_at.is_none() || self.effect_allows_retry(now)
    }

    /// Returns whether an attempt at the node with this location is safe.
    pub fn allows_attempt_at(&self, now: Instant, location: Option<NodeLocation>) -> bool {
        let is_in_scope = match self.effect {
            Effect::IdempotentByKey { scope, .. } => {
                in_same_dedup_scope(scope, location, self.first_location)
            }
            Effect::Idempotent | Effect::NonIdempotent => true,
        };
        self.first_effect_at.is_none() || is_in_scope && self.effect_allows_retry(now)
    }

    /// Returns whether the effect allows a retry after an attempt that may have had one.
    fn effect_allows_retry(&self, now: Instant) -> bool {
        match self.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::IdempotentByKey { .. } => self.begin_by().is_some_and(|begin_by| now < begin_by),
        }
    }

    /// Returns the time by which an attempt must have begun, if there is such a bound: nodes recognise a repeat by its
    /// idempotency key only within the dedup window.
    pub fn begin_by(&self) -> Option<Instant> {
        match self.effect {
            Effect::IdempotentByKey { window, .. } => {
                Some(self.first_effect_at? + window - DEDUP_WINDOW_MARGIN)
            }
            Effect::Idempotent | Effect::NonIdempotent => None,
        }
    }

    /// Returns whether a request that was not done may be rejected, which tells the client that a retry is safe.
    /// Otherwise its final answer is failed, and it may have had an effect.
    pub fn may_reject(&self) -> bool {
        match self.effect {
            Effect::Idempotent | Effect::IdempotentByKey { scope: DedupScope::All, .. } => true,
            Effect::IdempotentByKey { .. } | Effect::NonIdempotent => self.first_effect_at.is_none(),
        }
    }
}

/// Returns whether `node` discards repeats of requests that `first` ran.
fn in_same_dedup_scope(scope: DedupScope, node: Option<NodeLocation>, first: Option<NodeLocation>) -> bool {
    match scope {
        DedupScope::All => true,
        DedupScope::Zone => node.map(|node| node.zone) == first.map(|node| node.zone),
        DedupScope::Shard => node.map(|node| node.shard) == first.map(|node| node.shard),
    }
}

/// The facts about a request with a failed attempt from which it follows whether there is a retry.
pub struct FailedAttempt {
    /// The number of attempts so far.
    pub attempts: u32,
    /// The number of attempts that the settings allow.
    pub max_attempts: u32,
    /// The time by which the request has to be answered to meet its latency objective.
    pub objective_at: Instant,
    /// A retry is safe at some node.
    pub is_retry_safe: bool,
}

impl FailedAttempt {
    /// Returns why there is no retry, or `None` if there is one as soon as the guards allow it.
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
