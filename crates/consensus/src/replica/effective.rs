//! From when on a committed entry is effective: all leases that were granted before it have expired, so no replica,
//! connected or not, goes by what was before it.

use std::collections::VecDeque;
use tackmast::interface::{Instant, TimeDelta};

/// Entries from `first_index` on that were learned to be committed within a moment.
#[derive(Clone, Copy, Debug)]
struct Batch {
    first_index: u64,
    first_learned: Instant,
    last_learned: Instant,
}

/// When this replica learned of commits. There are at most as many batches as moments in a lease.
#[derive(Clone, Debug)]
pub(super) struct CommitTimes {
    batches: VecDeque<Batch>,
    /// The time from learning of a commit until it is effective.
    holdover: TimeDelta,
    /// The moment that a batch covers.
    batch_time: TimeDelta,
}

impl CommitTimes {
    /// Without commits.
    pub(super) fn new(holdover: TimeDelta, batch_time: TimeDelta) -> CommitTimes {
        CommitTimes { batches: VecDeque::new(), holdover, batch_time }
    }

    /// Forgets all, as the log is discarded.
    pub(super) fn clear(&mut self) {
        self.batches.clear();
    }

    /// The entry at `index` is committed, as this replica learns now.
    pub(super) fn record(&mut self, now: Instant, index: u64) {
        let holdover = self.holdover;
        while self.batches.pop_front_if(|batch| now - batch.last_learned >= holdover).is_some() {}
        match self.batches.back_mut() {
            Some(batch) if now - batch.first_learned < self.batch_time => batch.last_learned = now,
            _ => self.push(now, index),
        }
    }

    /// Entries up to `index` came with a snapshot. Since when they are committed is not known: from now is late enough.
    pub(super) fn restart(&mut self, now: Instant, index: u64) {
        self.batches.clear();
        self.push(now, index.max(1));
    }

    fn push(&mut self, now: Instant, first_index: u64) {
        self.batches.push_back(Batch { first_index, first_learned: now, last_learned: now });
    }

    /// Index of the last entry that is effective, if not all committed ones are.
    pub(super) fn effective_index(&self, now: Instant) -> Option<u64> {
        let pending = self.batches.iter().find(|batch| now - batch.last_learned < self.holdover);
        pending.map(|batch| batch.first_index - 1)
    }

    /// When the newest committed entry will be effective.
    pub(super) fn effective_at(&self, now: Instant) -> Instant {
        self.batches.back().map_or(now, |batch| batch.last_learned + self.holdover).max(now)
    }
}
