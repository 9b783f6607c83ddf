//! Calls over a pool of sessions: which session takes a call, when it is retried, and its one final answer by its deadline
//! at the latest.

mod calls;
mod connections;
mod slots;
mod validation;

use crate::operation::{Op, Outcome, Volume};
use crate::retry::{AttemptEnd, EndedAttempt, RetryDecider, RetryPolicy, RetryVerdict};
use crate::transport::Transport;
use bytes::Bytes;
use calls::CallTable;
use slots::SlotTable;
use std::collections::VecDeque;
use tackmast::interface::Instant;
use validation::{check_operation, InvalidCall};

/// What a client keeps at most.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Sessions that it keeps connected.
    pub sessions: usize,
    /// Calls that may be open; more are rejected at once.
    pub calls: usize,
    /// Bytes of open calls.
    pub bytes: usize,
}

/// What the owner of the state machine has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Connect a slot; `handle_connected` or `handle_closed` tells the result.
    Connect {
        /// Which.
        slot: usize,
    },
    /// Write bytes to the connection of a slot.
    Write {
        /// Which.
        slot: usize,
        /// What to write.
        bytes: Bytes,
    },
    /// Close the connection of a slot.
    Close {
        /// Which.
        slot: usize,
    },
    /// Give a caller its final answer.
    Answer {
        /// The caller's number of the call.
        call: u64,
        /// The answer.
        outcome: Outcome,
    },
    /// The first session is open.
    Ready(Volume),
    /// The gateway refuses a session for good.
    Refused {
        /// What the gateway says.
        reason: String,
    },
}

type NewSession = Box<dyn Fn() -> Box<dyn Transport> + Send>;

/// The client as a state machine.
pub struct Core {
    bounds: Bounds,
    new_session: NewSession,
    slots: SlotTable,
    calls: CallTable,
    retries: RetryDecider,
    /// What the gateway said of the volume; none: no session has been ready yet.
    volume: Option<Volume>,
    outputs: VecDeque<Output>,
}

impl Core {
    /// A client without connections. `new_session` makes the protocol's side of each connection; `seed` makes pauses reproducible.
    pub fn new(
        now: Instant,
        bounds: Bounds,
        policy: RetryPolicy,
        seed: u64,
        new_session: NewSession,
    ) -> Self {
        Core {
            bounds,
            new_session,
            slots: SlotTable::new(now, bounds.sessions.max(1)),
            calls: CallTable::default(),
            retries: RetryDecider::new(policy, seed),
            volume: None,
            outputs: VecDeque::new(),
        }
    }

    /// How many calls are open.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Takes a call, under a number of the caller's. It has one answer, at `deadline` at the latest.
    pub fn submit(&mut self, now: Instant, number: u64, op: Op, deadline: Instant) {
        let checked = self.volume.map_or(Ok(()), |volume| check_operation(&op, &volume));
        let outcome = match checked {
            Err(invalid) => Some(Outcome::InvalidRequest(invalid.to_string())),
            Ok(()) => self.outcome_before_sending(&op),
        };
        if let Some(outcome) = outcome {
            return self.outputs.push_back(Output::Answer { call: number, outcome });
        }
        self.retries.record_call();
        self.calls.insert(now, number, op, deadline);
    }

    /// The answer to a call that the client does not take: it has too many, or no session can be had.
    fn outcome_before_sending(&self, op: &Op) -> Option<Outcome> {
        let exceeds_bytes = self.calls.bytes() + op.bytes() > self.bounds.bytes;
        if self.calls.len() >= self.bounds.calls || exceeds_bytes {
            return Some(Outcome::Rejected { retry_after: None });
        }
        let reason = InvalidCall::AllSessionsRefused;
        self.slots.are_all_refused().then(|| Outcome::InvalidRequest(reason.to_string()))
    }

    /// The caller no longer waits for a call: it is withdrawn and gets no answer.
    pub fn cancel(&mut self, number: u64) {
        if let Some(slot) = self.calls.remove(number).and_then(|call| call.slot) {
            self.withdraw_attempt(number, slot);
        }
    }

    fn withdraw_attempt(&mut self, number: u64, slot: usize) {
        if let Some(session) = self.slots.session_mut(slot) {
            session.in_flight.remove(&number);
            session.transport.cancel(number);
        }
    }

    fn answer(&mut self, number: u64, outcome: Outcome) {
        if self.calls.remove(number).is_some() {
            self.outputs.push_back(Output::Answer { call: number, outcome });
        }
    }

    /// An attempt of a call ended without being done.
    fn on_attempt_ended(&mut self, now: Instant, number: u64, end: AttemptEnd) {
        let Some(call) = self.calls.get_mut(number) else { return };
        call.slot = None;
        call.may_have_run |= matches!(end, AttemptEnd::Failed | AttemptEnd::SessionLost);
        let attempt = EndedAttempt {
            end,
            is_write: call.op.is_write(),
            attempts: call.attempts,
            duration: now - call.sent_at,
            deadline: call.deadline,
        };
        match self.retries.decide(now, &attempt) {
            RetryVerdict::RetryAt(at) => self.calls.wait_until(number, at),
            RetryVerdict::Reject(retry_after) => self.answer(number, Outcome::Rejected { retry_after }),
            RetryVerdict::Fail => self.answer(number, Outcome::Failed),
        }
    }

    /// Does what is due: answers calls at their deadlines, connects, sends.
    pub fn handle_timeout(&mut self, now: Instant) {
        self.answer_expired(now);
        for slot in self.slots.begin_connects(now) {
            self.outputs.push_back(Output::Connect { slot });
        }
        for timer in self.calls.due(now) {
            if !self.try_send(now, timer.call) {
                break; // No session has capacity, for the calls behind this one neither.
            }
            self.calls.stop_waiting(&timer);
        }
    }

    fn answer_expired(&mut self, now: Instant) {
        while let Some((number, call)) = self.calls.remove_expired(now) {
            if let Some(slot) = call.slot {
                self.withdraw_attempt(number, slot);
            }
            let outcome = call.outcome_without_answer();
            self.outputs.push_back(Output::Answer { call: number, outcome });
        }
    }

    /// Sends a call to the next session with capacity; false: there is none.
    fn try_send(&mut self, now: Instant, number: u64) -> bool {
        let Some(call) = self.calls.get_mut(number) else { return true };
        let Some(slot) = self.slots.submit(number, &call.op, call.deadline - now) else { return false };
        call.slot = Some(slot);
        call.attempts += 1;
        call.sent_at = now;
        true
    }

    /// What the owner has to do next.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front().or_else(|| self.poll_write())
    }

    fn poll_write(&mut self) -> Option<Output> {
        self.slots.sessions_mut().find_map(|(slot, session)| {
            let bytes = session.transport.poll_transmit();
            (!bytes.is_empty()).then_some(Output::Write { slot, bytes })
        })
    }

    /// When `handle_timeout` is to be called next.
    pub fn poll_timeout(&self, now: Instant) -> Option<Instant> {
        self.slots.next_connect().into_iter().chain(self.calls.next_timeout(now)).min()
    }

    /// Ends all sessions and answers all open calls.
    pub fn close(&mut self) {
        for (_, session) in self.slots.sessions_mut() {
            session.transport.close();
        }
        for number in self.calls.numbers() {
            if let Some(outcome) = self.calls.get(number).map(calls::Call::outcome_without_answer) {
                self.answer(number, outcome);
            }
        }
    }
}
