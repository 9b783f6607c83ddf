//! Finds out whether attempts or their answers get lost between this host and the nodes.
//!
//! A lost attempt looks like one that a node is slow with, and holds its place under the concurrency limit until its client gives
//! up. Two signs tell them apart: a later attempt at the same node was answered meanwhile, or the next answer after the time-out
//! is fast. While attempts get lost, they are given timeouts of their own (`attempt_timeout`).

use crate::interface::SchedulerEvent;

/// Attempts, lost and answered, after which the counts are halved.
const LOSS_WINDOW: f64 = 128.0;
/// Lost attempts that are needed before attempts count as getting lost.
const MIN_LOST: f64 = 2.0;
/// Attempts count as getting lost while more than this fraction of them is.
const MAX_LOST_FRACTION: f64 = 0.02;

/// Lost attempts against answered ones, at all nodes.
#[derive(Default)]
pub struct LossDetector {
    lost: f64,
    answered: f64,
    is_lossy: bool,
}

impl LossDetector {
    /// Counts the end of an attempt; gives an event when attempts begin or cease to get lost.
    pub fn record(&mut self, is_lost: bool, is_answered: bool) -> Option<SchedulerEvent> {
        self.lost += f64::from(u8::from(is_lost));
        self.answered += f64::from(u8::from(is_answered));
        if self.lost + self.answered >= LOSS_WINDOW {
            self.lost /= 2.0;
            self.answered /= 2.0;
        }
        let max_lost = MAX_LOST_FRACTION * (self.lost + self.answered);
        let is_lossy = self.lost >= MIN_LOST && self.lost > max_lost;
        let was_lossy = std::mem::replace(&mut self.is_lossy, is_lossy);
        let (lost, answered) = (self.lost, self.answered);
        match (was_lossy, is_lossy) {
            (false, true) => Some(SchedulerEvent::AttemptLossBegan { lost, answered }),
            (true, false) => Some(SchedulerEvent::AttemptLossEnded { lost, answered }),
            _ => None,
        }
    }

    /// Whether attempts get lost at the moment.
    pub fn is_lossy(&self) -> bool {
        self.is_lossy
    }
}

/// How an attempt at a node ended, as far as it tells of lost attempts.
pub struct LossSample {
    /// It was answered well.
    pub is_done: bool,
    /// It timed out.
    pub is_timeout: bool,
    /// A later attempt at the same node was answered while it was in flight.
    pub was_overtaken: bool,
    /// Its latency is well within the latency objective.
    pub is_fast: bool,
}

/// Whether a node's last time-out still waits for an explanation: lost, or slow.
#[derive(Default)]
pub struct UnexplainedTimeout(bool);

impl UnexplainedTimeout {
    /// Takes the end of an attempt into account; whether it shows that an attempt was lost.
    pub fn record(&mut self, sample: &LossSample) -> bool {
        let was_unexplained = self.0;
        self.0 = match sample.is_timeout {
            true => !sample.was_overtaken,
            false => was_unexplained && !sample.is_done,
        };
        let timeout_was_lost = sample.is_timeout && sample.was_overtaken;
        let earlier_was_lost = sample.is_done && sample.is_fast && was_unexplained;
        timeout_was_lost || earlier_was_lost
    }
}
