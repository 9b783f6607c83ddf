//! Retries that a node's own answers have earned.
//!
//! The retry budget bounds a host's retries as a whole. The credit bounds them at each node: a node that answers nothing earns
//! nothing, so a failing node draws a few retries and no more, while one that fails by chance still gets them.

use super::concurrency_limit::is_fast;
use crate::interface::{Outcome, TimeDelta};

/// Retries that a node starts with.
const INITIAL_CREDIT: f64 = 2.0;
/// Retries that a node can have earned at most.
const MAX_CREDIT: f64 = 8.0;
/// Retries that a good answer earns.
const ANSWER_CREDIT: f64 = 1.0;
/// Retries that an error earns which came well within the latency objective.
const FAST_ERROR_CREDIT: f64 = 1.0;
/// What one retry costs.
const RETRY_COST: f64 = 1.0;

/// Retries that may still be sent to a node.
pub struct RetryCredit(f64);

impl RetryCredit {
    /// The credit of a node of which no answer is known.
    pub fn new() -> Self {
        RetryCredit(INITIAL_CREDIT)
    }

    /// Adds what the end of an attempt earns. A fast error counts like an answer: it shows that the node has capacity for
    /// another attempt. A node that is overrun and rejects quickly by an error earns credit as well; its concurrency limit and
    /// the outlier detection bound what that costs.
    pub fn record(&mut self, outcome: Outcome, latency: TimeDelta, objective: TimeDelta) {
        let earned = match outcome {
            Outcome::Done => ANSWER_CREDIT,
            Outcome::Error if is_fast(latency, objective) => FAST_ERROR_CREDIT,
            _ => 0.0,
        };
        self.0 = (self.0 + earned).min(MAX_CREDIT);
    }

    /// Whether a retry is paid for.
    pub fn allows_retry(&self) -> bool {
        self.0 >= RETRY_COST
    }

    /// Pays for a retry that is sent.
    pub fn spend(&mut self) {
        self.0 -= RETRY_COST;
    }
}
