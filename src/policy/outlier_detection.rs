//! Ejects nodes that answer nearly nothing well, and finds their recovery by probes.
//!
//! Errors, silence and refused connections count alike. An ejected node still gets probes: one attempt at a time, and no sooner
//! than a probe interval after the last. A single good answer brings it back on its ordinary concurrency limit, since the counts that fade
//! stay below `OUTCOME_WINDOW`.

use crate::interface::{Instant, Outcome, TimeDelta};

/// Answers after which the counts are halved, so that old ones fade.
const OUTCOME_WINDOW: f64 = 16.0;
/// Bad answers that are needed before a node is ejected.
const MIN_FAILURES: f64 = 6.0;
/// A node is ejected while less than this fraction of its answers is good.
const MIN_SUCCESS_RATE: f64 = 0.05;
/// How long an ejected node rests between two attempts.
const PROBE_INTERVAL: TimeDelta = TimeDelta::from_millis(100);

/// A node's answers of late, good and bad.
#[derive(Default)]
pub struct OutlierDetector {
    successes: f64,
    failures: f64,
    is_outlier: bool,
}

/// That a node has become an outlier, or is one no more.
pub struct HealthChange {
    /// Whether it is an outlier now.
    pub is_outlier: bool,
    /// Good answers, the older counting less.
    pub successes: f64,
    /// Bad answers, the older counting less.
    pub failures: f64,
}

impl OutlierDetector {
    /// Counts the end of an attempt; gives a change of the node's health, if it is one.
    pub fn record(&mut self, outcome: Outcome) -> Option<HealthChange> {
        match outcome {
            Outcome::Done => self.successes += 1.0,
            Outcome::TimedOut | Outcome::Error | Outcome::Refused | Outcome::Reset => self.failures += 1.0,
            // None of these says whether the node is well.
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

    /// Whether the node gets probes only. An operator may have pinned it, to keep it in service whatever its answers.
    pub fn is_ejected(&self, is_pinned: bool) -> bool {
        self.is_outlier && !is_pinned
    }
}

/// When an ejected node may be sent its next attempt.
pub fn next_probe_at(last_sent_at: Instant) -> Instant {
    last_sent_at + PROBE_INTERVAL
}
