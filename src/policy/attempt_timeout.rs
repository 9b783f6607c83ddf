//! When an attempt is given up before its client gives up.
//!
//! Ordinarily an attempt has until its client's deadline. Two situations call for less: while attempts get lost on the way, one that
//! takes far longer than usual must not keep its place under the concurrency limit; and at a crowded node an attempt has until its latency
//! objective, so that the node can drop what is late.

use super::traffic_class::TrafficClass;
use crate::histogram::Histogram;
use crate::interface::{Effect, TimeDelta};

/// The quantile of the latencies seen that counts as usual.
const USUAL_QUANTILE: f64 = 0.9;
/// An attempt counts as lost after this many times the usual latency.
const TIMEOUT_MULTIPLE: f64 = 3.0;
/// The shortest timeout, as a fraction of the latency objective.
const MIN_OBJECTIVE_FRACTION: f64 = 0.4;
/// Answers that must have been seen before their latencies are gone by.
const MIN_ANSWERS: f64 = 8.0;

/// What the timeout of an attempt depends on.
pub struct AttemptTimeout<'a> {
    /// Of the request.
    pub class: &'a TrafficClass,
    /// Latencies of this class at the node.
    pub node_latency: &'a Histogram,
    /// Latencies of this class at all nodes, for a node that has answered too little.
    pub pool_latency: &'a Histogram,
    /// Attempts get lost at the moment.
    pub is_lossy: bool,
    /// The settings allow another attempt after this one.
    pub may_retry: bool,
    /// The node's concurrency limit has been cut below one.
    pub limit_is_below_one: bool,
    /// Until the request's deadline.
    pub time_left: TimeDelta,
}

impl AttemptTimeout<'_> {
    /// The timeout; none: until the client's deadline. A non-idempotent request never gets one, since it could not be retried.
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

    fn loss_timeout(&self) -> Option<TimeDelta> {
        let has_seen_enough = self.node_latency.count() >= MIN_ANSWERS;
        let latency = if has_seen_enough { self.node_latency } else { self.pool_latency };
        if !self.is_lossy || !self.may_retry || latency.count() < MIN_ANSWERS {
            return None;
        }
        let usual_secs = latency.quantile(USUAL_QUANTILE).unwrap_or(0.0);
        let shortest = TimeDelta::from_secs(self.class.latency_objective.secs() * MIN_OBJECTIVE_FRACTION);
        Some(TimeDelta::from_secs(usual_secs * TIMEOUT_MULTIPLE).max(shortest))
    }
}
