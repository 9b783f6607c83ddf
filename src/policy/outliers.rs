//! Nodes that answer nearly nothing well: they are ejected, but for probes.

use super::concurrency::LATENCY_TARGET;
use crate::interface::*;
use crate::state::*;

pub(super) const INITIAL_RETRY_CREDIT: f64 = 2.0; // retries
const MAX_RETRY_CREDIT: f64 = 8.0;
const FAST_ERROR_CREDIT: f64 = 1.0; // for an error that came well within the latency objective
const HEALTH_WINDOW: f64 = 16.0; // answers after which counts are halved
const MIN_FAILURES: f64 = 6.0; // bad answers before a node is ejected
const MIN_SUCCESS_RATE: f64 = 0.05; // fraction of answers that are good
const PROBE_INTERVAL: f64 = 0.1; // seconds between attempts to an ejected node

impl Node {
    /// Credit and health follow each result; gives whether the node is an outlier, where that changes.
    pub(super) fn record_health(&mut self, result: &AttemptResult) -> Option<bool> {
        let credit = match result.outcome {
            Outcome::Done => 1.0,
            // A quick error shows that the node has capacity for another try, as an answer does: against
            // nodes that fail by chance. Hurts where errors are quick because a node is overrun.
            Outcome::Error if result.latency < LATENCY_TARGET * result.objective => FAST_ERROR_CREDIT,
            _ => 0.0,
        };
        self.retry_credit = (self.retry_credit + credit).min(MAX_RETRY_CREDIT);
        match result.outcome {
            Outcome::Done => self.successes += 1.0,
            Outcome::TimedOut | Outcome::Error | Outcome::Refused | Outcome::Reset => self.failures += 1.0,
            Outcome::Full | Outcome::Cancelled | Outcome::Skipped => {}
        }
        self.halve_health(HEALTH_WINDOW);
        let min_successes = MIN_SUCCESS_RATE * (self.successes + self.failures);
        let is_outlier = self.failures >= MIN_FAILURES && self.successes < min_successes;
        (is_outlier != std::mem::replace(&mut self.is_outlier, is_outlier)).then_some(is_outlier)
    }

    /// Whether the node gets only probes, by its health and no operator's word against it.
    pub(super) fn is_ejected(&self) -> bool {
        self.is_outlier && !self.is_pinned
    }

    /// An ejected node (errors, silence, refusals alike) gets probes, which find its recovery.
    pub(super) fn check_probe(&self, now: Instant) -> Check {
        match self.is_ejected() {
            true => check_due(self.last_sent_at + TimeDelta::from_secs(PROBE_INTERVAL), now),
            false => Ok(()),
        }
    }
}
