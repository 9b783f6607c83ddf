//! Ejects nodes at which nearly all attempts fail, and detects their recovery with probes.
//!
//! Errors, timeouts and failed connections count alike. An ejected node still gets probes: one attempt at a time, and
//! not before a probe interval has passed since the last one. A single success returns the node to its usual
//! concurrency limit, since the halved counts stay below `OUTCOME_WINDOW`.

use crate::interface::{Instant, Outcome, TimeDelta};

/// The number of counted attempts at which the counts are halved, so that older ones weigh less.
const OUTCOME_WINDOW: f64 = 16.0;
/// The number of failures that is needed before a node is ejected.
const MIN_FAILURES: f64 = 6.0;
/// A node is ejected while less than this fraction of its attempts succeeds.
const MIN_SUCCESS_RATE: f64 = 0.05;
/// The shortest time between two attempts at an ejected node.
const PROBE_INTERVAL: TimeDelta = TimeDelta::from_millis(100);

/// Counts of the recent successes and failures of a node.
#[derive(Default)]
pub struct OutlierDetector {
    successes: f64,
    failures: f64,
    is_outlier: bool,
}

/// A change of whether a node is an outlier.
pub struct HealthChange {
    /// Whether the node is now an outlier.
    pub is_outlier: bool,
    /// The count of successes, in which older ones weigh less.
    pub successes: f64,
    /// The count of failures, in which older ones weigh less.
    pub failures: f64,
}

impl OutlierDetector {
    /// Counts the end of an attempt, and returns the change of the node's health if it causes one.
    pub fn record(&mut self, outcome: Outcome) -> Option<HealthChange> {
        match outcome {
            Outcome::Done => self.successes += 1.0,
            Outcome::TimedOut | Outcome::Error | Outcome::Refused | Outcome::Reset => self.failures += 1.0,
            // None of these shows whether the node is healthy.
            Outcome::Full | Outcome::Cancelled | Outcome::Skipped => {}
        }
        if self.successes + self.failures >= OUTCOME_WINDOW {
            self.successes /= 2.0;
            self.failures /= 2.0;
        }
        let min_successes = MIN_SUCCESS_RATE * (self.successes + self.failures);
        let is_outlier = self.failures >= MIN_FAILURES && self.successes < min_successes;
        let was_outlier = std::mem::replace(&mut self.is_outlier, is_outlier);
        let (successes, failures) = (self.successes, self.failures);
        (is_outlier != was_outlier).then_some(HealthChange { is_outlier, successes, failures })
    }

    /// Returns whether the node gets only probes. A node that an operator has pinned stays in service whatever its
    /// answers.
    pub fn is_ejected(&self, is_pinned: bool) -> bool {
        self.is_outlier && !is_pinned
    }
}

/// Returns the time from which an ejected node may be sent its next attempt.
pub fn next_probe_at(last_sent_at: Instant) -> Instant {
    last_sent_at + PROBE_INTERVAL
}
