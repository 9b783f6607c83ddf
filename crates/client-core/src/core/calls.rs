//! The calls that are open at a client, and when each is looked at next.

use crate::operation::{Op, Outcome};
use std::collections::{BTreeSet, HashMap};
use tackmast::interface::Instant;

/// A call that is not answered yet.
pub(super) struct Call {
    pub(super) op: Op,
    pub(super) deadline: Instant,
    /// Attempts that were sent.
    pub(super) attempts: u32,
    /// The slot of the session where it is in flight; none: it waits to be sent.
    pub(super) slot: Option<usize>,
    /// When it may be sent, or was.
    pub(super) send_at: Instant,
    /// When its last attempt was sent.
    pub(super) sent_at: Instant,
    /// Whether an attempt that ended may have had an effect.
    pub(super) may_have_run: bool,
}

impl Call {
    /// The answer of a call that ends without being done. One in flight, or of which an attempt ended without a proof that it did not
    /// run, gets no promise; any other did not run.
    pub(super) fn outcome_without_answer(&self) -> Outcome {
        match self.slot.is_some() || self.may_have_run {
            true => Outcome::Failed,
            false => Outcome::Rejected { retry_after: None },
        }
    }
}

/// A time at which a call is looked at, and the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Timer {
    at: Instant,
    pub(super) call: u64,
}

/// All open calls, by their numbers.
#[derive(Default)]
pub(super) struct CallTable {
    calls: HashMap<u64, Call>,
    /// Bytes of all operations.
    bytes: usize,
    /// Calls that wait to be sent.
    waiting: BTreeSet<Timer>,
    deadlines: BTreeSet<Timer>,
}

impl CallTable {
    /// How many are open.
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Bytes of their operations.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Their numbers, in no order.
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

    /// Removes a call with its timers.
    pub(super) fn remove(&mut self, number: u64) -> Option<Call> {
        let call = self.calls.remove(&number)?;
        self.bytes -= call.op.bytes();
        self.waiting.remove(&Timer { at: call.send_at, call: number });
        self.deadlines.remove(&Timer { at: call.deadline, call: number });
        Some(call)
    }

    /// Lets a call wait until `at` before it is sent.
    pub(super) fn wait_until(&mut self, number: u64, at: Instant) {
        if let Some(call) = self.calls.get_mut(&number) {
            call.send_at = at;
            self.waiting.insert(Timer { at, call: number });
        }
    }

    /// Notes that a waiting call was sent.
    pub(super) fn stop_waiting(&mut self, timer: &Timer) {
        self.waiting.remove(timer);
    }

    /// The waiting calls that may be sent now, the earliest first.
    pub(super) fn due(&self, now: Instant) -> Vec<Timer> {
        let last = Timer { at: now, call: u64::MAX };
        self.waiting.range(..=last).copied().collect()
    }

    /// Removes a call whose deadline is over; gives it with its number.
    pub(super) fn remove_expired(&mut self, now: Instant) -> Option<(u64, Call)> {
        while let Some(timer) = self.deadlines.first().copied().filter(|timer| timer.at <= now) {
            self.deadlines.remove(&timer);
            if let Some(call) = self.remove(timer.call) {
                return Some((timer.call, call));
            }
        }
        None
    }

    /// When the next deadline is, or the next call may be sent. A call that may be sent already waits for a session with capacity: it is
    /// looked at when an answer of the gateway makes some, not at a time.
    pub(super) fn next_timeout(&self, now: Instant) -> Option<Instant> {
        let deadline = self.deadlines.first().map(|timer| timer.at);
        let send = self.waiting.iter().map(|timer| timer.at).find(|at| *at > now);
        deadline.into_iter().chain(send).min()
    }
}
