//! Bounds the retries of a host over any window to a fixed number plus a fraction of the requests that it received
//! (rule 6).
//!
//! Retries multiply the load just when nodes fail. The budget keeps the load that retries add to a fixed fraction of
//! the requests, however many attempts fail.

use crate::interface::{Instant, TimeDelta};
use std::collections::VecDeque;

/// By how much the window is extended for retries and shortened for requests. The host's clock and that of a monitor
/// that checks the rule may differ by some milliseconds; the budget must hold by either clock.
const WINDOW_MARGIN: TimeDelta = TimeDelta::from_millis(20);

/// The maximum number of received requests that are counted. Beyond it the oldest is forgotten, which only lowers the budget.
const MAX_COUNTED_REQUESTS: usize = 65_536;

/// The retries that the budget allows over any `window`.
#[derive(Clone, Copy)]
pub struct RetryBudgetSettings {
    /// The number of retries that are allowed without any request.
    pub free_retries: f64,
    /// The number of retries that each received request adds.
    pub retries_per_request: f64,
    /// The time over which retries and requests are counted.
    pub window: TimeDelta,
}

/// The recent requests and retries of a host. Without settings, retries are not bounded.
#[derive(Default)]
pub struct RetryBudget {
    settings: Option<RetryBudgetSettings>,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates a budget with no requests or retries recorded.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        RetryBudget { settings: Some(settings), ..RetryBudget::default() }
    }

    /// Records a received request.
    pub fn record_request(&mut self, now: Instant) {
        let Some(settings) = self.settings else { return };
        self.forget_before(now - (settings.window + settings.window));
        self.requests.push_back(now);
        if self.requests.len() > MAX_COUNTED_REQUESTS {
            self.requests.pop_front();
        }
    }

    /// Records that a retry is sent.
    pub fn record_retry(&mut self, now: Instant) {
        if self.settings.is_some() {
            self.retries.push_back(now);
        }
    }

    /// Returns whether one more retry is within the budget.
    pub fn allows_retry(&self, now: Instant) -> bool {
        let Some(settings) = self.settings else { return true };
        let retries_since = now - (settings.window + WINDOW_MARGIN);
        let retries = count_since(&self.retries, retries_since);
        let requests = count_since(&self.requests, now + WINDOW_MARGIN - settings.window);
        retries + 1.0 <= settings.free_retries + settings.retries_per_request * requests
    }

    fn forget_before(&mut self, since: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.pop_front_if(|at| *at < since).is_some() {}
        }
    }
}

/// Returns how many of the times are not before `since`. The times are in ascending order. The search is binary, since each
/// retry that waits is checked again and again, and clients determine how many requests are counted.
fn count_since(times: &VecDeque<Instant>, since: Instant) -> f64 {
    let earlier = times.partition_point(|at| *at < since);
    (times.len() - earlier) as f64
}

#[cfg(test)]
mod tests;
