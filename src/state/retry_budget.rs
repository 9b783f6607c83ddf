//! How many retries this host may send (rule 6).

use crate::interface::{Instant, TimeDelta};
use std::collections::VecDeque;

/// Retries, as a few free ones plus a share of the requests received, over any window.
#[derive(Default)]
pub struct RetryBudget {
    /// Retries that need no requests.
    pub free: f64,
    /// Retries a request.
    pub share: f64,
    /// None: there is no bound.
    pub window: Option<TimeDelta>,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Retries over any `window`, as `free` plus `share` of the requests.
    pub fn new(free: f64, share: f64, window: TimeDelta) -> Self {
        RetryBudget { free, share, window: Some(window), ..RetryBudget::default() }
    }

    /// Counts a request that was received.
    pub fn record_request(&mut self, now: Instant) {
        if let Some(window) = self.window {
            self.prune(now, window + window);
            self.requests.push_back(now);
        }
    }

    /// Counts a retry that is sent.
    pub fn record_retry(&mut self, now: Instant) {
        self.retries.push_back(now);
    }

    /// Drops what no window can reach any more.
    fn prune(&mut self, now: Instant, reach: TimeDelta) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now - *at > reach) {
                times.pop_front();
            }
        }
    }

    /// Retries sent in the last `span`.
    pub fn retries_within(&self, now: Instant, span: TimeDelta) -> f64 {
        self.retries.iter().rev().take_while(|at| now - **at <= span).count() as f64
    }

    /// Requests received in the last `window` less `margin`.
    pub fn requests_within(&self, now: Instant, window: TimeDelta, margin: TimeDelta) -> f64 {
        self.requests.iter().rev().take_while(|at| now - **at + margin <= window).count() as f64
    }
}
