//! When a committed entry is effective: once all leases that were granted before its commit have expired. From then on no
//! replica, connected or not, acts on the state before it.

use std::collections::VecDeque;
use tackmast::interface::{Instant, TimeDelta};

/// Commits that this replica learned of within a short time, from `first_index` on.
#[derive(Clone, Copy, Debug)]
struct Batch {
    first_index: u64,
    first_learned: Instant,
    last_learned: Instant,
}

/// When this replica learned of commits. The number of batches is bounded by the commit wait divided by the batch time.
#[derive(Clone, Debug)]
pub(super) struct CommitTimes {
    batches: VecDeque<Batch>,
    /// Time from learning of a commit until it is effective.
    commit_wait: TimeDelta,
    /// Time for which commits are added to the same batch.
    batch_time: TimeDelta,
}

impl CommitTimes {
    /// Without commits.
    pub(super) fn new(commit_wait: TimeDelta, batch_time: TimeDelta) -> CommitTimes {
        CommitTimes { batches: VecDeque::new(), commit_wait, batch_time }
    }

    /// Forgets all, as the log is discarded.
    pub(super) fn clear(&mut self) {
        self.batches.clear();
    }

    /// This replica learns now that the entry at `index` is committed.
    pub(super) fn record(&mut self, now: Instant, index: u64) {
        let commit_wait = self.commit_wait;
        while self.batches.pop_front_if(|batch| now - batch.last_learned >= commit_wait).is_some() {}
        match self.batches.back_mut() {
            Some(batch) if now - batch.first_learned < self.batch_time => batch.last_learned = now,
            _ => self.push(now, index),
        }
    }

    /// Entries up to `index` came with a snapshot. When they were committed is not known; now is no earlier than that.
    pub(super) fn restart(&mut self, now: Instant, index: u64) {
        self.batches.clear();
        self.push(now, index.max(1));
    }

    fn push(&mut self, now: Instant, first_index: u64) {
        self.batches.push_back(Batch { first_index, first_learned: now, last_learned: now });
    }

    /// Index of the last entry that is effective, if not all committed ones are.
    pub(super) fn effective_index(&self, now: Instant) -> Option<u64> {
        let pending = self.batches.iter().find(|batch| now - batch.last_learned < self.commit_wait);
        pending.map(|batch| batch.first_index - 1)
    }

    /// When the newest committed entry will be effective.
    pub(super) fn effective_at(&self, now: Instant) -> Instant {
        self.batches.back().map_or(now, |batch| batch.last_learned + self.commit_wait).max(now)
    }
}
