//! The settings of a client's retries.

use tackmast::interface::TimeDelta;

/// How often a client retries, and how long it waits before that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Retries that are allowed at once.
    pub max_saved_retries: f64,
    /// Retries that each call earns.
    pub retries_per_call: f64,
    /// Shortest pause before a retry.
    pub min_backoff: TimeDelta,
    /// Longest pause before a connect.
    pub max_connect_backoff: TimeDelta,
    /// Attempts of one call, the first among them.
    pub max_attempts: u32,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        RetryPolicy {
            max_saved_retries: 10.0,
            retries_per_call: 0.2,
            min_backoff: TimeDelta::from_secs(0.01),
            max_connect_backoff: TimeDelta::from_secs(2.0),
            max_attempts: 8,
        }
    }
}
