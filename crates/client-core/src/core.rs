//! The state machine of a client: it assigns calls to a pool of sessions, retries them, and gives each call exactly one final
//! answer, by its deadline at the latest.

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

/// Upper bounds on the sessions and open calls of a client.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Number of sessions that the client keeps connected.
    pub sessions: usize,
    /// Number of calls that may be open at a time. Further calls are rejected at once.
    pub calls: usize,
    /// Bytes of all open calls together. Calls beyond this sum are rejected at once.
    pub bytes: usize,
}

/// An action that the owner of the state machine has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Open a connection for a slot, and report the result with `handle_connected` or `handle_closed`.
    Connect {
        /// Index of the slot.
        slot: usize,
    },
    /// Write bytes to the connection of a slot.
    Write {
        /// Index of the slot.
        slot: usize,
        /// The bytes to write.
        bytes: Bytes,
    },
    /// Close the connection of a slot.
    Close {
        /// Index of the slot.
        slot: usize,
    },
    /// Pass the final answer of a call to its caller.
    Answer {
        /// Number under which the caller submitted the call.
        call: u64,
        /// The final answer.
        outcome: Outcome,
    },
    /// The first session is ready, and the volume is open.
    Ready(Volume),
    /// The gateway refused the session of a slot permanently.
    Refused {
        /// The reason, for display to the caller.
        reason: String,
    },
}

type NewSession = Box<dyn Fn() -> Box<dyn Transport> + Send>;

/// The state machine of a client.
pub struct Core {
    bounds: Bounds,
    new_session: NewSession,
    slots: SlotTable,
    calls: CallTable,
    retries: RetryDecider,
    /// Properties of the volume as the gateway last reported them, or `None` while no session has been ready yet.
    volume: Option<Volume>,
    outputs: VecDeque<Output>,
}

impl Core {
    /// Creates a client without connections. `new_session` creates the protocol state of each connection. The same `seed` yields
    /// the same jitter of backoffs.
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

    /// Returns the number of open calls.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Submits a call under a number that the caller chooses. The call gets exactly one answer, at `deadline` at the latest, unless
    /// it is cancelled.
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

    /// Returns the answer to a call that the client does not accept, since a bound is reached or all sessions are refused, and `None`
    /// for a call that it accepts.
    fn outcome_before_sending(&self, op: &Op) -> Option<Outcome> {
        let exceeds_bytes = self.calls.bytes() + op.bytes() > self.bounds.bytes;
        if self.calls.len() >= self.bounds.calls || exceeds_bytes {
            return Some(Outcome::Rejected { retry_after: None });
        }
        let reason = InvalidCall::AllSessionsRefused;
        self.slots.are_all_refused().then(|| Outcome::InvalidRequest(reason.to_string()))
    }

    /// Cancels a call. The call gets no answer.
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

    /// Retries or answers a call whose attempt ended without being done.
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

    /// Carries out what is due at `now`: answers calls whose deadline has passed, connects slots and sends waiting calls.
    pub fn handle_timeout(&mut self, now: Instant) {
        self.answer_expired(now);
        for slot in self.slots.begin_connects(now) {
            self.outputs.push_back(Output::Connect { slot });
        }
        for timer in self.calls.due(now) {
            if !self.try_send(now, timer.call) {
                break; // No session has capacity, so the remaining calls can't be sent either.
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

    /// Sends a call to the next session with capacity. Returns false if no session has capacity.
    fn try_send(&mut self, now: Instant, number: u64) -> bool {
        let Some(call) = self.calls.get_mut(number) else { return true };
        let Some(slot) = self.slots.submit(number, &call.op, call.deadline - now) else { return false };
        call.slot = Some(slot);
        call.attempts += 1;
        call.sent_at = now;
        true
    }

    /// Returns the next action for the owner, or `None` if there is nothing to do.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front().or_else(|| self.poll_write())
    }

    fn poll_write(&mut self) -> Option<Output> {
        self.slots.sessions_mut().find_map(|(slot, session)| {
            let bytes = session.transport.poll_transmit();
            (!bytes.is_empty()).then_some(Output::Write { slot, bytes })
        })
    }

    /// Returns the time at which `handle_timeout` has to be called next, or `None` if nothing waits for a time.
    pub fn poll_timeout(&self, now: Instant) -> Option<Instant> {
        self.slots.next_connect().into_iter().chain(self.calls.next_timeout(now)).min()
    }

    /// Closes all sessions and answers all open calls.
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
