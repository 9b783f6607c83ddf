//! When something has to be looked at without an input.

use crate::interface::{Instant, KeyId, RequestId, ShardId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What is due at a time. Of timers set for one time, the variants expire in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The request must have its final answer.
    Deadline(RequestId),
    /// A request may have become ready at this shard.
    Shard(ShardId),
    /// An attempt on this key can't be running any more.
    KeySettled(KeyId),
    /// Ask for the endpoint list.
    EndpointList,
}

/// Timers by time.
#[derive(Default)]
pub struct Timers(BinaryHeap<Reverse<(Instant, Timer)>>);

impl Timers {
    /// Sets a timer.
    pub fn set(&mut self, at: Instant, timer: Timer) {
        self.0.push(Reverse((at, timer)));
    }

    /// The time of the next one.
    pub fn next_at(&self) -> Option<Instant> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes the next one if it is due.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Timer> {
        self.next_at().filter(|at| *at <= now)?;
        self.0.pop().map(|Reverse((_, timer))| timer)
    }
}
