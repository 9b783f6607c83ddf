//! Determines when a committed entry is effective, which is once all leases that were granted before its commit have
//! expired. From then on no replica, connected or not, serves a state without the entry as the latest.

use std::collections::VecDeque;
use tackmast::interface::{Instant, TimeDelta};

/// Commits that this replica learned of within a batch time, from `first_index` on.
#[derive(Clone, Copy, Debug)]
struct Batch {
    first_index: u64,
    first_learned: Instant,
    last_learned: Instant,
}

/// Times at which this replica learned of commits. The number of batches is bounded by the commit wait divided by the
/// batch time.
#[derive(Clone, Debug)]
pub(super) struct CommitTimes {
    batches: VecDeque<Batch>,
    /// Time from learning of a commit until it is effective.
    commit_wait: TimeDelta,
    /// Time for which commits are added to one batch.
    batch_time: TimeDelta,
}

impl CommitTimes {
    /// Creates an empty record.
    pub(super) fn new(commit_wait: TimeDelta, batch_time: TimeDelta) -> CommitTimes {
        CommitTimes { batches: VecDeque::new(), commit_wait, batch_time }
    }

    /// Removes all commits, when the log is discarded.
    pub(super) fn clear(&mut self) {
        self.batches.clear();
    }

    /// Records that this replica learns at `now` that the entry at `index` is committed.
    pub(super) fn record(&mut self, now: Instant, index: u64) {
        let commit_wait = self.commit_wait;
        while self.batches.pop_front_if(|batch| now - batch.last_learned >= commit_wait).is_some() {}
        match self.batches.back_mut() {
            Some(batch) if now - batch.first_learned < self.batch_time => batch.last_learned = now,
            _ => self.push(now, index),
        }
    }

    /// Records that entries up to `index` were replaced by a snapshot. When they were committed is unknown, but it was
    /// not after `now`.
    pub(super) fn record_snapshot(&mut self, now: Instant, index: u64) {
        self.batches.clear();
        self.push(now, index.max(1));
    }

    fn push(&mut self, now: Instant, first_index: u64) {
        self.batches.push_back(Batch { first_index, first_learned: now, last_learned: now });
    }

    /// Returns the index of the last effective entry, or `None` if all committed entries are effective.
    pub(super) fn effective_index(&self, now: Instant) -> Option<u64> {
        let pending = self.batches.iter().find(|batch| now - batch.last_learned < self.commit_wait);
        pending.map(|batch| batch.first_index - 1)
    }

    /// Returns when the last committed entry will be effective, or `now` if it already is.
    pub(super) fn effective_at(&self, now: Instant) -> Instant {
        self.batches.back().map_or(now, |batch| batch.last_learned + self.commit_wait).max(now)
    }
}
