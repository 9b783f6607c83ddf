//! The open calls of a client, with their deadlines and the times of their next attempts.

use crate::operation::{Op, Outcome};
use std::collections::{BTreeSet, HashMap};
use tackmast::interface::Instant;

/// A call without a final answer.
pub(super) struct Call {
    pub(super) op: Op,
    pub(super) deadline: Instant,
    /// Number of attempts sent so far.
    pub(super) attempts: u32,
    /// Slot of the session where the call is in flight, or `None` while it waits to be sent.
    pub(super) slot: Option<usize>,
    /// Earliest time of the next attempt, or of the attempt in flight.
    pub(super) send_at: Instant,
    /// Time at which the last attempt was sent, or of the submission while no attempt was sent.
    pub(super) sent_at: Instant,
    /// Whether an ended attempt may have taken effect.
    pub(super) may_have_run: bool,
}

impl Call {
    /// Returns the answer to a call that ends without being done: failed, where an attempt is in flight or one ended without proof
    /// that it did not run, and rejected otherwise, since the call did not run.
    pub(super) fn outcome_without_answer(&self) -> Outcome {
        match self.slot.is_some() || self.may_have_run {
            true => Outcome::Failed,
            false => Outcome::Rejected { retry_after: None },
        }
    }
}

/// A time at which a call is due, ordered by time and then by call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Timer {
    at: Instant,
    pub(super) call: u64,
}

/// All open calls by number.
#[derive(Default)]
pub(super) struct CallTable {
    calls: HashMap<u64, Call>,
    /// Bytes of the operations of all open calls.
    bytes: usize,
    /// Calls that wait to be sent, by their earliest time of sending.
    waiting: BTreeSet<Timer>,
    deadlines: BTreeSet<Timer>,
}

impl CallTable {
    /// Returns the number of open calls.
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns the bytes of the operations of all open calls.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the numbers of all open calls, in no particular order.
    pub(super) fn numbers(&self) -> Vec<u64> {
        self.calls.keys().copied().collect()
    }

    pub(super) fn get(&self, number: u64) -> Option<&Call> {
        self.calls.get(&number)
    }

    pub(super) fn get_mut(&mut self, number: u64) -> Option<&mut Call> {
        self.calls.get_mut(&number)
    }

    /// Adds a call that may be sent at once.
    pub(super) fn insert(&mut self, now: Instant, number: u64, op: Op, deadline: Instant) {
        self.bytes += op.bytes();
        let (slot, send_at, sent_at) = (None, now, now);
        let call = Call { op, deadline, attempts: 0, slot, send_at, sent_at, may_have_run: false };
        self.calls.insert(number, call);
        self.waiting.insert(Timer { at: now, call: number });
        self.deadlines.insert(Timer { at: deadline, call: number });
    }

    /// Removes a call and its timers.
    pub(super) fn remove(&mut self, number: u64) -> Option<Call> {
        let call = self.calls.remove(&number)?;
        self.bytes -= call.op.bytes();
        self.waiting.remove(&Timer { at: call.send_at, call: number });
        self.deadlines.remove(&Timer { at: call.deadline, call: number });
        Some(call)
    }

    /// Schedules the next attempt of a call for `at`.
    pub(super) fn wait_until(&mut self, number: u64, at: Instant) {
        if let Some(call) = self.calls.get_mut(&number) {
            call.send_at = at;
            self.waiting.insert(Timer { at, call: number });
        }
    }

    /// Removes a call that was sent from the waiting calls.
    pub(super) fn stop_waiting(&mut self, timer: &Timer) {
        self.waiting.remove(timer);
    }

    /// Returns the waiting calls that may be sent at `now`, the earliest first.
    pub(super) fn due(&self, now: Instant) -> Vec<Timer> {
        let last = Timer { at: now, call: u64::MAX };
        self.waiting.range(..=last).copied().collect()
    }

    /// Removes a call whose deadline has passed, and returns it with its number.
    pub(super) fn remove_expired(&mut self, now: Instant) -> Option<(u64, Call)> {
        while let Some(timer) = self.deadlines.first().copied().filter(|timer| timer.at <= now) {
            self.deadlines.remove(&timer);
            if let Some(call) = self.remove(timer.call) {
                return Some((timer.call, call));
            }
        }
        None
    }

    /// Returns the time of the next deadline or of the next call that may be sent, whichever is earlier. Calls that may be sent
    /// already are left out: they wait for capacity, which an answer of the gateway makes, and not for a time.
    pub(super) fn next_timeout(&self, now: Instant) -> Option<Instant> {
        let deadline = self.deadlines.first().map(|timer| timer.at);
        let send = self.waiting.iter().map(|timer| timer.at).find(|at| *at > now);
        deadline.into_iter().chain(send).min()
    }
}
