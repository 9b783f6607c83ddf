//! Attempt timeouts: when an attempt is given up before the client's deadline.
//!
//! Usually an attempt may take until the client's deadline. Two situations call for a shorter timeout. While attempts
//! are being lost, an attempt that takes far longer than usual must not occupy a slot of the concurrency limit. And
//! at an overloaded node, an attempt has until its latency objective, so that the node can drop late requests.

use super::traffic_class::TrafficClass;
use crate::histogram::Histogram;
use crate::interface::{Effect, TimeDelta};

/// The quantile of the observed latencies that counts as the usual latency.
const USUAL_QUANTILE: f64 = 0.9;
/// The multiple of the usual latency after which an attempt counts as lost.
const TIMEOUT_MULTIPLE: f64 = 3.0;
/// The shortest timeout, as a fraction of the latency objective.
const MIN_OBJECTIVE_FRACTION: f64 = 0.4;
/// The number of observed answers that is needed before their latencies are used.
const MIN_ANSWERS: f64 = 8.0;

/// The inputs of the timeout of an attempt.
pub struct AttemptTimeout<'a> {
    /// The traffic class of the request.
    pub class: &'a TrafficClass,
    /// The latencies of this class at the node.
    pub node_latency: &'a Histogram,
    /// The latencies of this class at all nodes, used while the node has given too few answers.
    pub pool_latency: &'a Histogram,
    /// Attempts are currently being lost.
    pub is_lossy: bool,
    /// The settings allow another attempt after this one.
    pub may_retry: bool,
    /// The node's concurrency limit is below one, which shows that the node is overloaded.
    pub limit_is_below_one: bool,
    /// The time until the request's deadline.
    pub time_left: TimeDelta,
}

impl AttemptTimeout<'_> {
    /// Returns the timeout, or `None` if the attempt may take until the client's deadline. A non-idempotent request
    /// never gets a timeout, since it could not be retried.
    pub fn timeout(&self) -> Option<TimeDelta> {
        if self.class.effect == Effect::NonIdempotent {
            return None;
        }
        let timeout = match self.loss_timeout() {
            Some(timeout) => Some(timeout),
            None => self.limit_is_below_one.then_some(self.class.latency_objective),
        };
        timeout.filter(|timeout| *timeout < self.time_left)
    }

    /// Returns the timeout after which the attempt counts as lost, while attempts are being lost.
    fn loss_timeout(&self) -> Option<TimeDelta> {
        let has_enough_answers = self.node_latency.count() >= MIN_ANSWERS;
        let latency = if has_enough_answers { self.node_latency } else { self.pool_latency };
        if !self.is_lossy || !self.may_retry || latency.count() < MIN_ANSWERS {
            return None;
        }
        let usual_secs = latency.quantile(USUAL_QUANTILE).unwrap_or(0.0);
        let min_timeout = TimeDelta::from_secs(self.class.latency_objective.secs() * MIN_OBJECTIVE_FRACTION);
        Some(TimeDelta::from_secs(usual_secs * TIMEOUT_MULTIPLE).max(min_timeout))
    }
}
