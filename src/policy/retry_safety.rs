//! When a retry can do no harm (rule 2), whether a failed attempt's request gets one, and what a request that was not done is answered with.
//!
//! An attempt that may have run must not take effect twice. The first attempt of a request that may have had an effect is remembered
//! with its node and time until an outcome proves that it did not run.

use crate::interface::{DedupScope, Effect, FailureReason, Instant, ShardId, TimeDelta, ZoneId};

/// How long before the end of the nodes' dedup window an attempt must have begun: clocks and delays on the way may differ by this.
const DEDUP_WINDOW_MARGIN: TimeDelta = TimeDelta::from_millis(20);
/// How long a failed attempt's request waits before its retry.
pub const RETRY_BACKOFF: TimeDelta = TimeDelta::from_millis(20);

/// Where a node stands, as far as the nodes that discard each other's repeats go.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct NodeLocation {
    /// Where it runs.
    pub zone: ZoneId,
    /// What it holds.
    pub shard: ShardId,
}

/// What a retry's safety depends on.
pub struct RetrySafety {
    /// Of the request's traffic class.
    pub effect: Effect,
    /// When the first attempt was sent that may have had an effect; none: there is no such attempt.
    pub first_effect_at: Option<Instant>,
    /// Where that attempt was sent; none: its node is not known any more.
    pub first_location: Option<NodeLocation>,
}

impl RetrySafety {
    /// Whether a retry can do no harm at some node.
    pub fn allows_retry(&self, now: Instant) -> bool {
        self.first_effect_at.is_none() || self.effect_allows_retry(now)
    }

    /// Whether an attempt at a node that stands at `location` can do no harm.
    pub fn allows_attempt_at(&self, now: Instant, location: Option<NodeLocation>) -> bool {
        let is_in_scope = match self.effect {
            Effect::IdempotentByKey { scope, .. } => {
                in_same_dedup_scope(scope, location, self.first_location)
            }
            Effect::Idempotent | Effect::NonIdempotent => true,
        };
        self.first_effect_at.is_none() || is_in_scope && self.effect_allows_retry(now)
    }

    fn effect_allows_retry(&self, now: Instant) -> bool {
        match self.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::IdempotentByKey { .. } => self.begin_by().is_some_and(|begin_by| now < begin_by),
        }
    }

    /// Until when an attempt must have begun: nodes know a repeat by its idempotency key for the dedup window only.
    pub fn begin_by(&self) -> Option<Instant> {
        match self.effect {
            Effect::IdempotentByKey { window, .. } => {
                Some(self.first_effect_at? + window - DEDUP_WINDOW_MARGIN)
            }
            Effect::Idempotent | Effect::NonIdempotent => None,
        }
    }

    /// Whether a request that was not done may be answered as rejected, which tells its client that a retry is safe. Otherwise it has
    /// failed, with no promise about its effect.
    pub fn may_reject(&self) -> bool {
        match self.effect {
            Effect::Idempotent | Effect::IdempotentByKey { scope: DedupScope::All, .. } => true,
            Effect::IdempotentByKey { .. } | Effect::NonIdempotent => self.first_effect_at.is_none(),
        }
    }
}

/// Whether a node discards repeats of what the first node ran.
fn in_same_dedup_scope(scope: DedupScope, node: Option<NodeLocation>, first: Option<NodeLocation>) -> bool {
    match scope {
        DedupScope::All => true,
        DedupScope::Zone => node.map(|node| node.zone) == first.map(|node| node.zone),
        DedupScope::Shard => node.map(|node| node.shard) == first.map(|node| node.shard),
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
