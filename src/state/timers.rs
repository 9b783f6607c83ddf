//! Timers: the times at which the scheduler must act without an input.

use crate::interface::{Instant, KeyId, RequestId, ShardId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The action that is due when a timer expires. Timers set for the same time expire in the order of the variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The request must get its final answer.
    Deadline(RequestId),
    /// A request of this shard may have become ready to be sent.
    Shard(ShardId),
    /// An attempt on this key can no longer be running.
    KeySettled(KeyId),
    /// The next call for the endpoint list is due.
    EndpointList,
}

/// A queue of timers, ordered by time.
#[derive(Default)]
pub struct Timers(BinaryHeap<Reverse<(Instant, Timer)>>);

impl Timers {
    /// Sets a timer, which can't be cancelled.
    pub fn set(&mut self, at: Instant, timer: Timer) {
        self.0.push(Reverse((at, timer)));
    }

    /// Returns the number of timers that are set.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Removes the timers for which `is_needed` returns `false`. It is given the time and the action of each.
    pub fn retain(&mut self, mut is_needed: impl FnMut(Instant, Timer) -> bool) {
        self.0.retain(|Reverse((at, timer))| is_needed(*at, *timer));
        self.0.shrink_to(2 * self.0.len());
    }

    /// Returns the time of the next timer, or `None` if none is set.
    pub fn next_at(&self) -> Option<Instant> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the next timer if it is due.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Timer> {
        self.next_at().filter(|at| *at <= now)?;
        self.0.pop().map(|Reverse((_, timer))| timer)
    }
}
