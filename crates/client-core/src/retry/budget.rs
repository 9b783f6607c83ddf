//! Limits the retries of a client to a fraction of its calls.
//!
//! Without the limit, clients would multiply the load on a gateway that rejects many requests. Each call earns a fraction of a
//! retry, and earned retries are saved up to a bound.

use super::policy::RetryPolicy;

/// Amount that one retry takes from the saved retries.
const RETRY_COST: f64 = 1.0;

/// The retry budget of a client, a token bucket that calls fill and retries empty.
#[derive(Debug)]
pub(super) struct RetryBudget {
    pub(super) saved: f64,
    max_saved: f64,
    earned_per_call: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub(super) fn new(policy: &RetryPolicy) -> Self {
        let max_saved = policy.max_saved_retries;
        RetryBudget { saved: max_saved, max_saved, earned_per_call: policy.retries_per_call }
    }

    /// Records a call, which earns a fraction of a retry.
    pub(super) fn record_call(&mut self) {
        self.saved = (self.saved + self.earned_per_call).min(self.max_saved);
    }

    /// Spends one retry. Returns false if less than one is saved.
    pub(super) fn try_spend(&mut self) -> bool {
        let may_spend = self.saved >= RETRY_COST;
        if may_spend {
            self.saved -= RETRY_COST;
        }
        may_spend
    }
}
