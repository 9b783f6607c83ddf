//! Bounds the retries at each node by a credit that the node's answers earn.
//!
//! The retry budget bounds the retries of a host as a whole. The credit bounds them per node: a node that answers
//! nothing earns no credit, so a failing node gets only a few retries, while retries stay possible at a node with
//! occasional failures.

use super::concurrency_limit::is_fast;
use crate::interface::{Outcome, TimeDelta};

/// The initial credit, in retries.
const INITIAL_CREDIT: f64 = 2.0;
/// The largest credit, in retries.
const MAX_CREDIT: f64 = 8.0;
/// The credit that a success earns.
const ANSWER_CREDIT: f64 = 1.0;
/// The credit that an error earns if it comes well within the latency objective.
const FAST_ERROR_CREDIT: f64 = 1.0;
/// The credit that a retry uses.
const RETRY_COST: f64 = 1.0;

/// The number of retries that may still be sent to a node.
pub struct RetryCredit(f64);

impl RetryCredit {
    /// Creates the credit of a node that has not answered yet.
    pub fn new() -> Self {
        RetryCredit(INITIAL_CREDIT)
    }

    /// Adds the credit that the end of an attempt earns. A fast error earns as much as a success: it shows that the
    /// node has capacity for another attempt. An overloaded node that rejects quickly with an error earns credit as
    /// well; its concurrency limit and outlier detection bound the cost of that.
    pub fn record(&mut self, outcome: Outcome, latency: TimeDelta, objective: TimeDelta) {
        let earned = match outcome {
            Outcome::Done => ANSWER_CREDIT,
            Outcome::Error if is_fast(latency, objective) => FAST_ERROR_CREDIT,
            _ => 0.0,
        };
        self.0 = (self.0 + earned).min(MAX_CREDIT);
    }

    /// Returns whether the credit covers a retry.
    pub fn allows_retry(&self) -> bool {
        self.0 >= RETRY_COST
    }

    /// Takes the credit for a retry that is sent.
    pub fn spend(&mut self) {
        self.0 -= RETRY_COST;
    }
}
