//! Bounds the retries of a client to a share of its calls.
//!
//! When a gateway rejects much, each client would otherwise multiply the load on it. Each call earns a part of a retry, and what was
//! earned is saved up to a bound.

use super::policy::RetryPolicy;

/// What one retry spends.
const RETRY_COST: f64 = 1.0;

/// The retries that a client has saved.
#[derive(Debug)]
pub(super) struct RetryBudget {
    pub(super) saved: f64,
    max_saved: f64,
    earned_per_call: f64,
}

impl RetryBudget {
    /// A budget of which nothing is spent.
    pub(super) fn new(policy: &RetryPolicy) -> Self {
        let max_saved = policy.max_saved_retries;
        RetryBudget { saved: max_saved, max_saved, earned_per_call: policy.retries_per_call }
    }

    /// Counts a call.
    pub(super) fn record_call(&mut self) {
        self.saved = (self.saved + self.earned_per_call).min(self.max_saved);
    }

    /// Spends one retry; false: there is none.
    pub(super) fn try_spend(&mut self) -> bool {
        let may_spend = self.saved >= RETRY_COST;
        if may_spend {
            self.saved -= RETRY_COST;
        }
        may_spend
    }
}
