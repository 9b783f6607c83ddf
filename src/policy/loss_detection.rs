//! Detects whether attempts or their answers are lost between this host and the nodes.
//!
//! A lost attempt looks like one that the node is slow to answer, and occupies a slot of the concurrency limit until
//! the client's deadline. Two observations distinguish them: a later attempt at the same node was answered in the
//! meantime, or the next answer after the timeout is fast. While attempts are being lost, they get a shorter timeout
//! (`attempt_timeout`).

use crate::interface::SchedulerEvent;

/// The number of lost and answered attempts at which the counts are halved.
const LOSS_WINDOW: f64 = 128.0;
/// The number of lost attempts that is needed before the path counts as lossy.
const MIN_LOST: f64 = 2.0;
/// The path counts as lossy while more than this fraction of the attempts is lost.
const MAX_LOST_FRACTION: f64 = 0.02;

/// Counts of lost and of answered attempts at all nodes, in which older attempts weigh less.
#[derive(Default)]
pub struct LossDetector {
    lost: f64,
    answered: f64,
    is_lossy: bool,
}

impl LossDetector {
    /// Counts the end of an attempt, and returns an event if attempts begin or cease to be lost.
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

    /// Returns whether attempts are currently being lost.
    pub fn is_lossy(&self) -> bool {
        self.is_lossy
    }
}

/// The end of an attempt, as far as loss detection uses it.
pub struct LossSample {
    /// It was answered with success.
    pub is_done: bool,
    /// It timed out.
    pub is_timeout: bool,
    /// A later attempt at the same node was answered while it was in flight.
    pub was_overtaken: bool,
    /// Its latency is well within the latency objective.
    pub is_fast: bool,
}

/// Whether it is still open if the last attempt that timed out at a node was lost or slow.
#[derive(Default)]
pub struct UnexplainedTimeout(bool);

impl UnexplainedTimeout {
    /// Records the end of an attempt, and returns whether it shows that an attempt was lost.
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
