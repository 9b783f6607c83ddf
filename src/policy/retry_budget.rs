//! Bounds the retries of a host over any window: a few free ones, and a share of the requests that it received (rule 6).
//!
//! Retries multiply load just when nodes fail. The budget keeps what all clients together add by retries to a fixed share
//! of the load, however many attempts fail.

use crate::interface::{Instant, TimeDelta};
use std::collections::VecDeque;

/// By how much the window is read wider for retries and narrower for requests: a host's clock and that of whoever checks the rule may differ
/// by some milliseconds, and neither reading may then exceed the budget.
const WINDOW_MARGIN: TimeDelta = TimeDelta::from_millis(20);

/// What the budget allows over any `window`.
#[derive(Clone, Copy)]
pub struct RetryBudgetSettings {
    /// Retries that need no requests.
    pub free_retries: f64,
    /// Retries for each request received.
    pub retries_per_request: f64,
    /// The time over which both are counted.
    pub window: TimeDelta,
}

/// The requests and retries of a host that count now; without settings there is no bound.
#[derive(Default)]
pub struct RetryBudget {
    settings: Option<RetryBudgetSettings>,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// A budget of which nothing is spent.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        RetryBudget { settings: Some(settings), ..RetryBudget::default() }
    }

    /// Counts a request that was received.
    pub fn record_request(&mut self, now: Instant) {
        let Some(settings) = self.settings else { return };
        self.forget_before(now - (settings.window + settings.window));
        self.requests.push_back(now);
    }

    /// Counts a retry that is sent.
    pub fn record_retry(&mut self, now: Instant) {
        if self.settings.is_some() {
            self.retries.push_back(now);
        }
    }

    /// Whether one more retry is within the budget.
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

/// How many of the times, which are in order, are not before `since`.
fn count_since(times: &VecDeque<Instant>, since: Instant) -> f64 {
    times.iter().rev().take_while(|at| **at >= since).count() as f64
}
