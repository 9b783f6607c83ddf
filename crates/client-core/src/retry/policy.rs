//! The retry settings of a client.

use tackmast::interface::TimeDelta;

/// Settings for how often a client retries calls, and how long it waits before a retry or a connect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Largest number of retries that a client saves up, and so the largest burst of retries.
    pub max_saved_retries: f64,
    /// Number of retries that each call earns, usually a fraction of one.
    pub retries_per_call: f64,
    /// Shortest delay before a retry.
    pub min_backoff: TimeDelta,
    /// Longest delay before a connect, including jitter.
    pub max_connect_backoff: TimeDelta,
    /// Largest number of attempts of one call, including the first.
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
